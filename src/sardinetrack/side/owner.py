"""The task that owns a side's admission object, links and configuration.

It receives typed events over one memory stream and carries out the effects that
the admission object returns. It never blocks: decisions and link messages are
queued, so an event waits only for the events before it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from sardinetrack.admission.api import (
    AdmissionEffect,
    BroadcastLoad,
    CancelRequest,
    RefuseRequest,
    SendGrant,
    StartRequest,
)
from sardinetrack.charts.drain import DRAIN_CHART, DrainEvent, DrainState
from sardinetrack.links.api import LinkDown, LinkMessageReceived, LinkUp
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.api import SidePhase
from sardinetrack.side.events import (
    AttemptEnded,
    AttemptQueried,
    DrainStarted,
    DrainTimedOut,
    LimitChanged,
    RestRequested,
    RunRequestReceived,
    ServerReconnected,
    ServerResponded,
    SideEvent,
    SideStatusPage,
    StatusRequested,
)
from sardinetrack.side.link_event_handler import LinkEventHandler
from sardinetrack.side.owner_state import Effects, OwnerState
from sardinetrack.side.request_event_handler import RequestEventHandler
from sardinetrack.side.server_event_handler import ServerEventHandler

_LOG: Final = ComponentLogger(LogComponent.SIDE)
_TICK_SECONDS: Final = 0.1

EventHandler = Callable[[float, Any], Effects]


class AdmissionOwner:
    """Passes events to the admission object and carries out its decisions."""

    def __init__(
        self,
        state: OwnerState,
        events: MemoryObjectReceiveStream[SideEvent],
    ) -> None:
        """Create the task.

        :param state: state that only this task accesses from now on.
        :param events: all events of the side.
        """
        self._state = state
        self._events = events
        self._requests = RequestEventHandler(state)
        self._server = ServerEventHandler(state)
        self._drain = DRAIN_CHART.start()
        self._idle = anyio.Event()
        self._tick_at: float = 0
        links = LinkEventHandler(state)
        self._handlers: MappingProxyType[type, EventHandler] = MappingProxyType(
            {
                RunRequestReceived: self._requests.run_request_received,
                AttemptEnded: self._requests.attempt_ended,
                AttemptQueried: self._requests.attempt_queried,
                LinkUp: links.opened,
                LinkDown: links.closed,
                LinkMessageReceived: links.received,
                LimitChanged: self._limit_changed,
                RestRequested: self._server.rest_requested,
                ServerResponded: self._server.responded,
                ServerReconnected: self._server.reconnected,
                DrainStarted: self._drain_started,
                DrainTimedOut: self._drain_timed_out,
                StatusRequested: self._status_requested,
            },
        )

    async def run(self) -> None:
        """Handle events until cancelled."""
        with self._events:
            try:
                while True:
                    await self._iterate()
            finally:
                self._state.attempts.close()
                self._close_pending()

    async def _iterate(self) -> None:
        event = await self._next_event()
        now = anyio.current_time()
        if event is not None:
            handle = self._handlers[type(event)]
            self._apply(now, handle(now, event))
        self._apply(now, self._server.tick(now))
        if now >= self._tick_at:
            self._tick_at = now + _TICK_SECONDS
            self._apply(now, self._state.admission.tick(now))
            self._state.metrics.set_load(self._state.admission.load())
        self._broadcast_due_load(now)
        if (
            self._drain.state is DrainState.DRAINING
            and not self._state.attempts
        ):
            self._drain.fire(DrainEvent.IDLE)
            self._idle.set()

    def _close_pending(self) -> None:
        # Tasks whose events are never handled would wait indefinitely.
        while self._events.statistics().current_buffer_used:
            event = self._events.receive_nowait()
            if isinstance(event, RunRequestReceived):
                event.decisions.close()
            elif isinstance(event, (AttemptQueried, StatusRequested)):
                event.responses.close()

    async def _next_event(self) -> SideEvent | None:
        due_at = self._state.load_broadcaster.due_at()
        deadline = min(
            self._tick_at,
            self._server.due_at(),
            math.inf if due_at is None else due_at,
        )
        with anyio.CancelScope(deadline=deadline):
            return await self._events.receive()
        return None

    def _apply(self, now: float, effects: Effects) -> None:
        for effect in effects:
            self._apply_one(now, effect)

    def _apply_one(self, now: float, effect: AdmissionEffect) -> None:
        match effect:
            case StartRequest():
                free = self._state.admission.load().free
                self._state.attempts.start(now, effect.attempt_id, free)
            case RefuseRequest():
                self._requests.carry_out_refusal(
                    now, effect.attempt_id, effect.reason
                )
            case CancelRequest():
                self._state.attempts.stop(effect.attempt_id)
            case SendGrant():
                self._state.grants.send(effect.entry, effect.grant)
            case BroadcastLoad():
                self._state.load_broadcaster.schedule()

    def _broadcast_due_load(self, now: float) -> None:
        due_at = self._state.load_broadcaster.due_at()
        if due_at is not None and now >= due_at:
            load = self._state.admission.load()
            self._state.load_broadcaster.send(now, load)

    def _limit_changed(self, now: float, event: LimitChanged) -> Effects:
        return self._state.admission.resize(now, event.limit)

    def _drain_started(self, now: float, event: DrainStarted) -> Effects:
        _LOG.info('draining', requests=len(self._state.attempts))
        self._idle = event.idle
        self._server.side_drains = True
        # Run requests come from entries that receive the drain notice over
        # their links: unlike a balancer in front of an entry, they need no
        # time to notice it.
        self._drain.fire(DrainEvent.DRAIN)
        self._drain.fire(DrainEvent.SHUT)
        effects = self._state.admission.drain(now)
        return [*effects, BroadcastLoad()]

    def _drain_timed_out(self, now: float, event: DrainTimedOut) -> Effects:
        if self._drain.state is DrainState.DRAINING:
            self._drain.fire(DrainEvent.DEADLINE)
            _LOG.error(
                'drain timed out; cancelling the running requests',
                cut=len(self._state.attempts),
            )
        self._state.attempts.close()
        return ()

    def _status_requested(self, now: float, event: StatusRequested) -> Effects:
        identity = self._state.identity
        load = self._state.admission.load()
        configured = (
            self._state.configuration_sync.configuration.pool() is not None
        )
        serving = load.phase is SidePhase.SERVING
        status = SideStatusPage(
            instance=identity.instance,
            incarnation=identity.incarnation,
            pool=identity.pool,
            backend_server=identity.backend_server,
            failure_domain=identity.failure_domain,
            ready=configured and serving and load.limit > 0,
            load=load,
            configuration=self._state.configuration_sync.configuration.digest(),
            links=tuple(link.peer.instance for link in self._state.links),
        )
        event.responses.send_nowait(status)
        return ()
