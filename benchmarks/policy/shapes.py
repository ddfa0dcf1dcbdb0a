"""The two deployments: pools, entries, workspaces and their demand."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from types import MappingProxyType
from typing import Final

from sardinetrack.catalogue.api import (
    Pool,
    PoolClass,
    ServiceClass,
    Workspace,
    WorkspaceLimits,
)

PILOT: Final = 'pilot'
FLOODER: Final = 'w0'
_UNLIMITED: Final = 1_000_000
_PARETO_SHAPE: Final = 1.5
_SPREAD_SKEW: Final = 1.5
LARGE_WEIGHTS: Final = MappingProxyType({0: 4.0, 1: 2.0, 2: 2.0})
_MAX_COST: Final = 50.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One pool of one deployment, and the load on it."""

    deployment: str
    pool: str
    servers: int
    slots: int
    domains: tuple[str, ...]
    entries: int
    mean_run_seconds: float
    seconds: float = 120.0
    hop_seconds: float = 0.001
    waiting: int = 60
    hint_factor: float = 4.0

    @property
    def capacity(self) -> float:
        """Requests that the pool can finish in a second."""
        return self.servers * self.slots / self.mean_run_seconds


VARNA: Final = ('galata', 'asparuhovo', 'kamchia')
ZAGREB: Final = (
    'hall-borongaj',
    'hall-savica',
    'hall-jankomir',
    'hall-zitnjak',
)
DEPLOYMENTS: Final = (
    Deployment('varna', 'ice-llm', 9, 8, VARNA, 6, 4.0),
    Deployment('varna', 'chart-api', 3, 4, VARNA, 6, 0.5),
    Deployment('zagreb', 'lm-pool', 5, 8, ZAGREB, 4, 4.0),
    Deployment('zagreb', 'catalogue-api', 4, 4, ZAGREB, 4, 0.5),
)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A workspace and its demand."""

    name: str
    weight: float
    load: float
    """Offered load as a fraction of the pool's capacity."""
    spread: tuple[float, ...]
    """Fraction of its demand at each entry."""


@dataclass(frozen=True, slots=True)
class Demand:
    """One request that a caller will send."""

    at_seconds: float
    workspace: str
    entry: int
    cost: float
    hint: float


def tenants(shape: Deployment, random: Random) -> tuple[Tenant, ...]:
    """Draw sixteen workspaces: three large, one pilot, the rest small."""
    loads = [0.6, 0.5, 0.4, 0.12, 0.12, 0.12, 0.1, 0.1, 0.1]
    loads += [0.04, 0.04, 0.04, 0.03, 0.03, 0.03]
    drawn = [
        Tenant(
            f'w{number}',
            LARGE_WEIGHTS.get(number, 1),
            load,
            _spread(shape, random),
        )
        for number, load in enumerate(loads)
    ]
    pilot_entry = random.randrange(shape.entries)
    one_entry = [float(entry == pilot_entry) for entry in range(shape.entries)]
    load = 0.2 / shape.capacity / shape.mean_run_seconds
    return (*drawn, Tenant(PILOT, 1.0, load, tuple(one_entry)))


def _spread(shape: Deployment, random: Random) -> tuple[float, ...]:
    weights = [(rank + 1) ** -_SPREAD_SKEW for rank in range(shape.entries)]
    random.shuffle(weights)
    total = sum(weights)
    return tuple(part / total for part in weights)


def draw_cost(random: Random) -> float:
    """Draw a cost from a bounded Pareto distribution, 1 to 50."""
    low = _MAX_COST ** (-_PARETO_SHAPE)
    return (low + random.random() * (1 - low)) ** (-1 / _PARETO_SHAPE)


def mean_cost() -> float:
    """Return the mean of ``draw_cost``."""
    top = (
        _PARETO_SHAPE
        / (_PARETO_SHAPE - 1)
        * (1 - _MAX_COST ** (1 - _PARETO_SHAPE))
    )
    return top / (1 - _MAX_COST**-_PARETO_SHAPE)


def demand(
    shape: Deployment,
    all_tenants: tuple[Tenant, ...],
    random: Random,
    until_seconds: float | None = None,
) -> list[Demand]:
    """Draw Poisson arrivals of all workspaces."""
    drawn: list[Demand] = []
    until = shape.seconds if until_seconds is None else until_seconds
    for tenant in all_tenants:
        rate = tenant.load * shape.capacity
        at_seconds = random.expovariate(rate)
        while at_seconds < until:
            drawn.append(_draw(shape, tenant, random, at_seconds))
            at_seconds += random.expovariate(rate)
    return sorted(drawn, key=lambda one: one.at_seconds)


def _draw(
    shape: Deployment,
    tenant: Tenant,
    random: Random,
    at_seconds: float,
) -> Demand:
    entry = random.choices(range(shape.entries), tenant.spread)[0]
    cost = draw_cost(random)
    if tenant.name == PILOT:
        cost = min(cost, 2.0)
    factor = shape.hint_factor ** random.uniform(-1, 1)
    return Demand(at_seconds, tenant.name, entry, cost, cost * factor)


def flood(all_tenants: tuple[Tenant, ...], entries: int) -> tuple[Tenant, ...]:
    """Let one workspace send tenfold, evenly to every entry."""
    even = tuple(1 / entries for _ in range(entries))
    return tuple(
        replace(one, load=one.load * 10, spread=even)
        if one.name == FLOODER
        else one
        for one in all_tenants
    )


def workspaces(
    all_tenants: tuple[Tenant, ...],
    shape: Deployment,
) -> list[Workspace]:
    """Return the workspaces as catalogue objects."""
    return [
        Workspace(
            one.name,
            'owner',
            ServiceClass.STANDARD,
            WorkspaceLimits(
                one.weight, _UNLIMITED, float(_UNLIMITED), shape.waiting
            ),
            frozenset(),
        )
        for one in all_tenants
    ]


def catalogue_pool(shape: Deployment) -> Pool:
    """Return the pool as a catalogue object."""
    return Pool(
        shape.pool,
        'owner',
        PoolClass.MODEL,
        shape.slots,
        1000,
        600.0,
        (),
        (),
        frozenset(),
        0.1,
    )
