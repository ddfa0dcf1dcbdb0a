"""Send a request to one server, and learn from how that ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Final, Self

from sardinetrack.logs.events import Event
from sardinetrack.placement.choice import Candidate
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.api import Call, Dialect, Sending
from sardinetrack.relay.attempt import Attempt, AttemptEnd, Progress
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.plan import Plan, still_allowed
from sardinetrack.relay.server_connection import (
    BreakReason,
    ServerConnection,
)
from sardinetrack.relay.server_pool import IDLE_SECONDS, NotConnectedError
from sardinetrack.relay.trace import Placed, Trace
from sardinetrack.relay.turn import Turn
from sardinetrack.routing.breaker import Breaker
from sardinetrack.topology.configuration import RouteKind
from sardinetrack.topology.servers import BackendServer

ONCE_IDLE_SECONDS: Final = 1.0
"""Idle time of a connection that a request which runs once may go on.

A server may close an idle connection just as the request arrives; nobody
could say then whether it has run.
"""
_LEAST_SECONDS: Final = 0.02
_DIGITS: Final = 3
_HEAD: Final = b'HEAD'
_BREAKS: Final = frozenset((BreakReason.CLOSED, BreakReason.RESET))


@dataclass(frozen=True, slots=True)
class _Target:
    """A server as it was when a request was sent there.

    What is learned from the end of a send counts for that start of the
    server; the breaker and the load of a later start are other ones.
    """

    server: BackendServer
    breaker: Breaker
    generation: int
    load: ServerLoad

    @classmethod
    def of(cls, fleet: Fleet, server: BackendServer) -> Self:
        """Take what is believed of a server now, and note a request to it."""
        breaker = fleet.beliefs.breaker(server)
        return cls(server, breaker, breaker.sent(), fleet.beliefs.load(server))

    def succeeded(self) -> None:
        """Note an answer."""
        self.breaker.succeeded(self.generation)

    def failed(self, now: float) -> None:
        """Note a failure."""
        self.breaker.failed(now, self.generation)

    def undecided(self) -> None:
        """Note an end that says nothing about the server."""
        self.breaker.undecided(self.generation)


class Sender:
    """Sends one request, once or a few times one after the other."""

    def __init__(
        self,
        fleet: Fleet,
        dialect: Dialect,
        call: Call,
        caller: CallerConnection,
        trace: Trace,
    ) -> None:
        """Work for one request."""
        self.attempt: Attempt | None = None
        self.server: BackendServer | None = None
        self._fleet = fleet
        self._dialect = dialect
        self._call = call
        self._caller = caller
        self._trace = trace
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        plan: Plan,
        placed: Placed,
        progress: Progress,
    ) -> Attempt:
        """Send, and wait for the end of the answer.

        :return: the attempt, whose end is known.
        :raises NotConnectedError: nothing was sent.
        :raises AnsweredError: it is not allowed any more; nothing was sent.
        """
        server = placed.candidate.server
        self.server = server
        target = _Target.of(self._fleet, server)
        try:
            connection = await self._connect(plan, server)
        except NotConnectedError as error:
            self._note_unreached(target, error)
            raise
        except BaseException:
            target.undecided()
            raise
        attempt = self._prepare(plan, placed, progress, target)
        try:
            await self._exchange(plan, placed.candidate, connection, attempt)
        except BaseException:
            target.undecided()
            connection.abort()
            raise
        else:
            self._learn(target, attempt)
            self._suspect(plan, server, attempt)
        finally:
            self._release(server, connection, attempt)
        return attempt

    async def _connect(
        self,
        plan: Plan,
        server: BackendServer,
    ) -> ServerConnection:
        fresh_seconds = IDLE_SECONDS
        if not plan.route.repeatable:
            fresh_seconds = ONCE_IDLE_SECONDS
        return await self._fleet.connections.take(
            server.address,
            fresh_seconds=fresh_seconds,
        )

    def _prepare(
        self,
        plan: Plan,
        placed: Placed,
        progress: Progress,
        target: _Target,
    ) -> Attempt:
        progress.cutter.resume()
        return Attempt(
            self._call,
            self._caller,
            self._dialect,
            progress,
            streams=plan.route.kind is RouteKind.STREAMING,
            on_begun=partial(_begun, placed.turn, target),
        )

    async def _exchange(
        self,
        plan: Plan,
        candidate: Candidate,
        connection: ServerConnection,
        attempt: Attempt,
    ) -> None:
        server = candidate.server
        self._check_again(plan, server)
        request = self._dialect.request(
            self._call,
            self._sending(plan, server, attempt),
        )
        self._note_sent(plan, candidate)
        self.attempt = attempt
        load = self._fleet.beliefs.load(server)
        load.added_tokens += candidate.new_tokens
        try:
            connection.send(
                request,
                attempt,
                bodiless=self._call.method == _HEAD,
            )
            self._caller.flow = connection.flow
            await attempt.done
        finally:
            self._caller.flow = None

    def _check_again(self, plan: Plan, server: BackendServer) -> None:
        """Look once more at what may have changed while the request waited.

        A key that was taken away, or a server that is leaving, would
        otherwise get work for as long as requests wait.

        :raises CancelledError: the caller has left, as if that had been read.
        """
        if self._caller.hung_up:
            raise asyncio.CancelledError
        still_allowed(self._fleet, plan, self._call)
        if self._fleet.servers.get(server.instance) is None:
            raise NotConnectedError('left meanwhile')

    def _sending(
        self,
        plan: Plan,
        server: BackendServer,
        attempt: Attempt,
    ) -> Sending:
        left_seconds = plan.ends_seconds - self._loop.time()
        return Sending(
            server,
            max(_LEAST_SECONDS, left_seconds),
            plan.workspace.name if plan.workspace else None,
            attempt.last_event,
        )

    def _note_sent(self, plan: Plan, candidate: Candidate) -> None:
        fleet, trace = self._fleet, self._trace
        if not trace.sent:
            fleet.budget(plan.pool.name).first_attempt()
        trace.servers.append(candidate.server.instance)
        trace.proved_not_run = False
        fleet.log.write(
            Event.REQUEST_SENT,
            request=self._call.request_id,
            server=candidate.server.instance,
            pool=plan.pool.name,
            workspace=plan.workspace_name,
            send=trace.sent,
            ask=max(0, trace.asks - 1),
            config_version=plan.version,
            config_age_seconds=round(fleet.freshness.age_seconds(), _DIGITS),
            waited_seconds=round(trace.waited_seconds, _DIGITS),
            server_wait_seconds=round(candidate.wait_seconds, _DIGITS),
            new_tokens=candidate.new_tokens,
            again_tokens=candidate.again_tokens,
        )

    def _learn(self, target: _Target, attempt: Attempt) -> None:
        end = attempt.done.result()
        if end in {AttemptEnd.DELIVERED, AttemptEnd.NOT_RUN}:
            target.succeeded()
        else:
            target.failed(self._loop.time())
        if end is AttemptEnd.NOT_RUN:
            self._trace.proved_not_run = True
        if attempt.reply is not None and attempt.reply.misdirected:
            self._disown(target)
        elif attempt.reply is not None:
            target.load.reported_running = max(0, attempt.reply.running)

    def _disown(self, target: _Target) -> None:
        server = target.server
        self._fleet.disown(server)
        self._fleet.log.write(
            Event.SERVER_SUSPECT,
            request=self._call.request_id,
            server=server.instance,
            cause='another server answers there',
            breaker=target.breaker.state.value,
        )

    def _suspect(
        self,
        plan: Plan,
        server: BackendServer,
        attempt: Attempt,
    ) -> None:
        """Note what a server's crash may be the fault of, and what not."""
        crashes, call = self._fleet.crashes, self._call
        if attempt.done.result() is AttemptEnd.DELIVERED:
            crashes.served(call, plan.workspace_name)
        elif attempt.reason in _BREAKS:
            strikes = crashes.broke(
                self._loop.time(),
                server.instance,
                call,
                plan.workspace_name,
            )
            if strikes:
                self._fleet.sides.struck(strikes)

    def _release(
        self,
        server: BackendServer,
        connection: ServerConnection,
        attempt: Attempt,
    ) -> None:
        if attempt.reply is not None:
            connection.idle_limit_seconds = attempt.reply.idle_seconds
        done = attempt.done
        if not done.done() or done.result() is AttemptEnd.UNKNOWN:
            connection.abort()
        self._fleet.connections.give_back(
            server.address,
            connection,
            self._fleet.connection_share(server),
        )

    def _note_unreached(
        self,
        target: _Target,
        error: NotConnectedError,
    ) -> None:
        why, server = str(error), target.server
        if isinstance(error.__cause__, ConnectionRefusedError):
            self._fleet.sides.server_away(server.instance, why)
        target.failed(self._loop.time())
        self._fleet.log.write(
            Event.SERVER_SUSPECT,
            request=self._call.request_id,
            server=server.instance,
            cause=why or 'no connection in time',
            breaker=target.breaker.state.value,
        )


def _begun(turn: Turn, target: _Target) -> None:
    """Note the first event: the server works, long before the answer ends."""
    turn.begun()
    target.succeeded()
