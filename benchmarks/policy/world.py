"""Runs the decision objects of a complete fleet over fake links."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any

from benchmarks.policy.carrier import Carrier
from benchmarks.policy.links import Events, Links
from benchmarks.policy.meter import Meter
from benchmarks.policy.nodes import (
    EntryNode,
    Policy,
    Request,
    Running,
    SideNode,
)
from benchmarks.policy.shapes import (
    Demand,
    Deployment,
    Tenant,
    catalogue_pool,
    mean_cost,
    workspaces,
)
from sardinetrack.admission.api import AdmissionEffect
from sardinetrack.routing.api import EntryEffect, RoutedRequest, SideInfo
from sardinetrack.routing.shared import ProcessIdentity

TICK_SECONDS = 0.1
PROGRESS_SECONDS = 0.5
SAMPLE_SECONDS = 0.25
MAX_WAIT_SECONDS = 600.0


class World:
    """A fleet of entries and sides of one pool."""

    def __init__(
        self,
        shape: Deployment,
        tenants: tuple[Tenant, ...],
        policy: Policy,
        seed: int,
    ) -> None:
        """Build and link all nodes."""
        self.shape = shape
        self.policy = policy
        self.random = Random(seed)
        self.events = Events()
        self.links = Links(self.events, self.random, shape.hop_seconds)
        self.meter = Meter(tenants)
        self.carrier = Carrier(self)
        self.requests: dict[str, Request] = {}
        self.entries: dict[str, EntryNode] = {}
        self.sides: dict[str, SideNode] = {}
        self.unit_seconds = shape.mean_run_seconds / mean_cost()
        for number in range(shape.servers):
            self._add_side(number)
        for number in range(shape.entries):
            self.add_entry(f'e{number}', 0)
        self.events.after(SAMPLE_SECONDS, self._sample)

    def add_entry(self, name: str, epoch: int) -> None:
        """Start an entry with no state and connect it to all sides."""
        identity = ProcessIdentity(name, f'i{epoch}')
        rng = Random(self.random.random())
        node = EntryNode(name, self.policy.routing(identity, rng))
        self.entries[name] = node
        self.at_entry(
            node,
            node.routing.configure,
            workspaces(self.meter.tenants, self.shape),
            [catalogue_pool(self.shape)],
        )
        for side in self.sides.values():
            self.connect(node, side)
        self.events.after(
            self.random.random() * TICK_SECONDS,
            partial(self._tick_entry, node, 0),
        )

    def connect(self, node: EntryNode, side: SideNode) -> None:
        """Connect an entry to a side, which reports its load."""
        info = SideInfo(
            side.name,
            self.shape.pool,
            side.name,
            side.domain,
            '127.0.0.1:1',
        )
        self.at_entry(node, node.routing.side_connected, info)
        load = side.admission.load()
        self.at_entry(node, node.routing.update_side_load, side.name, load)

    def live_entries(self) -> list[EntryNode]:
        """Return the entries that are running."""
        return [
            node
            for node in self.entries.values()
            if node.name not in self.links.down
        ]

    def at_entry(
        self,
        node: EntryNode,
        call: Callable[..., Sequence[EntryEffect]],
        *args: Any,
        **named: Any,
    ) -> None:
        """Call an entry's decisions and apply the effects."""
        if self.entries.get(node.name) is not node:
            return
        if node.name in self.links.down:
            return
        for effect in self._timed(call, *args, **named):
            self.carrier.from_entry(node, effect)

    def at_side(
        self,
        side: SideNode,
        epoch: int,
        call: Callable[..., Sequence[AdmissionEffect]],
        *args: Any,
        **named: Any,
    ) -> None:
        """Call a side's decisions and apply the effects."""
        if side.epoch != epoch or side.name in self.links.down:
            return
        self.account()
        for effect in self._timed(call, *args, **named):
            self.carrier.from_side(side, effect)

    def query_side(self, side: SideNode, attempt_id: str) -> None:
        """Query and cancel an attempt that is not running, so it never runs."""
        side.run_requests.pop(attempt_id, None)
        self._timed(side.admission.resolve_status, attempt_id, cancel=True)

    def stop(
        self, side: SideNode, running: Running, *, is_complete: bool
    ) -> float:
        """Free a slot and count the service that it delivered."""
        self.account()
        running.ended = True
        side.running.pop(running.attempt_id)
        cost = self.cost_so_far(running)
        self.meter.free_slot(running.request.demand.workspace, cost)
        self.at_side(
            side,
            side.epoch,
            side.admission.finished,
            running.attempt_id,
            is_complete=is_complete,
            cost=cost,
        )
        return cost

    def stop_waiting(self, request: Request) -> None:
        """Count a request that started or was given up."""
        if request.waits:
            self.account()
            request.waits = False
            self.meter.remove_waiting(request.demand.workspace, request.entry)

    def cost_so_far(self, running: Running) -> float:
        """Return the cost units that an attempt has received."""
        elapsed = self.events.now - running.since_seconds
        return min(elapsed / self.unit_seconds, running.request.demand.cost)

    def submit(self, demand: Demand) -> None:
        """Send a caller's request to a running entry."""
        name = f'e{demand.entry}'
        if name in self.links.down:
            name = self.live_entries()[0].name
        request = Request(f'r{len(self.requests)}', demand, name)
        self.requests[request.request_id] = request
        self.account()
        self.meter.add_waiting(demand, name)
        work = RoutedRequest(
            request.request_id,
            demand.workspace,
            self.shape.pool,
            demand.hint,
            self.events.now + MAX_WAIT_SECONDS,
            idempotent=True,
        )
        node = self.entries[name]
        self.at_entry(node, node.routing.submit, work)

    def account(self) -> None:
        """Count slot time since the last change."""
        seconds = self.meter.seconds_since_last(self.events.now)
        if seconds <= 0:
            return
        groups = {self.links.group_of(name) for name in self.sides}
        for group in groups:
            self._account_group(group, seconds)

    def run(self, demands: Sequence[Demand]) -> None:
        """Send all demands and run until the end of the shape's time."""
        for demand in demands:
            self.events.after(
                demand.at_seconds,
                partial(self.submit, demand),
            )
        self.events.run(self.shape.seconds)
        self.account()

    def _add_side(self, number: int) -> None:
        name = f's{number}'
        domain = self.shape.domains[number % len(self.shape.domains)]
        admission = self.policy.admission(f'{name}.0', self.shape.slots)
        self.sides[name] = SideNode(name, domain, admission)
        self.events.after(
            self.random.random() * TICK_SECONDS,
            partial(self._tick_side, name),
        )

    def _timed(
        self,
        call: Callable[..., Any],
        *args: Any,
        **named: Any,
    ) -> Any:
        begun = time.thread_time()
        effects = call(self.events.now, *args, **named)
        self.meter.decision_seconds += time.thread_time() - begun
        return effects

    def _tick_side(self, name: str) -> None:
        side = self.sides[name]
        self.at_side(side, side.epoch, side.admission.tick)
        self.events.after(TICK_SECONDS, partial(self._tick_side, name))

    def _tick_entry(self, node: EntryNode, last_progress: float) -> None:
        now = self.events.now
        if now - last_progress >= PROGRESS_SECONDS:
            last_progress = now
            self._progress(node)
        self.at_entry(node, node.routing.tick)
        again = partial(self._tick_entry, node, last_progress)
        self.events.after(TICK_SECONDS, again)

    def _progress(self, node: EntryNode) -> None:
        attempts = [(one, side) for one, (side, _) in node.attempts.items()]
        for attempt_id, side_name in attempts:
            running = self.sides[side_name].running.get(attempt_id)
            if running is None or self.links.cut(node.name, side_name):
                continue
            cost = self.cost_so_far(running)
            self.at_entry(node, node.routing.adjust_charge, attempt_id, cost)

    def _account_group(self, group: int, seconds: float) -> None:
        busy = [
            len(side.running)
            for side in self.sides.values()
            if side.name not in self.links.down
            and self.links.group_of(side.name) == group
        ]
        waiting = [
            count
            for name, count in self.meter.waiting_at.items()
            if self.links.group_of(name) == group
        ]
        slots = len(busy) * self.shape.slots
        self.meter.count_slot_time(seconds, slots, sum(busy), sum(waiting))

    def _sample(self) -> None:
        service: dict[str, float] = {}
        for side in self.sides.values():
            for running in side.running.values():
                name = running.request.demand.workspace
                cost = self.cost_so_far(running)
                service[name] = service.get(name, 0) + cost
        self.meter.sample(self.events.now, service)
        self.events.after(SAMPLE_SECONDS, self._sample)
