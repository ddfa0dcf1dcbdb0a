"""An entry: the callers' listener, its feeds and its end."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from contextlib import AsyncExitStack
from operator import attrgetter
from types import TracebackType
from typing import Final, Self

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.sockets import LAST_REQUEST_SECONDS
from sardinetrack.logs.events import Event
from sardinetrack.relay.api import Call, Dialect
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.capacity import Capacity, Crowd
from sardinetrack.relay.door import Door
from sardinetrack.relay.exchange import Exchange
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.listener import Listener
from sardinetrack.topology.configuration import CallerLimits, Route, RouteKind
from sardinetrack.views.source import ViewSource

SWEEP_SECONDS: Final = 0.1
"""How often idle and silent connections are looked for."""
LEAVE_SECONDS: Final = 2.6
"""How long a stopping entry still takes requests.

The balancer asks each second and leaves it out after two misses.
"""
_SHED_PARTS: Final = 10
_CUT_PART: Final = 0.9
"""Part of the grace after which what still runs is cut."""
SILENT_FIRST_SECONDS: Final = 2.0
SILENT_GAP_PARTS: Final = 5.0
SILENT_GAP_SECONDS: Final = 1.2
_SWEEPS_A_SECOND: Final = 10


class Entry(Door):
    """Takes callers' connections and serves their requests."""

    def __init__(
        self,
        fleet: Fleet,
        dialect: Dialect,
        view: ViewSource | None,
    ) -> None:
        """Prepare.

        :param view: keeps the fleet's view of the store; none where a test
            sets it.
        """
        self.draining = False
        self.port = 0
        self._fleet = fleet
        self._dialect = dialect
        self._view = view
        self._connections: set[CallerConnection] = set()
        self._exchanges: set[Exchange] = set()
        self._under_way: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._listener: Listener
        self._stack = AsyncExitStack()
        self._was_ready = False
        self.capacity = Capacity(fleet.settings)
        self._none_left = asyncio.Event()
        self._draining_since = math.inf

    @property
    def limits(self) -> CallerLimits:  # type: ignore[override]
        """Tell what a caller may send."""
        configuration = self._fleet.configuration
        return CallerLimits() if configuration is None else configuration.limits

    @property
    def connections(self) -> int:
        """Count the callers' connections."""
        return len(self._connections)

    def _refusal(self, workspace: str) -> ErrorKind | None:
        if self._too_late:
            return ErrorKind.NOT_RUN_DRAINING
        own = self._under_way[workspace]
        crowd = Crowd(
            len(self._exchanges),
            own,
            len(self._under_way) + (not own),
        )
        if not self.capacity.takes(crowd):
            return ErrorKind.INSTANCE_BUSY
        return None

    @property
    def _too_late(self) -> bool:
        """Whether a stopping entry takes no request any more.

        What came now might outlast the grace and would be cut. Callers whose
        whole zone is stopping come back to another instance at once.
        """
        return self.now() >= self._draining_since + LEAVE_SECONDS

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        fleet = self._fleet
        known = fleet.configuration is not None
        fresh = fleet.freshness.holds() and not self.capacity.overloaded
        ready = known and fresh and not self.draining
        if ready != self._was_ready:
            self._was_ready = ready
            fleet.log.write(
                Event.READY,
                ready=ready,
                config_age_seconds=round(fleet.freshness.age_seconds(), 3)
                if known
                else None,
                draining=self.draining,
            )
        return ready

    async def __aenter__(self) -> Self:
        """Follow the store and listen to callers."""
        if self._view is not None:
            self._own(self._loop.create_task(self._view.run()))
        address = self._fleet.settings.callers
        assert address is not None  # noqa: S101
        self._listener = await Listener.open(
            lambda: CallerConnection(self._dialect, self),
            address,
        )
        self.port = self._listener.port
        self._stack.callback(self._listener.close)
        self._stack.callback(self._fleet.close)
        self._own(self._loop.create_task(self._sweep()))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End everything."""
        await self._stack.aclose()

    async def drain(self) -> None:
        """Leave: take nothing new, finish what runs, cut nothing early."""
        self.draining = True
        self._draining_since = self.now()
        for connection in self._connections:
            connection.end_after_answer()
        ends_seconds = (
            self.now() + _CUT_PART * self._fleet.settings.grace_seconds
        )
        await asyncio.sleep(LEAVE_SECONDS)
        for connection in list(self._connections):
            if connection.idle:
                connection.close_idle()
        await self._wait_idle(ends_seconds)
        await self._answer_last(ends_seconds)

    async def _answer_last(self, ends_seconds: float) -> None:
        """Refuse who has connected or asked as the entry ends.

        The end of the process resets a connection whose request is unread; its
        caller could not tell whether that has run.
        """
        await self._listener.take_last()
        await asyncio.sleep(LAST_REQUEST_SECONDS)
        # One more turn, in which the loop reads what came while it was late.
        await asyncio.sleep(0)
        await self._wait_idle(ends_seconds)

    async def _wait_idle(self, ends_seconds: float) -> None:
        self._none_left.clear()
        if not self._exchanges:
            return
        try:
            async with asyncio.timeout_at(ends_seconds):
                await self._none_left.wait()
        except TimeoutError:
            # Longer than the grace; what the process leaves here is cut by
            # the signal that kills it.
            self._fleet.log.write(
                Event.STOPPING,
                requests_cut=len(self._exchanges),
            )

    def now(self) -> float:
        """Read the clock of the event loop."""
        return self._loop.time()

    def opened(self, connection: CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(connection)
        if len(self._connections) > self.capacity.connections:
            self._make_room(connection)
        if self.draining:
            connection.end_after_answer()

    def _make_room(self, newest: CallerConnection) -> None:
        """Close the connections that were idle longest, or else the newest.

        When an instance returns alone after its zone has lost power, all
        callers of the zone connect to it at once, and again each second that
        they are not served. Without the bound it runs out of descriptors:
        nothing is accepted then, the balancer's question neither.
        """
        idle = [one for one in self._connections if one.idle]
        idle.sort(key=attrgetter('changed_seconds'))
        longest = idle[: max(1, len(idle) // _SHED_PARTS)]
        leaving = [one for one in longest if one.close_idle()]
        if not leaving:
            newest.close()
            leaving = [newest]
        self._connections.difference_update(leaving)
        self._fleet.log.write(
            Event.CONNECTIONS_CLOSED,
            count=len(leaving),
            idle=len(idle),
            held=len(self._connections),
        )

    def closed(self, connection: CallerConnection) -> None:
        """Note that a connection is gone."""
        self._connections.discard(connection)

    async def serve(self, call: Call, caller: CallerConnection) -> None:
        """Answer a call."""
        exchange = Exchange(self._fleet, self._dialect, call, caller)
        workspace = self._fleet.workspace_name(call.api_key)
        refusal = self._refusal(workspace)
        if refusal is not None:
            exchange.refuse(AnsweredError(refusal))
            self._note(call, exchange)
            return
        self._exchanges.add(exchange)
        self._under_way[workspace] += 1
        try:
            await exchange.run()
        except asyncio.CancelledError:
            exchange.trace.reason = 'caller left'
            exchange.trace.end = 'caller_left'
            raise
        finally:
            self._leave(workspace)
            self._finished(call, exchange)

    def _leave(self, workspace: str) -> None:
        self._under_way[workspace] -= 1
        if not self._under_way[workspace]:
            self._under_way.pop(workspace)

    def failed(self, error: BaseException | None) -> None:
        """Tell of a fault of the program."""
        self._fleet.log.write(Event.FAULT, cause=repr(error))

    def _own(self, task: asyncio.Task[None]) -> None:
        self._stack.callback(task.cancel)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.failed(task.exception())

    def _finished(self, call: Call, exchange: Exchange) -> None:
        self._exchanges.discard(exchange)
        if not self._exchanges:
            self._none_left.set()
        self._note(call, exchange)

    def _note(self, call: Call, exchange: Exchange) -> None:
        took_seconds = self.now() - call.arrived_seconds
        plan, trace = exchange.plan, exchange.trace
        workspace = plan.workspace_name if plan else ''
        first_seconds = _since(call, exchange.progress.begun_seconds)
        meters = self._fleet.meters
        meters.ended(trace.end, workspace, took_seconds)
        if first_seconds is not None:
            meters.first_event.add(first_seconds)
        self._fleet.log.write(
            Event.REQUEST_ENDED,
            request=call.request_id,
            status=trace.status or None,
            reason=trace.reason,
            route=plan.route.name if plan else None,
            workspace=workspace,
            servers=trace.servers,
            waited_seconds=round(trace.waited_seconds, 3),
            first_seconds=first_seconds,
            took_seconds=round(took_seconds, 3),
        )

    async def _sweep(self) -> None:
        count = 0
        while True:
            due_seconds = self.now() + SWEEP_SECONDS
            await asyncio.sleep(SWEEP_SECONDS)
            self._note_late(self.now() - due_seconds)
            self._note_memory()
            count += 1
            self._find_silent()
            self._fleet.expire_servers()
            self._fleet.log.flush()
            if not count % _SWEEPS_A_SECOND:
                self._fleet.connections.sweep()
                self._fleet.sides.sweep()
                self._close_idle()

    def _note_late(self, late_seconds: float) -> None:
        capacity = self.capacity
        if capacity.note_late(late_seconds):
            self._fleet.log.write(
                Event.OVERLOAD,
                overloaded=capacity.overloaded,
                late_seconds=round(late_seconds, 3),
                requests=len(self._exchanges),
            )

    def _note_memory(self) -> None:
        requests, connections = len(self._exchanges), len(self._connections)
        if self.capacity.note_memory(requests, connections):
            self._fleet.log.write(
                Event.MEMORY_SHORT,
                short=self.capacity.short,
                requests=requests,
                connections=connections,
            )

    def _close_idle(self) -> None:
        now = self.now()
        limits = self.limits
        for connection in list(self._connections):
            if connection.busy:
                continue
            allowed = limits.idle_seconds
            if connection.reading:
                allowed = limits.header_seconds + limits.idle_seconds
            if now - connection.changed_seconds > allowed:
                connection.close_idle()

    def _find_silent(self) -> None:
        """Move what may be repeated away from servers that went silent.

        A server that went dark sends no reset; without this its streams
        would hang until their callers give up. One that has started anew
        knows nothing of what was sent to it before.
        """
        now = self.now()
        for exchange in self._exchanges:
            plan, attempt = exchange.plan, exchange.attempt
            if plan is None or attempt is None or attempt.done.done():
                continue
            allowed = _silence_seconds(plan.route, begun=attempt.begun)
            silent = now - attempt.heard_seconds > allowed
            over = plan.route.repeatable and exchange.server_is_over
            if silent or over:
                attempt.silent()


def _since(call: Call, seconds: float | None) -> float | None:
    """Tell how long after its arrival something happened to a request."""
    if seconds is None:
        return None
    return round(seconds - call.arrived_seconds, 3)


def _silence_seconds(route: Route, *, begun: bool) -> float:
    """Tell how long a server may say nothing."""
    if route.kind is not RouteKind.STREAMING or not route.resumable:
        return math.inf
    if not begun:
        return SILENT_FIRST_SECONDS + route.first_answer_seconds
    return max(SILENT_GAP_SECONDS, SILENT_GAP_PARTS * route.event_gap_seconds)
