"""Runs one case and reduces it to figures."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

from benchmarks.policy.fair import FairPolicy
from benchmarks.policy.faults import (
    FAULT_SECONDS,
    FAULTS,
    PARTITION_SECONDS,
)
from benchmarks.policy.nodes import Policy
from benchmarks.policy.shapes import (
    PILOT,
    Demand,
    Deployment,
    demand,
    draw_cost,
    flood,
    tenants,
)
from benchmarks.policy.world import World
from sardinetrack.fairness.invariant import ensure

RECOVERY_SECONDS: Final = 5.0
MAX_REPORT_AGE_SECONDS: Final = 2.0
"""Maximum time between reports of an entry."""
BOUNDED_CASES: Final = ('none', 'delay', 'flood', 'same minute')
"""Cases in which the guaranteed bound is asserted."""


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run."""

    gap: float
    gap_after: float
    bound: float
    idle: float
    busy: float
    messages: float
    message_bytes: float
    decision_microseconds: float
    pilot_waits: tuple[float, ...]
    requests: int
    counts: dict[str, int]


def run_case(
    shape: Deployment,
    policy: Policy,
    case: str,
    seed: int,
) -> Figures:
    """Run one seed of one case.

    :param shape: pool and load.
    :param policy: decisions under measurement.
    :param case: a fault, ``flood`` or ``same minute``.
    :param seed: seed of everything drawn.
    :return: the figures.
    """
    random = Random(f'{shape.pool} {case} {seed}')
    all_tenants = tenants(shape, random)
    if case == 'flood':
        all_tenants = flood(all_tenants, shape.entries)
    demands = demand(shape, all_tenants, random)
    if case == 'same minute':
        demands = _same_minute(shape, all_tenants, random)
    world = World(shape, all_tenants, policy, seed)
    FAULTS.get(case, FAULTS['none'])(world)
    healed = FAULT_SECONDS + PARTITION_SECONDS
    world.events.after(healed + RECOVERY_SECONDS, world.meter.reset_pairs)
    world.run(demands)
    figures = _figures(world, healed + RECOVERY_SECONDS)
    if isinstance(policy, FairPolicy) and case in BOUNDED_CASES:
        ensure(figures.gap <= figures.bound, 'the gap is within its bound')
    return figures


def _same_minute(
    shape: Deployment,
    all_tenants: tuple,
    random: Random,
) -> list[Demand]:
    """Draw a burst of all workspaces within seconds, and little else."""
    quiet = demand(shape, all_tenants, random, until_seconds=1.0)
    for tenant in all_tenants:
        for _ in range(4 * shape.servers * shape.slots // len(all_tenants)):
            at_seconds = 10 + random.random() * 5
            entry = random.choices(range(shape.entries), tenant.spread)[0]
            cost = draw_cost(random)
            hint = cost * shape.hint_factor ** random.uniform(-1, 1)
            quiet.append(Demand(at_seconds, tenant.name, entry, cost, hint))
    return sorted(quiet, key=lambda one: one.at_seconds)


def _figures(world: World, healed: float) -> Figures:
    meter = world.meter
    requests = max(1, meter.counts['whole'])
    stale_seconds = MAX_REPORT_AGE_SECONDS + 2 * world.links.added_seconds
    mean = world.shape.mean_run_seconds
    return Figures(
        gap=meter.gap(0, healed),
        gap_after=meter.gap(healed, world.shape.seconds),
        bound=meter.bound(stale_seconds / world.unit_seconds),
        idle=meter.idle_seconds / meter.slot_seconds,
        busy=meter.busy_seconds / meter.slot_seconds,
        messages=sum(world.links.messages.values()) / requests,
        message_bytes=world.links.sent_bytes / requests,
        decision_microseconds=meter.decision_seconds * 1e6 / requests,
        pilot_waits=tuple(wait / mean for wait in meter.waits[PILOT]),
        requests=requests,
        counts={**meter.counts, **world.links.messages},
    )
