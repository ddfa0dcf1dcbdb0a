"""Play a crowd before engines, event by event, on a clock of its own."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from functools import partial
from itertools import count
from typing import Final

from sardinetrack.admission.ask import Ask, Granted, Verdict
from sardinetrack.emulator.api import Order, Outcome
from sardinetrack.emulator.engine import Engine
from sardinetrack.emulator.load import Request, Shape
from sardinetrack.fairness.recent import RecentService
from sardinetrack.placement.choice import Candidate, by_prompt, with_room
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.home import shared_part
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.relay.placing import GUEST_SECONDS, MOST_ASKED
from sardinetrack.turns.side import WORD_SECONDS

IDLE_SECONDS: Final = 0.2
"""An engine without work for longer is idle."""
_WAITS_PART: Final = 3.0
"""Callers come back within this part of the time they have left."""
Act = Callable[[float], None]


class Crowd:
    """Engines, one entry that places, and the callers' patience."""

    def __init__(self, shape: Shape, order: Order) -> None:
        """Start with idle engines."""
        self.outcome = Outcome()
        self._shape = shape
        self._order = order
        self._numbers = count()
        self._events: list[tuple[float, int, Act]] = []
        self._service = RecentService[str]()
        self._holdings = Holdings()
        self._asking: dict[str, _Try] = {}
        engines = [Engine(one, shape) for one in range(shape.engines)]
        self._engines = {one.server.instance: one for one in engines}
        self._loads = {
            name: EstimatedLoad(
                rate_tokens=shape.rate_tokens,
            )
            for name in self._engines
        }

    def play(self, requests: Iterable[Request], seconds: float) -> Outcome:
        """Play until every request has ended."""
        for request in requests:
            self._at(request.came_seconds, partial(self._come, request))
        for number in range(int(seconds / WORD_SECONDS)):
            self._at(number * WORD_SECONDS, self._word)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        busy = [one.busy_seconds for one in self._engines.values()]
        mean = sum(busy) / len(busy)
        self.outcome.busiest_part = max(busy) / mean if mean else 1
        return self.outcome

    def _at(self, moment: float, act: Act) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), act))

    def _come(self, request: Request, now: float) -> None:
        if not request.returned:
            self.outcome.asked += 1
            self.outcome.asked_by[request.workspace] += 1
        self._ask(_Try(request, now), now)

    def _ask(self, attempt: _Try, now: float) -> None:
        candidate = self._best(attempt, now)
        if candidate is None:
            self._refused(attempt, now)
            return
        name = candidate.server.instance
        attempt.tried.append(name)
        request = attempt.request
        patience = attempt.patience_seconds(self._shape, now)
        guest = candidate.is_guest and self._order.guests_hurry
        ask = Ask(
            f'{request.name}.{int(request.returned)}.{len(attempt.tried)}',
            request.workspace,
            candidate.prefill_tokens,
            request.own_tokens,
            self._shape.answer_tokens,
            GUEST_SECONDS if guest else patience,
            served_tokens=self._service.tokens(now, request.workspace),
        )
        self._asking[ask.ask_id] = attempt
        self._take(
            name, self._engines[name].admission.request_permit(now, ask), now
        )
        self._at(now + ask.max_wait_seconds, partial(self._tick, name))

    def _best(self, attempt: _Try, now: float) -> Candidate | None:
        if len(attempt.tried) >= MOST_ASKED:
            return None
        prompt = attempt.request.prompt
        held = self._holdings.servers_with(now, shared_part(prompt))
        servers = [engine.server for engine in self._engines.values()]
        found = by_prompt(prompt, servers, self._loads, held)
        found = [
            one
            for one in self._order.sort(found)
            if one.server.instance not in attempt.tried
        ]
        if attempt.tried:
            left = attempt.patience_seconds(self._shape, now)
            found = list(with_room(found, left))
        return found[0] if found else None

    def _take(
        self,
        name: str,
        verdicts: Iterable[Verdict],
        now: float,
    ) -> None:
        for verdict in verdicts:
            attempt = self._asking.pop(verdict.ask_id)
            if isinstance(verdict, Granted):
                self._granted(name, verdict.ask_id, attempt, now)
                continue
            if attempt.retry_after_seconds is None:
                attempt.retry_after_seconds = verdict.retry_after_seconds
            self._at(now, partial(self._ask, attempt))

    def _granted(
        self,
        name: str,
        ask_id: str,
        attempt: _Try,
        now: float,
    ) -> None:
        request, engine = attempt.request, self._engines[name]
        read_at, again = engine.read(now, request)
        tokens = request.own_tokens + again
        self.outcome.again_tokens += again
        self._service.add(now, request.workspace, tokens)
        self._loads[name].added_tokens += tokens
        self._at(read_at, partial(self._begun, name, ask_id, request))

    def _begun(
        self,
        name: str,
        ask_id: str,
        request: Request,
        now: float,
    ) -> None:
        outcome = self.outcome
        if now - request.came_seconds <= self._shape.objective_seconds:
            outcome.in_time += 1
            outcome.in_time_by[request.workspace] += 1
        else:
            outcome.late += 1
        admission = self._engines[name].admission
        self._take(name, admission.prefill_finished(now, ask_id), now)
        ends = now + self._shape.run_seconds
        self._at(ends, partial(self._ended, name, ask_id))

    def _ended(self, name: str, ask_id: str, now: float) -> None:
        admission = self._engines[name].admission
        self._take(name, admission.ended(now, ask_id), now)

    def _tick(self, name: str, now: float) -> None:
        self._take(name, self._engines[name].admission.tick(now), now)

    def _refused(self, attempt: _Try, now: float) -> None:
        """Refuse; its caller comes back once, when it was told to."""
        request, outcome = attempt.request, self.outcome
        if request.returned:
            outcome.refused += 1
            return
        outcome.refused_first += 1
        idle_since = now - IDLE_SECONDS
        outcome.refused_beside_idle += any(
            one.free_at_seconds < idle_since for one in self._engines.values()
        )
        ends = request.came_seconds + self._shape.deadline_seconds
        most = (ends - now) / _WAITS_PART
        wait = min(most, attempt.retry_after_seconds or 0)
        request.returned = True
        self._at(now + wait, partial(self._come, request))

    def _word(self, now: float) -> None:
        for name, engine in self._engines.items():
            admission = engine.admission
            self._loads[name].update(
                admission.wait_seconds(now),
                admission.rate_tokens,
            )
            self._holdings.record(now, engine.server.ip, engine.told)
            engine.told.clear()


class _Try:
    """One attempt of a caller: the servers it has asked."""

    def __init__(self, request: Request, began_seconds: float) -> None:
        self.request = request
        self.tried: list[str] = []
        self.retry_after_seconds: float | None = None
        self._began_seconds = began_seconds

    def patience_seconds(self, shape: Shape, now: float) -> float:
        """Tell how long it may still wait."""
        return max(0, shape.patience_seconds - (now - self._began_seconds))
