"""The task that owns a side's decision object, links and configuration.

It receives typed events over one memory stream and carries out the effects
that the decision object returns. It never waits for anybody: verdicts and
link messages are queued without blocking, so an event waits only for the
events before it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from sardinetrack.admission.api import (
    Announce,
    Refuse,
    SendGrant,
    SideEffect,
    Start,
    Stop,
)
from sardinetrack.charts.drain import DRAIN, DrainEvent, DrainState
from sardinetrack.links.api import LinkDown, LinkMessageReceived, LinkUp
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.messages.api import SidePhase
from sardinetrack.side.core import Effects, OwnerCore
from sardinetrack.side.events import (
    Arrived,
    Asked,
    CutOff,
    DrainBegan,
    Left,
    Resized,
    SideEvent,
    SideStatus,
    StatusAsked,
)
from sardinetrack.side.link_events import LinkEvents
from sardinetrack.side.request_events import RequestEvents

_LOG: Final = PartLogger(Part.SIDE)
_TICK_SECONDS: Final = 0.1

Decide = Callable[[float, Any], Effects]


class AdmissionOwner:
    """Feeds the decision object and carries out what it decides."""

    def __init__(
        self,
        core: OwnerCore,
        events: MemoryObjectReceiveStream[SideEvent],
    ) -> None:
        """Prepare the task.

        :param core: state that this task owns from now on.
        :param events: everything that happens at the side.
        """
        self._core = core
        self._events = events
        self._requests = RequestEvents(core)
        self._drain = DRAIN.start()
        self._idle = anyio.Event()
        self._tick_at: float = 0
        links = LinkEvents(core)
        self._decisions: MappingProxyType[type, Decide] = MappingProxyType(
            {
                Arrived: self._requests.arrived,
                Left: self._requests.left,
                Asked: self._requests.asked,
                LinkUp: links.opened,
                LinkDown: links.closed,
                LinkMessageReceived: links.received,
                Resized: self._resized,
                DrainBegan: self._drain_began,
                CutOff: self._cut_off,
                StatusAsked: self._status_asked,
            },
        )

    async def run(self) -> None:
        """Work until cancelled."""
        with self._events:
            try:
                while True:
                    await self._turn()
            finally:
                self._core.live.close()
                self._turn_away()

    async def _turn(self) -> None:
        event = await self._next_event()
        now = anyio.current_time()
        if event is not None:
            decide = self._decisions[type(event)]
            self._carry_out(now, decide(now, event))
        if now >= self._tick_at:
            self._tick_at = now + _TICK_SECONDS
            self._carry_out(now, self._core.admission.tick(now))
            self._core.metrics.show_load(self._core.admission.load())
        self._announce(now)
        if self._drain.state is DrainState.DRAINING and not self._core.live:
            self._drain.fire(DrainEvent.IDLE)
            self._idle.set()

    def _turn_away(self) -> None:
        # Tasks whose events nobody will handle would wait for ever.
        while self._events.statistics().current_buffer_used:
            event = self._events.receive_nowait()
            if isinstance(event, Arrived):
                event.verdicts.close()
            elif isinstance(event, (Asked, StatusAsked)):
                event.answers.close()

    async def _next_event(self) -> SideEvent | None:
        due_at = self._core.announcer.due_at()
        deadline = min(self._tick_at, math.inf if due_at is None else due_at)
        with anyio.CancelScope(deadline=deadline):
            return await self._events.receive()
        return None

    def _carry_out(self, now: float, effects: Effects) -> None:
        for effect in effects:
            self._carry_out_one(now, effect)

    def _carry_out_one(self, now: float, effect: SideEffect) -> None:
        match effect:
            case Start():
                free = self._core.admission.load().free
                self._core.live.start(now, effect.attempt_id, free)
            case Refuse():
                self._requests.refused(now, effect.attempt_id, effect.reason)
            case Stop():
                self._core.live.stop(effect.attempt_id)
            case SendGrant():
                self._core.grants.send(effect.entry, effect.grant)
            case Announce():
                self._core.announcer.want()

    def _announce(self, now: float) -> None:
        due_at = self._core.announcer.due_at()
        if due_at is not None and now >= due_at:
            load = self._core.admission.load()
            self._core.announcer.send(now, load)

    def _resized(self, now: float, event: Resized) -> Effects:
        return self._core.admission.resize(now, event.limit)

    def _drain_began(self, now: float, event: DrainBegan) -> Effects:
        _LOG.info('draining', requests=len(self._core.live))
        self._idle = event.idle
        # Orders come over links that hear of the drain: unlike a balancer
        # in front of an entry, nobody needs time to notice.
        self._drain.fire(DrainEvent.DRAIN)
        self._drain.fire(DrainEvent.SHUT)
        effects = self._core.admission.drain(now)
        return [*effects, Announce()]

    def _cut_off(self, now: float, event: CutOff) -> Effects:
        if self._drain.state is DrainState.DRAINING:
            self._drain.fire(DrainEvent.DEADLINE)
            _LOG.error('drain took too long', cut=len(self._core.live))
        self._core.live.close()
        return ()

    def _status_asked(self, now: float, event: StatusAsked) -> Effects:
        identity = self._core.identity
        load = self._core.admission.load()
        configured = self._core.exchange.configuration.pool() is not None
        serving = load.phase is SidePhase.SERVING
        status = SideStatus(
            instance=identity.instance,
            incarnation=identity.incarnation,
            pool=identity.pool,
            backend_server=identity.backend_server,
            failure_domain=identity.failure_domain,
            ready=configured and serving and load.limit > 0,
            load=load,
            configuration=self._core.exchange.configuration.digest(),
            links=tuple(link.peer.instance for link in self._core.links),
        )
        event.answers.send_nowait(status)
        return ()
