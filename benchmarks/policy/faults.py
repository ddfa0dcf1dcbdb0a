"""Faults to inject into a run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from benchmarks.policy.carrier import DETECT_SECONDS
from benchmarks.policy.nodes import EntryNode, SideNode
from benchmarks.policy.world import World
from sardinetrack.routing.api import AttemptOutcome

FAULT_SECONDS = 30.0
PARTITION_SECONDS = 60.0
RESTART_SECONDS = 3.0

Fault = Callable[[World], None]


def none(world: World) -> None:
    """Inject no fault."""


def loss(world: World) -> None:
    """Lose 5 % of the control messages."""
    world.links.loss = 0.05


def delay(world: World) -> None:
    """Delay every message by 200 ms."""
    world.links.added_seconds = 0.2


def partition(world: World) -> None:
    """Partition the fleet into halves for a minute."""
    world.events.after(FAULT_SECONDS, partial(cut, world))
    healed_seconds = FAULT_SECONDS + PARTITION_SECONDS
    world.events.after(healed_seconds, partial(heal, world))


def cut(world: World) -> None:
    """Cut all links between the halves."""
    world.account()
    domains = world.shape.domains
    for side in world.sides.values():
        world.links.groups[side.name] = domains.index(side.domain) % 2
    for number, name in enumerate(world.entries):
        world.links.groups[name] = number % 2
    world.events.after(DETECT_SECONDS, partial(detect_cut, world))


def detect_cut(world: World) -> None:
    """Let both ends of all cut links detect the cut."""
    for node in list(world.entries.values()):
        for side in world.sides.values():
            if world.links.cut(node.name, side.name):
                break_link(world, node, side)
        for other in list(world.entries.values()):
            if world.links.cut(node.name, other.name):
                world.at_entry(node, node.routing.peer_lost, other.name)


def break_link(world: World, node: EntryNode, side: SideNode) -> None:
    """Close the link of an entry and a side, and settle their attempts."""
    world.at_entry(node, node.routing.side_disconnected, side.name)
    _disconnect_entry(world, node, side)
    costs = _stop_all(world, node, side)
    for attempt_id, (name, _) in list(node.attempts.items()):
        if name != side.name:
            continue
        cost = costs.get(attempt_id)
        if cost is None:
            world.query_side(side, attempt_id)
            world.carrier.end(node, attempt_id, AttemptOutcome.NOT_STARTED, 0)
        else:
            world.carrier.end(node, attempt_id, AttemptOutcome.UNKNOWN, cost)


def _stop_all(
    world: World,
    node: EntryNode,
    side: SideNode,
) -> dict[str, float]:
    return {
        running.attempt_id: world.stop(side, running, is_complete=False)
        for running in list(side.running.values())
        if running.entry == node.name
    }


def _disconnect_entry(world: World, node: EntryNode, side: SideNode) -> None:
    disconnect = side.admission.entry_disconnected
    world.at_side(side, side.epoch, disconnect, node.name)


def heal(world: World) -> None:
    """Restore all cut links."""
    cut = [
        (node, side)
        for node in world.entries.values()
        for side in world.sides.values()
        if world.links.cut(node.name, side.name)
    ]
    world.account()
    world.links.groups.clear()
    for node, side in cut:
        world.connect(node, side)


def entry_restarts(world: World) -> None:
    """Restart an entry with no state."""
    world.events.after(FAULT_SECONDS, partial(kill_entry, world))
    world.events.after(
        FAULT_SECONDS + RESTART_SECONDS,
        partial(revive_entry, world),
    )


def entry_lost(world: World) -> None:
    """Lose an entry permanently, with the part of the ledger only it had."""
    world.events.after(FAULT_SECONDS, partial(kill_entry, world))


def kill_entry(world: World, name: str = 'e1') -> None:
    """Stop an entry; its state is lost."""
    node = world.entries[name]
    node.attempts.clear()
    for side in world.sides.values():
        _disconnect_entry(world, node, side)
        _stop_all(world, node, side)
    world.links.down.add(node.name)
    for request in world.requests.values():
        if request.entry == node.name:
            world.stop_waiting(request)
    for other in list(world.entries.values()):
        if other is not node:
            world.at_entry(other, other.routing.peer_lost, node.name)


def revive_entry(world: World, name: str = 'e1', epoch: int = 1) -> None:
    """Start an entry with no state."""
    world.links.down.discard(name)
    world.add_entry(name, epoch)


def side_restarts(world: World) -> None:
    """Restart a side with no state."""
    world.events.after(FAULT_SECONDS, partial(kill_side, world))
    world.events.after(
        FAULT_SECONDS + RESTART_SECONDS,
        partial(revive_side, world),
    )


def kill_side(world: World, name: str = 's1') -> None:
    """Stop a side and its running requests."""
    side = world.sides[name]
    world.account()
    world.links.down.add(side.name)
    for node in list(world.entries.values()):
        break_link(world, node, side)


def revive_side(world: World, name: str = 's1') -> None:
    """Start a side with no state."""
    side = world.sides[name]
    world.account()
    world.links.down.discard(side.name)
    side.epoch += 1
    side.run_requests.clear()
    side.admission = world.policy.admission(
        f'{name}.{side.epoch}',
        world.shape.slots,
    )
    for node in list(world.entries.values()):
        world.connect(node, side)


FAULTS = MappingProxyType(
    {
        'none': none,
        'loss': loss,
        'delay': delay,
        'partition': partition,
        'entry restarts': entry_restarts,
        'entry lost': entry_lost,
        'side restarts': side_restarts,
    },
)
