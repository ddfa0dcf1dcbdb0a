"""Workspaces that come through one entry and through many, at many engines.

The pattern: most entries ask one side for one workspace less often than the
past fades, and for all workspaces together several times a second. Grounds of
the figures: a fleet of the size that the users grow to (20 entries, 40
engines that read 90,000 tokens a second), long prompts, and two workspaces
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

from sardinetrack.admission.ask import Ask, Granted, Verdict
from sardinetrack.admission.reading import ReadingAdmission
from sardinetrack.fairness.news import ServiceNews
from sardinetrack.fairness.recent import RecentService

ENTRIES: Final = 20
ENGINES: Final = 40
RATE_TOKENS: Final = 90_000
PROMPT_TOKENS: Final = 20_000
ASKS_A_SECOND: Final = 180.0
"""Of each of the two: what all engines can read."""
SMALL_PROMPT_TOKENS: Final = 500
SMALL_ASKS_A_SECOND: Final = 2000.0
"""Of all small workspaces together, through all entries."""
SMALL_WORKSPACES: Final = 200
LAG_SECONDS: Final = 0.05
ANSWER_SECONDS: Final = 0.5
PATIENCE_SECONDS: Final = 0.4
TICK_SECONDS: Final = 0.001
"""A turn of a process comes no sooner."""
WARM_SECONDS: Final = 3.0
SECONDS: Final = 7.0
WIDE: Final = 'wide'
NARROW: Final = 'narrow'
Act = Callable[[float], None]


@dataclass(frozen=True, slots=True)
class Request:
    """What one caller asks for."""

    entry: int
    workspace: str
    tokens: int


class Entry:
    """What one entry counts and has told."""

    def __init__(self, number: int, most_told: int) -> None:
        """Start with nothing served."""
        self.name = f'entry-{number}'
        self.service = RecentService[str]()
        self.news = [ServiceNews(most_told) for _ in range(ENGINES)]


class Fleet:
    """Sides before engines, and entries, on a clock of its own."""

    def __init__(self, most_told: int) -> None:
        """Start idle.

        :param most_told: workspaces told with each question.
        """
        self.granted: Counter[str] = Counter()
        self._dice = random.Random(5)
        self._numbers = count()
        self._events: list[tuple[float, int, Act]] = []
        self._entries = [Entry(one, most_told) for one in range(ENTRIES)]
        self._sides = [ReadingAdmission(64, 4_000_000) for _ in range(ENGINES)]
        self._free_seconds = [float(0) for _ in range(ENGINES)]
        self._asked: dict[str, Request] = {}
        self._due_seconds = [math.inf for _ in range(ENGINES)]

    def play(self) -> Counter[str]:
        """Play the crowd.

        :return: tokens granted to each workspace after the first seconds.
        """
        self._at(0, partial(self._come, ASKS_A_SECOND, self._wide))
        self._at(0, partial(self._come, ASKS_A_SECOND, self._narrow))
        self._at(0, partial(self._come, SMALL_ASKS_A_SECOND, self._small))
        while self._events:
            now, _, act = heapq.heappop(self._events)
            if now > SECONDS:
                break
            act(now)
        return self.granted

    def _wide(self) -> Request:
        return Request(self._dice.randrange(ENTRIES), WIDE, PROMPT_TOKENS)

    def _narrow(self) -> Request:
        return Request(0, NARROW, PROMPT_TOKENS)

    def _small(self) -> Request:
        number = self._dice.randrange(SMALL_WORKSPACES)
        entry = self._dice.randrange(ENTRIES)
        return Request(entry, f'small-{number}', SMALL_PROMPT_TOKENS)

    def _at(self, seconds: float, act: Act) -> None:
        row = (seconds, next(self._numbers), act)
        heapq.heappush(self._events, row)

    def _come(
        self,
        rate: float,
        draw: Callable[[], Request],
        now: float,
    ) -> None:
        self._at(
            now + self._dice.expovariate(rate),
            partial(self._come, rate, draw),
        )
        self._ask(now, draw(), self._dice.randrange(ENGINES))

    def _ask(self, now: float, request: Request, engine: int) -> None:
        entry = self._entries[request.entry]
        ask = Ask(
            ask_id=f'{next(self._numbers)}',
            workspace=request.workspace,
            new_tokens=request.tokens,
            kept_tokens=request.tokens,
            answer_tokens=0,
            patience_seconds=PATIENCE_SECONDS,
            entry=entry.name,
            served_tokens=entry.service.tokens(now, request.workspace),
        )
        self._asked[ask.ask_id] = request
        side = self._sides[engine]
        news = entry.news[engine].rows(now, entry.service)
        side.hear(now, entry.name, news)
        self._carry_out(now, engine, side.ask(now, ask))

    def _carry_out(
        self,
        now: float,
        engine: int,
        verdicts: Sequence[Verdict],
    ) -> None:
        for verdict in verdicts:
            request = self._asked[verdict.ask_id]
            if isinstance(verdict, Granted):
                self._grant(now, engine, verdict.ask_id, request)
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
        ask_id: str,
        request: Request,
    ) -> None:
        entry = self._entries[request.entry]
        entry.service.add(now, request.workspace, request.tokens)
        if now > WARM_SECONDS:
            self.granted[request.workspace] += request.tokens
        begins = max(now, self._free_seconds[engine])
        read = begins + request.tokens / RATE_TOKENS
        self._free_seconds[engine] = read
        self._at(read + LAG_SECONDS, partial(self._begun, engine, ask_id))
        ends = read + LAG_SECONDS + ANSWER_SECONDS
        self._at(ends, partial(self._ended, engine, ask_id))

    def _begun(self, engine: int, ask_id: str, now: float) -> None:
        side = self._sides[engine]
        self._carry_out(now, engine, side.begun(now, ask_id))

    def _ended(self, engine: int, ask_id: str, now: float) -> None:
        side = self._sides[engine]
        self._carry_out(now, engine, side.ended(now, ask_id))
