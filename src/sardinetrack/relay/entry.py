"""An entry: accepts callers' connections, serves requests and drains."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.sockets import FINAL_REQUEST_WAIT_SECONDS
from sardinetrack.logs.events import Event
from sardinetrack.process.owner_tasks import keep_running
from sardinetrack.relay.api import CallerRequest, ProtocolAdapter
from sardinetrack.relay.caller_connection import CallerConnection
from sardinetrack.relay.capacity import Capacity, RequestCounts
from sardinetrack.relay.connection_owner import ConnectionOwner
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.exchange import Exchange
from sardinetrack.relay.held_bytes import BodyHold, HeldBytes
from sardinetrack.relay.listener import Listener
from sardinetrack.views.source import ViewSource

SWEEP_SECONDS: Final = 0.1
"""Interval of the checks for idle and silent connections."""
DRAIN_ACCEPT_SECONDS: Final = 2.6
"""How long a draining entry still accepts requests.

The load balancer checks the readiness each second and removes the entry after
two failed checks.
"""
_EVICT_DIVISOR: Final = 10
_DRAIN_FRACTION: Final = 0.9
"""Fraction of the grace period after which running requests are interrupted."""
_SWEEPS_A_SECOND: Final = 10


class Entry(ConnectionOwner):
    """Accepts callers' connections and serves their requests."""

    def __init__(
        self,
        state: EntryState,
        adapter: ProtocolAdapter,
        view: ViewSource | None,
    ) -> None:
        """Create an entry; it listens once entered as a context.

        :param view: keeps the view of the store up to date; none where a test
            sets the view.
        """
        super().__init__(lambda: state.caller_limits)
        self.draining = False
        self._state = state
        self._adapter = adapter
        self._view = view
        self._connections: set[CallerConnection] = set()
        self._exchanges: set[Exchange] = set()
        self._in_progress: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        address = state.settings.callers
        assert address is not None  # noqa: S101
        self._listener = Listener(
            lambda: CallerConnection(adapter, self), address, state.log
        )
        self._stack = AsyncExitStack()
        self._was_ready = False
        self.held = HeldBytes(self._max_held_bytes)
        self.capacity = Capacity(
            state.settings, held_bytes=lambda: self.held.total_bytes
        )
        self._all_finished = asyncio.Event()
        self._draining_since = float('inf')

    @property
    def port(self) -> int:
        """The port that callers connect to; 0 while it is unavailable."""
        return self._listener.port

    @property
    def connections(self) -> int:
        """The number of callers' connections."""
        return len(self._connections)

    def _refusal(self, workspace: str) -> ErrorKind | None:
        if self._drain_expired:
            return ErrorKind.NOT_RUN_DRAINING
        of_workspace = self._in_progress[workspace]
        counts = RequestCounts(
            len(self._exchanges),
            of_workspace,
            len(self._in_progress) + (not of_workspace),
        )
        if not self.capacity.accepts(counts):
            return ErrorKind.INSTANCE_BUSY
        return None

    @property
    def _drain_expired(self) -> bool:
        """Whether a draining entry accepts no more requests.

        A request accepted now might outlast the grace period and be
        interrupted. Callers whose whole failure domain is shutting down
        immediately connect to another instance.
        """
        return self.now() >= self._draining_since + DRAIN_ACCEPT_SECONDS

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        state = self._state
        known = state.configuration is not None
        fresh = state.freshness.is_fresh() and not self.capacity.overloaded
        ready = known and fresh and not self.draining
        ready = ready and self._listener.is_open
        if ready != self._was_ready:
            self._was_ready = ready
            state.log.write(
                Event.READY,
                ready=ready,
                config_age_seconds=round(state.freshness.age_seconds(), 3)
                if known
                else None,
                draining=self.draining,
            )
        return ready

    async def __aenter__(self) -> Self:
        """Listen for callers, as soon as that is possible; follow the store.

        Listening comes first: an outgoing connection could get the port.
        """
        await self._stack.enter_async_context(self._listener)
        if self._view is not None:
            self._add_task(self._view.run, 'view of the store')
        self._stack.callback(self._state.close)
        self._stack.callback(self.input_turns.close)
        self._add_task(self._sweep, 'sweep')
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close everything."""
        await self._stack.aclose()

    async def drain(self) -> None:
        """Drain: accept nothing new, finish running requests."""
        self.draining = True
        self._draining_since = self.now()
        self._state.server_states.send_bound.begin(self._draining_since)
        for connection in self._connections:
            connection.close_after_response()
        deadline_seconds = (
            self.now() + _DRAIN_FRACTION * self._state.settings.grace_seconds
        )
        await asyncio.sleep(DRAIN_ACCEPT_SECONDS)
        for connection in list(self._connections):
            if connection.idle:
                connection.close_idle()
        await self._wait_idle(deadline_seconds)
        await self._refuse_pending(deadline_seconds)
        await self._wait_delivered(deadline_seconds)

    async def _refuse_pending(self, deadline_seconds: float) -> None:
        """Refuse the callers that connect or send a request at the very end.

        When the process ends, the kernel resets connections with unread
        requests; their callers could not tell whether those have run.
        """
        await self._listener.accept_pending()
        await asyncio.sleep(FINAL_REQUEST_WAIT_SECONDS)
        # One more iteration, in which the loop reads what arrived while it was
        # late.
        await asyncio.sleep(0)
        await self._wait_idle(deadline_seconds)

    async def _wait_idle(self, deadline_seconds: float) -> None:
        self._all_finished.clear()
        if not self._exchanges:
            return
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self._all_finished.wait()
        except TimeoutError:
            # The grace period is over; requests that still run are interrupted
            # when the process is killed.
            self._state.log.write(
                Event.STOPPING,
                requests_cut=len(self._exchanges),
            )

    async def _wait_delivered(self, deadline_seconds: float) -> None:
        """Wait until all requests that were read have their whole responses.

        The end of a long response is held here while its caller reads slowly,
        though the request has ended by then.
        """
        while any(one.busy or one.has_unsent for one in self._connections):
            if self.now() >= deadline_seconds:
                return
            await asyncio.sleep(SWEEP_SECONDS)

    def now(self) -> float:
        """Return the time of the event loop's clock."""
        return self._loop.time()

    def opened(self, connection: CallerConnection) -> None:
        """Register a new connection; over the limit, close idle ones."""
        self._connections.add(connection)
        if len(self._connections) > self.capacity.connections:
            self._evict_idle(connection)
        if self.draining:
            connection.close_after_response()

    def _evict_idle(self, newest: CallerConnection) -> None:
        """Close the longest idle connections, or else the newest one.

        When an instance returns alone after a power loss in its failure domain,
        all callers of the domain connect to it at the same time, and again each
        second until they are served. Without the limit it runs out of
        descriptors and accepts no connection at all, not even the load
        balancer's health check.
        """
        idle = [one for one in self._connections if one.idle]
        idle.sort(key=lambda one: (one.has_unsent, one.changed_seconds))
        longest = idle[: max(1, len(idle) // _EVICT_DIVISOR)]
        closed = [one for one in longest if one.evict()]
        if not closed:
            newest.close()
            closed = [newest]
        self._connections.difference_update(closed)
        self._state.log.write(
            Event.CONNECTIONS_CLOSED,
            count=len(closed),
            idle=len(idle),
            held=len(self._connections),
        )

    def closed(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def hold_head(self) -> BodyHold:
        """Return a hold for a head, whose workspace is not known yet."""
        return self.held.open('')

    def hold_body(self, call: CallerRequest) -> BodyHold:
        """Return a hold for the body of a request of its workspace."""
        return self.held.open(self._state.workspace_name(call.api_key))

    def refuse(
        self,
        call: CallerRequest,
        caller: CallerConnection,
        error: RequestError,
    ) -> None:
        """Respond with an error to a request that is not served."""
        if error.kind is ErrorKind.INSTANCE_BUSY:
            self._state.meters.bodies.refused += 1
        exchange = Exchange(self._state, self._adapter, call, caller)
        exchange.refuse(error)
        exchange.record_end()

    def _max_held_bytes(self) -> int:
        return self.capacity.max_held_bytes(
            len(self._exchanges), len(self._connections)
        )

    async def serve(
        self, call: CallerRequest, caller: CallerConnection
    ) -> None:
        """Serve a request, or refuse it if the entry has no capacity for it."""
        exchange = Exchange(self._state, self._adapter, call, caller)
        workspace = self._state.workspace_name(call.api_key)
        refusal = self._refusal(workspace)
        if refusal is not None:
            exchange.refuse(RequestError(refusal))
            exchange.record_end()
            return
        self._exchanges.add(exchange)
        self._in_progress[workspace] += 1
        try:
            await exchange.run()
        except asyncio.CancelledError:
            exchange.trace.reason = 'caller disconnected'
            exchange.trace.outcome = 'caller_left'
            raise
        except Exception as error:
            # Its caller would find the connection closed without an answer.
            self.failed(error)
            exchange.refuse(_fault_response(exchange))
        finally:
            self._count_ended(workspace)
            self._request_finished(exchange)

    def _count_ended(self, workspace: str) -> None:
        self._in_progress[workspace] -= 1
        if not self._in_progress[workspace]:
            self._in_progress.pop(workspace)

    def failed(self, error: BaseException | None) -> None:
        """Log an unexpected exception."""
        self._state.log.write(Event.FAULT, cause=repr(error))

    def _add_task(self, run: Callable[[], Awaitable[None]], what: str) -> None:
        task = keep_running(run, self._state.log, what)
        self._stack.callback(self._loop.create_task(task).cancel)

    def _request_finished(self, exchange: Exchange) -> None:
        self._exchanges.discard(exchange)
        if not self._exchanges:
            self._all_finished.set()
        exchange.record_end()

    async def _sweep(self) -> None:
        count = 0
        while True:
            due_seconds = self.now() + SWEEP_SECONDS
            await asyncio.sleep(SWEEP_SECONDS)
            self._update_lateness(self.now() - due_seconds)
            self._update_memory()
            self._state.meters.bodies.held_bytes = self.held.total_bytes
            count += 1
            self._check_exchanges()
            self._state.expire_servers()
            self._state.log.flush()
            if not count % _SWEEPS_A_SECOND:
                self._state.connections.sweep()
                self._state.sides.sweep()
                self._close_idle()

    def _check_exchanges(self) -> None:
        """Check each request; a fault of one leaves the others checked."""
        for exchange in self._exchanges:
            try:
                exchange.check(self.now())
            except Exception as error:
                self.failed(error)

    def _update_lateness(self, late_seconds: float) -> None:
        capacity = self.capacity
        if capacity.update_lateness(late_seconds):
            self._state.log.write(
                Event.OVERLOAD,
                overloaded=capacity.overloaded,
                late_seconds=round(late_seconds, 3),
                requests=len(self._exchanges),
            )

    def _update_memory(self) -> None:
        requests, connections = len(self._exchanges), len(self._connections)
        if self.capacity.update_memory(requests, connections):
            self._state.log.write(
                Event.MEMORY_SHORT,
                short=self.capacity.memory_short,
                requests=requests,
                connections=connections,
            )

    def _close_idle(self) -> None:
        now = self.now()
        limits = self.limits
        for connection in list(self._connections):
            if connection.busy:
                continue
            allowed = limits.idle_timeout_seconds
            if connection.reading:
                allowed = (
                    limits.header_timeout_seconds + limits.idle_timeout_seconds
                )
            connection.expire(now, allowed)


def _fault_response(exchange: Exchange) -> RequestError:
    """Return the response to a request that ended by an unexpected error."""
    if exchange.trace.may_have_run:
        return RequestError(ErrorKind.INTERNAL)
    return RequestError(
        ErrorKind.NOT_RUN_LOST, 'the router failed before it sent the request'
    )
