"""Applies the effects of decisions: run requests, responses, messages."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from benchmarks.policy.nodes import EntryNode, Request, Running, SideNode
from sardinetrack.admission.api import (
    AdmissionEffect,
    Arrival,
    BroadcastLoad,
    RefuseRequest,
    SendGrant,
    StartRequest,
)
from sardinetrack.messages.api import Bids, Decline, ServiceReport
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    EntryEffect,
    Reject,
    SendToEntries,
    SendToSide,
)

if TYPE_CHECKING:
    from benchmarks.policy.world import World

BATCH_SECONDS = 0.01
DETECT_SECONDS = 2.0


class Carrier:
    """Delivers the effects of one node to others, after their delays."""

    def __init__(self, world: World) -> None:
        """Build a carrier for the nodes of a world."""
        self._world = world

    def from_entry(self, node: EntryNode, effect: EntryEffect) -> None:
        """Apply an entry's effect."""
        if isinstance(effect, Dispatch):
            self._dispatch(node, effect)
        elif isinstance(effect, Reject):
            self._reject(effect)
        elif isinstance(effect, SendToSide):
            self._to_side(node, effect)
        elif isinstance(effect, SendToEntries):
            self._to_entries(node, effect)

    def from_side(self, side: SideNode, effect: AdmissionEffect) -> None:
        """Apply a side's effect."""
        if isinstance(effect, StartRequest):
            self.start(side, effect.attempt_id)
        elif isinstance(effect, RefuseRequest):
            self._refuse(side, effect)
        elif isinstance(effect, SendGrant):
            self._grant(side, effect)
        elif isinstance(effect, BroadcastLoad):
            self._batch(side)

    def end(
        self,
        node: EntryNode,
        attempt_id: str,
        end: AttemptOutcome,
        cost: float,
    ) -> None:
        """Report the outcome of an attempt to its entry, once only."""
        attempt = node.attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._world.at_entry(
            node,
            node.routing.settle_attempt,
            attempt_id,
            end,
            cost=cost,
            answered=False,
        )

    def _reject(self, effect: Reject) -> None:
        request = self._world.requests[effect.request_id]
        self._world.meter.counts[effect.kind.value] += 1
        self._world.stop_waiting(request)

    def _dispatch(self, node: EntryNode, effect: Dispatch) -> None:
        request = self._world.requests[effect.request_id]
        side = self._world.sides[effect.side]
        bids = node.routing.current_bids(effect.side)
        node.attempts[effect.attempt_id] = (effect.side, request)
        self._world.meter.counts['orders'] += 1
        arrival = Arrival(
            effect.attempt_id,
            node.name,
            request.demand.workspace,
            effect.tag,
            request.demand.hint,
            effect.grant,
            effect.wait_seconds,
            suspect=effect.suspect,
        )
        links = self._world.links
        if links.cut(node.name, side.name):
            not_started = partial(
                self.end,
                node,
                effect.attempt_id,
                AttemptOutcome.NOT_STARTED,
                0,
            )
            self._world.events.after(DETECT_SECONDS, not_started)
            return
        deliver = partial(self._deliver, side, side.epoch, arrival, bids)
        self._world.events.after(links.delay(), deliver)

    def _deliver(
        self,
        side: SideNode,
        epoch: int,
        arrival: Arrival,
        bids: Bids,
    ) -> None:
        node = self._world.entries[arrival.entry]
        attempt = node.attempts.get(arrival.attempt_id)
        if attempt is None:
            return
        if side.epoch != epoch or side.name in self._world.links.down:
            self.end(node, arrival.attempt_id, AttemptOutcome.NOT_STARTED, 0)
            return
        side.run_requests[arrival.attempt_id] = attempt[1]
        admission = side.admission
        world = self._world
        world.at_side(side, epoch, admission.update_bids, arrival.entry, bids)
        world.at_side(side, epoch, admission.arrive, arrival)

    def _to_side(self, node: EntryNode, effect: SendToSide) -> None:
        side = self._world.sides[effect.side]
        message = effect.message
        call = partial(self._world.at_side, side, side.epoch)
        if isinstance(message, Decline):
            decline = side.admission.decline
            action = partial(call, decline, node.name, message.number)
        else:
            action = partial(
                call, side.admission.update_bids, node.name, message
            )
        links = self._world.links
        links.control(node.name, side.name, message, action)

    def _to_entries(self, node: EntryNode, effect: SendToEntries) -> None:
        message = effect.message
        for other in self._world.live_entries():
            if other is node:
                continue
            call = partial(self._world.at_entry, other)
            if isinstance(message, ServiceReport):
                action = partial(
                    call, other.routing.apply_service_report, message
                )
            else:
                action = partial(call, other.routing.apply_strike, message)
            links = self._world.links
            links.control(node.name, other.name, message, action)

    def _refuse(self, side: SideNode, effect: RefuseRequest) -> None:
        request = side.run_requests.pop(effect.attempt_id, None)
        if request is None:
            return
        reason = effect.reason.value
        self._world.meter.counts[f'refused {reason}'] += 1
        self._respond(
            side,
            request,
            effect.attempt_id,
            AttemptOutcome.NOT_STARTED,
            0,
        )

    def _grant(self, side: SideNode, effect: SendGrant) -> None:
        node = self._world.entries[effect.entry]
        action = partial(
            self._world.at_entry,
            node,
            node.routing.grant,
            side.name,
            effect.grant,
        )
        links = self._world.links
        links.control(side.name, node.name, effect.grant, action)

    def _batch(self, side: SideNode) -> None:
        if side.announcing:
            return
        side.announcing = True
        announce = partial(self._announce, side)
        self._world.events.after(BATCH_SECONDS, announce)

    def _announce(self, side: SideNode) -> None:
        side.announcing = False
        if side.name in self._world.links.down:
            return
        load = side.admission.load()
        for node in self._world.live_entries():
            action = partial(
                self._world.at_entry,
                node,
                node.routing.update_side_load,
                side.name,
                load,
            )
            self._world.links.control(side.name, node.name, load, action)

    def start(self, side: SideNode, attempt_id: str) -> None:
        """Start a request on a slot."""
        request = side.run_requests.pop(attempt_id)
        demand = request.demand
        now = self._world.events.now
        if request.waits:
            waits = self._world.meter.waits[demand.workspace]
            waits.append(now - demand.at_seconds)
        self._world.stop_waiting(request)
        running = Running(request, attempt_id, now)
        side.running[attempt_id] = running
        self._world.meter.occupy_slot(demand.workspace)
        self._world.events.after(
            demand.cost * self._world.unit_seconds,
            partial(self._finish, side, running),
        )

    def _finish(self, side: SideNode, running: Running) -> None:
        if running.ended:
            return
        self._world.stop(side, running, is_complete=True)
        self._world.meter.counts['whole'] += 1
        self._respond(
            side,
            running.request,
            running.attempt_id,
            AttemptOutcome.COMPLETED,
            running.request.demand.cost,
        )

    def _respond(
        self,
        side: SideNode,
        request: Request,
        attempt_id: str,
        end: AttemptOutcome,
        cost: float,
    ) -> None:
        links = self._world.links
        if links.cut(side.name, request.entry):
            return
        node = self._world.entries[request.entry]
        action = partial(self.end, node, attempt_id, end, cost)
        self._world.events.after(links.delay(), action)
