"""Discrete event simulation of engines under load, on a virtual clock."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from itertools import count
from typing import Final

from sardinetrack.admission.request import (
    OWED_FRACTION,
    AdmissionDecision,
    AdmissionRequest,
    Granted,
)
from sardinetrack.emulator.api import Outcome, PlacementPolicy
from sardinetrack.emulator.engine import Engine
from sardinetrack.emulator.load import LoadProfile, Request
from sardinetrack.fairness.entry_service import EntryService
from sardinetrack.fairness.service_updates import ServiceUpdates
from sardinetrack.placement.choice import (
    MAX_FURTHER_HOMES,
    Candidate,
    further_home,
    rank_by_prefix,
    with_capacity,
)
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.placement.rendezvous import shared_prefix
from sardinetrack.relay.request_terms import RECOMPUTE_WAIT_SECONDS
from sardinetrack.relay.server_choice import MAX_PERMIT_REQUESTS
from sardinetrack.turns.load_report import REPORT_INTERVAL_SECONDS

MIN_IDLE_SECONDS: Final = 0.2
"""An engine that had no work for longer counts as idle."""
_REMAINING_TIME_DIVISOR: Final = 3.0
"""Callers retry within their remaining time divided by this."""
Action = Callable[[float], None]


class Simulation:
    """Simulates engines, one entry that places requests, and callers."""

    def __init__(self, shape: LoadProfile, policy: PlacementPolicy) -> None:
        """Build a simulation with idle engines.

        :param shape: deployment and load.
        :param policy: ranks the servers for each request.
        """
        self.outcome = Outcome()
        self._shape = shape
        self._policy = policy
        self._sequence_numbers = count()
        self._events: list[tuple[float, int, Action]] = []
        self._entries = [EmulatedEntry(one) for one in range(shape.entries)]
        self._prefix_index = PrefixCacheIndex()
        self._pending: dict[str, _Attempt] = {}
        engines = [Engine(one, shape) for one in range(shape.engines)]
        self._engines = {one.server.instance: one for one in engines}
        self._loads = {
            name: EstimatedLoad(
                rate_tokens=shape.rate_tokens,
            )
            for name in self._engines
        }

    def run_load(self, requests: Iterable[Request], seconds: float) -> Outcome:
        """Run until every request has ended.

        :param requests: the load, in order of arrival.
        :param seconds: how long load reports are sent.
        """
        for request in requests:
            self._schedule(
                request.arrived_seconds, partial(self._arrive, request)
            )
        for number in range(int(seconds / REPORT_INTERVAL_SECONDS)):
            self._schedule(
                number * REPORT_INTERVAL_SECONDS, self._send_load_reports
            )
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        busy = [one.busy_seconds for one in self._engines.values()]
        mean = sum(busy) / len(busy)
        self.outcome.busiest_part = max(busy) / mean if mean else 1
        return self.outcome

    def _schedule(self, moment: float, action: Action) -> None:
        heapq.heappush(
            self._events, (moment, next(self._sequence_numbers), action)
        )

    def _arrive(self, request: Request, now: float) -> None:
        if not request.is_retry:
            self.outcome.asked += 1
            self.outcome.asked_by[request.workspace] += 1
        self._request_permit(_Attempt(request, now), now)

    def _request_permit(self, attempt: _Attempt, now: float) -> None:
        candidate = self._choose_server(attempt, now)
        if candidate is None:
            self._refuse(attempt, now)
            return
        name = candidate.server.instance
        attempt.tried.append(name)
        request, entry = attempt.request, self._entries[attempt.request.entry]
        remaining_wait = attempt.remaining_wait_seconds(self._shape, now)
        recomputes = (
            candidate.recomputes_prefix and self._policy.limits_recompute_wait
        )
        ask = AdmissionRequest(
            f'{request.name}.{int(request.is_retry)}.{len(attempt.tried)}',
            request.workspace,
            candidate.prefill_tokens,
            request.own_tokens,
            request.prompt.output_tokens,
            RECOMPUTE_WAIT_SECONDS
            if recomputes and not attempt.is_owed
            else remaining_wait,
            entry=entry.name,
            served_tokens=entry.service.tokens(now, request.workspace),
            cached_tokens=request.prompt.tokens - candidate.prefill_tokens,
            short_seconds=entry.service.short_seconds(now, request.workspace),
        )
        attempt.cost = ask.cost
        self._pending[ask.permit_id] = attempt
        admission = self._engines[name].admission
        admission.update_served_tokens(
            now, entry.name, entry.updates[name].rows(now, entry.service)
        )
        self._apply_decisions(name, admission.request_permit(now, ask), now)
        self._schedule(now + ask.max_wait_seconds, partial(self._tick, name))

    def _choose_server(self, attempt: _Attempt, now: float) -> Candidate | None:
        if len(attempt.tried) >= MAX_PERMIT_REQUESTS:
            return None
        prompt = attempt.request.prompt
        cached_at = self._prefix_index.servers_with(now, shared_prefix(prompt))
        servers = [engine.server for engine in self._engines.values()]
        candidates = rank_by_prefix(prompt, servers, self._loads, cached_at)
        candidates = [
            one
            for one in self._policy.rank(candidates)
            if one.server.instance not in attempt.tried
        ]
        if attempt.tried:
            remaining_wait = attempt.remaining_wait_seconds(self._shape, now)
            free = next(with_capacity(candidates, remaining_wait), None)
            if free is None and attempt.may_go_on:
                attempt.further_homes += 1
                return further_home(candidates, attempt.request.name)
            return free
        return candidates[0] if candidates else None

    def _apply_decisions(
        self,
        name: str,
        decisions: Iterable[AdmissionDecision],
        now: float,
    ) -> None:
        for decision in decisions:
            attempt = self._pending.pop(decision.permit_id)
            if isinstance(decision, Granted):
                self._granted(name, decision.permit_id, attempt, now)
                continue
            attempt.is_owed = decision.service_fraction < OWED_FRACTION
            if attempt.retry_after_seconds is None:
                attempt.retry_after_seconds = decision.retry_after_seconds
            self._schedule(now, partial(self._request_permit, attempt))

    def _granted(
        self,
        name: str,
        permit_id: str,
        attempt: _Attempt,
        now: float,
    ) -> None:
        request, engine = attempt.request, self._engines[name]
        prefilled_at, recomputed = engine.prefill(now, request)
        self.outcome.again_tokens += recomputed
        self._entries[request.entry].service.add(
            now, request.workspace, attempt.cost
        )
        self._loads[name].added_tokens += request.own_tokens + recomputed
        self._schedule(
            prefilled_at, partial(self._first_token, name, permit_id, request)
        )

    def _first_token(
        self,
        name: str,
        permit_id: str,
        request: Request,
        now: float,
    ) -> None:
        outcome = self.outcome
        received = outcome.received_in[int(now)]
        received[request.workspace] += request.service_tokens
        if now - request.arrived_seconds <= self._shape.objective_seconds:
            outcome.in_time += 1
            outcome.in_time_by[request.workspace] += 1
        else:
            outcome.late += 1
        admission = self._engines[name].admission
        self._apply_decisions(
            name, admission.prefill_finished(now, permit_id), now
        )
        end = now + self._shape.run_seconds
        self._schedule(end, partial(self._ended, name, permit_id))

    def _ended(self, name: str, permit_id: str, now: float) -> None:
        admission = self._engines[name].admission
        self._apply_decisions(name, admission.ended(now, permit_id), now)

    def _tick(self, name: str, now: float) -> None:
        self._apply_decisions(
            name, self._engines[name].admission.tick(now), now
        )

    def _refuse(self, attempt: _Attempt, now: float) -> None:
        """Refuse an attempt; its caller retries once, after the wait it got."""
        request, outcome = attempt.request, self.outcome
        entry = self._entries[request.entry]
        entry.service.refused(now, request.workspace)
        if request.is_retry:
            outcome.refused += 1
            return
        outcome.refused_first += 1
        idle_since = now - MIN_IDLE_SECONDS
        outcome.refused_beside_idle += any(
            one.free_at_seconds < idle_since for one in self._engines.values()
        )
        deadline = request.arrived_seconds + self._shape.deadline_seconds
        max_wait = (deadline - now) / _REMAINING_TIME_DIVISOR
        retry_wait = min(max_wait, attempt.retry_after_seconds or 0)
        request.is_retry = True
        self._schedule(now + retry_wait, partial(self._arrive, request))

    def _send_load_reports(self, now: float) -> None:
        for name, engine in self._engines.items():
            admission = engine.admission
            self._loads[name].update(
                admission.wait_seconds(now),
                admission.rate_tokens,
            )
            self._prefix_index.record(
                now, engine.server.ip, engine.unreported_prefixes
            )
            engine.unreported_prefixes.clear()


class EmulatedEntry:
    """What one entry counts, and has reported to each side."""

    def __init__(self, number: int) -> None:
        """Build an entry that has had nothing served.

        :param number: becomes its name.
        """
        self.name = f'entry-{number}'
        self.service = EntryService()
        self.updates = defaultdict[str, ServiceUpdates](ServiceUpdates)


class _Attempt:
    """An attempt of a caller, with the servers that it has tried."""

    def __init__(self, request: Request, started_seconds: float) -> None:
        self.request = request
        self.tried: list[str] = []
        self.retry_after_seconds: float | None = None
        self.is_owed = False
        self.further_homes = 0
        self.cost = float(0)
        """Service that it receives if the last server grants it."""
        self._started_seconds = started_seconds

    @property
    def may_go_on(self) -> bool:
        """Whether it may try the next home server."""
        return self.is_owed and self.further_homes < MAX_FURTHER_HOMES

    def remaining_wait_seconds(self, shape: LoadProfile, now: float) -> float:
        """Return how long it may still wait."""
        return max(0, shape.max_wait_seconds - (now - self._started_seconds))
