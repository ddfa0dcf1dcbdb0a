"""Measures service, waits and idle slots outside the decision objects."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping

from benchmarks.policy.shapes import Demand, Tenant


class Meter:
    """Figures of one run."""

    def __init__(self, tenants: tuple[Tenant, ...]) -> None:
        """Build a meter with all figures at zero."""
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
        """Maximum number of slots that each workspace occupied."""
        self._service = _Gaps()
        self._waiting: Counter[str] = Counter()
        self._occupied: Counter[str] = Counter()
        self._largest_cost: float = 0
        self._accounted_until: float = 0

    def add_waiting(self, demand: Demand, entry: str) -> None:
        """Count a request that starts to wait."""
        self.counts['submitted'] += 1
        self._largest_cost = max(self._largest_cost, demand.cost)
        self._waiting[demand.workspace] += 1
        self.waiting_at[entry] += 1

    def remove_waiting(self, workspace: str, entry: str) -> None:
        """Count a request that stops waiting."""
        self.waiting_at[entry] -= 1
        self._waiting[workspace] -= 1
        if not self._waiting[workspace]:
            self._service.emptied.add(workspace)

    def occupy_slot(self, workspace: str) -> None:
        """Count a slot that becomes occupied."""
        self._occupied[workspace] += 1
        self.peak[workspace] = max(
            self.peak[workspace],
            self._occupied[workspace],
        )

    def free_slot(self, workspace: str, cost: float) -> None:
        """Count a slot that becomes free, and the service delivered."""
        self._occupied[workspace] -= 1
        self.delivered[workspace] += cost

    def seconds_since_last(self, now: float) -> float:
        """Return the time since the last call."""
        seconds = now - self._accounted_until
        self._accounted_until = now
        return seconds

    def count_slot_time(
        self,
        seconds: float,
        slots: int,
        busy: int,
        waiting: int,
    ) -> None:
        """Count slot time, and how much was idle while requests waited."""
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
        """Return the guaranteed bound of the gap, in largest request costs.

        A workspace may be ahead by one largest request for each slot that it
        occupies, and by the service it receives there before the other
        entries receive a report of it.

        :param stale_units: service of one slot during the maximum age of the
            ledgers.
        :return: the bound for the slots that were occupied in this run.
        """
        slots = max(self.peak[one.name] / one.weight for one in self.tenants)
        return slots * (self._largest_cost + stale_units) / self._largest_cost

    def reset_pairs(self) -> None:
        """Start all intervals again, to measure the gap after a fault."""
        self._service.pairs = {}

    def gap(self, since: float, until: float) -> float:
        """Return the largest gap of a time span, in largest request costs."""
        in_span = [
            gap for at, gap in self._service.gaps if since <= at <= until
        ]
        return max(in_span, default=0) / self._largest_cost


class _Gaps:
    """Differences of weighted service since both became backlogged."""

    def __init__(self) -> None:
        self.emptied: set[str] = set()
        self.pairs: dict[tuple[str, str], tuple[float, float]] = {}
        self.gaps: list[tuple[float, float]] = []

    def sample(self, now: float, service: Mapping[str, float]) -> None:
        ranges: dict[tuple[str, str], tuple[float, float]] = {}
        names = sorted(service)
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                difference = service[one] - service[other]
                ranges[(one, other)] = self._range((one, other), difference)
        self.pairs = ranges
        self.emptied.clear()
        gap = max((high - low for low, high in ranges.values()), default=0)
        self.gaps.append((now, gap))

    def _range(
        self,
        pair: tuple[str, str],
        difference: float,
    ) -> tuple[float, float]:
        previous = self.pairs.get(pair)
        if previous is None or not self.emptied.isdisjoint(pair):
            return difference, difference
        return min(previous[0], difference), max(previous[1], difference)
