"""Workspaces that come through one entry and through many, at many engines.

The case: most entries request permits of one side for one workspace less often
than service decays, and for all workspaces together several times a second.
Basis of the figures: a fleet of the size that the users grow to (20 entries, 40
engines that prefill 90,000 tokens a second), long prompts, and two workspaces
of which each would take all engines.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Final

from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.admission.request import (
    AdmissionDecision,
    AdmissionRequest,
    Granted,
)
from sardinetrack.fairness.decaying_service import DecayingService
from sardinetrack.fairness.service_updates import ServiceUpdates

ENTRIES: Final = 20
ENGINES: Final = 40
RATE_TOKENS: Final = 90_000
PROMPT_TOKENS: Final = 20_000
REQUESTS_A_SECOND: Final = 180.0
"""Of each of the two: what all engines can prefill."""
SMALL_PROMPT_TOKENS: Final = 500
SMALL_REQUESTS_A_SECOND: Final = 2000.0
"""Of all small workspaces together, through all entries."""
SMALL_WORKSPACES: Final = 200
LAG_SECONDS: Final = 0.05
ANSWER_SECONDS: Final = 0.5
MAX_WAIT_SECONDS: Final = 0.4
TICK_SECONDS: Final = 0.001
"""Shortest iteration of an event loop."""
WARM_SECONDS: Final = 3.0
SECONDS: Final = 7.0
WIDE: Final = 'wide'
NARROW: Final = 'narrow'
Action = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class Request:
    """What one caller requests."""

    entry: int
    workspace: str
    tokens: int


class Entry:
    """What one entry counts and has reported."""

    def __init__(self, number: int, max_reported: int) -> None:
        self.name = f'entry-{number}'
        self.service = DecayingService[str]()
        self.updates = [ServiceUpdates(max_reported) for _ in range(ENGINES)]


class Fleet:
    """Sides with their engines, and entries, on a simulated clock."""

    def __init__(self, max_reported: int) -> None:
        """Start idle.

        :param max_reported: workspaces reported with each permit request.
        """
        self.granted: Counter[str] = Counter()
        self._rng = random.Random(5)
        self._numbers = count()
        self._events: list[tuple[float, int, Action]] = []
        self._entries = [Entry(one, max_reported) for one in range(ENTRIES)]
        self._sides = [PrefillAdmission(64, 4_000_000) for _ in range(ENGINES)]
        self._free_seconds = [float(0) for _ in range(ENGINES)]
        self._requested: dict[str, Request] = {}
        self._due_seconds = [math.inf for _ in range(ENGINES)]

    def run(self) -> Counter[str]:
        """Run the simulation.

        :return: tokens granted to each workspace after the first seconds.
        """
        self._at(0, partial(self._arrive, REQUESTS_A_SECOND, self._wide))
        self._at(0, partial(self._arrive, REQUESTS_A_SECOND, self._narrow))
        self._at(0, partial(self._arrive, SMALL_REQUESTS_A_SECOND, self._small))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > SECONDS:
                break
            action(now)
        return self.granted

    def _wide(self) -> Request:
        return Request(self._rng.randrange(ENTRIES), WIDE, PROMPT_TOKENS)

    def _narrow(self) -> Request:
        return Request(0, NARROW, PROMPT_TOKENS)

    def _small(self) -> Request:
        number = self._rng.randrange(SMALL_WORKSPACES)
        entry = self._rng.randrange(ENTRIES)
        return Request(entry, f'small-{number}', SMALL_PROMPT_TOKENS)

    def _at(self, seconds: float, action: Action) -> None:
        row = (seconds, next(self._numbers), action)
        heapq.heappush(self._events, row)

    def _arrive(
        self,
        rate: float,
        make_request: Callable[[], Request],
        now: float,
    ) -> None:
        self._at(
            now + self._rng.expovariate(rate),
            partial(self._arrive, rate, make_request),
        )
        self._request(now, make_request(), self._rng.randrange(ENGINES))

    def _request(self, now: float, request: Request, engine: int) -> None:
        entry = self._entries[request.entry]
        permit_request = AdmissionRequest(
            permit_id=f'{next(self._numbers)}',
            workspace=request.workspace,
            prefill_tokens=request.tokens,
            kv_cache_tokens=request.tokens,
            output_tokens=0,
            max_wait_seconds=MAX_WAIT_SECONDS,
            entry=entry.name,
            served_tokens=entry.service.tokens(now, request.workspace),
        )
        self._requested[permit_request.permit_id] = request
        side = self._sides[engine]
        served = entry.updates[engine].rows(now, entry.service)
        side.update_served_tokens(now, entry.name, served)
        self._carry_out(now, engine, side.request_permit(now, permit_request))

    def _carry_out(
        self,
        now: float,
        engine: int,
        decisions: Sequence[AdmissionDecision],
    ) -> None:
        for decision in decisions:
            request = self._requested[decision.permit_id]
            if isinstance(decision, Granted):
                self._grant(now, engine, decision.permit_id, request)
        side = self._sides[engine]
        due = side.next_deadline_seconds(now)
        if due is not None and due < self._due_seconds[engine]:
            self._due_seconds[engine] = due
            self._at(max(due, now + TICK_SECONDS), partial(self._tick, engine))

    def _tick(self, engine: int, now: float) -> None:
        self._due_seconds[engine] = math.inf
        self._carry_out(now, engine, self._sides[engine].tick(now))

    def _grant(
        self,
        now: float,
        engine: int,
        permit_id: str,
        request: Request,
    ) -> None:
        entry = self._entries[request.entry]
        entry.service.add(now, request.workspace, request.tokens)
        if now > WARM_SECONDS:
            self.granted[request.workspace] += request.tokens
        begins = max(now, self._free_seconds[engine])
        prefilled = begins + request.tokens / RATE_TOKENS
        self._free_seconds[engine] = prefilled
        self._at(
            prefilled + LAG_SECONDS, partial(self._begun, engine, permit_id)
        )
        ends = prefilled + LAG_SECONDS + ANSWER_SECONDS
        self._at(ends, partial(self._ended, engine, permit_id))

    def _begun(self, engine: int, permit_id: str, now: float) -> None:
        side = self._sides[engine]
        self._carry_out(now, engine, side.prefill_finished(now, permit_id))

    def _ended(self, engine: int, permit_id: str, now: float) -> None:
        side = self._sides[engine]
        self._carry_out(now, engine, side.ended(now, permit_id))
