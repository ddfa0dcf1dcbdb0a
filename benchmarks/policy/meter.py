"""Measures service, waits and idle slots from outside the decisions."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping

from benchmarks.policy.shapes import Demand, Tenant


class Meter:
    """Figures of one run."""

    def __init__(self, tenants: tuple[Tenant, ...]) -> None:
        """Start at zero."""
        self.tenants = tenants
        self.counts: Counter[str] = Counter()
        self.waits: defaultdict[str, list[float]] = defaultdict(list)
        self.delivered: defaultdict[str, float] = defaultdict(float)
        self.waiting_at: Counter[str] = Counter()
        self.decision_seconds: float = 0
        self.idle_seconds: float = 0
        self.busy_seconds: float = 0
        self.slot_seconds: float = 0
        self.peak: Counter[str] = Counter()
        """Most slots that each workspace held at once."""
        self._service = _Gaps()
        self._waiting: Counter[str] = Counter()
        self._held: Counter[str] = Counter()
        self._largest: float = 0
        self._accounted: float = 0

    def enter(self, demand: Demand, entry: str) -> None:
        """Note waiting work."""
        self.counts['submitted'] += 1
        self._largest = max(self._largest, demand.cost)
        self._waiting[demand.workspace] += 1
        self.waiting_at[entry] += 1

    def leave(self, workspace: str, entry: str) -> None:
        """Note that work waits no longer."""
        self.waiting_at[entry] -= 1
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            self._service.emptied.add(workspace)

    def hold(self, workspace: str) -> None:
        """Note a slot taken."""
        self._held[workspace] += 1
        self.peak[workspace] = max(
            self.peak[workspace],
            self._held[workspace],
        )

    def release(self, workspace: str, cost: float) -> None:
        """Note a slot freed, and what it delivered."""
        self._held[workspace] -= 1
        self.delivered[workspace] += cost

    def elapsed(self, now: float) -> float:
        """Tell the time since the last call."""
        seconds = now - self._accounted
        self._accounted = now
        return seconds

    def idle(
        self,
        seconds: float,
        slots: int,
        busy: int,
        waiting: int,
    ) -> None:
        """Count slot-time, and the part idle while work waited."""
        self.slot_seconds += slots * seconds
        self.busy_seconds += busy * seconds
        self.idle_seconds += min(slots - busy, waiting) * seconds

    def sample(self, now: float, running: Mapping[str, float]) -> None:
        """Compare all pairs of workspaces that are backlogged.

        :param now: time of the sample.
        :param running: service so far of running requests, by workspace.
        """
        service = {
            one.name: (self.delivered[one.name] + running.get(one.name, 0))
            / one.weight
            for one in self.tenants
            if self._waiting[one.name]
        }
        self._service.sample(now, service)

    def bound(self, stale_units: float) -> float:
        """Compute the promised gap in units of the largest request.

        A workspace may be ahead by one largest request for each slot that it
        holds, and by what it gets there before others hear of it.

        :param stale_units: service of one slot in the staleness of ledgers.
        :return: the bound for the slots that were held in this run.
        """
        slots = max(self.peak[one.name] / one.weight for one in self.tenants)
        return slots * (self._largest + stale_units) / self._largest

    def reset_pairs(self) -> None:
        """Start all intervals anew, to see the gap after a fault."""
        self._service.pairs = {}

    def gap(self, since: float, until: float) -> float:
        """Largest gap in units of the largest request."""
        seen = [gap for at, gap in self._service.gaps if since <= at <= until]
        return max(seen, default=0) / self._largest


class _Gaps:
    """Differences of weighted service since both became backlogged."""

    def __init__(self) -> None:
        self.emptied: set[str] = set()
        self.pairs: dict[tuple[str, str], tuple[float, float]] = {}
        self.gaps: list[tuple[float, float]] = []

    def sample(self, now: float, service: Mapping[str, float]) -> None:
        fresh: dict[tuple[str, str], tuple[float, float]] = {}
        names = sorted(service)
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                difference = service[one] - service[other]
                fresh[(one, other)] = self._range((one, other), difference)
        self.pairs = fresh
        self.emptied.clear()
        gap = max((high - low for low, high in fresh.values()), default=0)
        self.gaps.append((now, gap))

    def _range(
        self,
        pair: tuple[str, str],
        difference: float,
    ) -> tuple[float, float]:
        known = self.pairs.get(pair)
        if known is None or not self.emptied.isdisjoint(pair):
            return difference, difference
        return min(known[0], difference), max(known[1], difference)
