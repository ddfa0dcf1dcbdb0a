"""Admission to one model engine by what it has to read.

An engine admits requests as they come, knows no priorities and reads long
prompts beside everybody's tokens. What it has been given can't be taken back,
so it is given only as much as keeps it busy; the rest waits here, where the
order is still ours: least served workspace first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.fairness.recent import SharedService

READING_SECONDS: Final = 0.2
"""Reading that an engine is given ahead.

Enough that it is never without work for a round trip (3 ms) and a late turn
of this process; short enough that who is granted gets the first token within
the shortest objective of the users (0.6 s). Measured on the users' days with
trouble, mean worth over the two sites: 0.12 s 0.53, 0.15 s 0.53, 0.2 s 0.54,
0.35 s 0.53, 0.5 s 0.49; on the heaviest day 0.05 to 0.11 more than 0.5 s.
"""
MEMORY_PART: Final = 0.72
"""Part of an engine's memory given to the own tokens of requests.

The rest holds the shared parts in use; when memory runs out the newest
request is read again from the start.
"""
SLOTS_PART: Final = 0.97
FIRST_RATE_TOKENS: Final = 40_000.0
_RATE_GAIN: Final = 0.08
_LEAST_RATE_PART: Final = 0.04
_ANSWER_WEIGHT: Final = 2.0
"""Tokens generated count twice (the platform's pages)."""
_LEAST_RETRY_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that would like to go to the engine."""

    ask_id: str
    workspace: str
    new_tokens: int
    """Prompt tokens that the engine would have to read."""
    kept_tokens: int
    """Tokens that it adds to the engine's memory, those of the answer too."""
    answer_tokens: int
    patience_seconds: float
    priority: int = 0
    entry: str = ''
    served_tokens: float = 0
    """What the entry has had served to the workspace lately, anywhere."""
    part: str = ''
    """The shared part that the engine holds when the request has begun."""

    @property
    def cost(self) -> float:
        """Service that it takes, in tokens."""
        return self.new_tokens + _ANSWER_WEIGHT * self.answer_tokens


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now."""

    ask_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be served in time; it must not be sent."""

    ask_id: str
    retry_after_seconds: float
    waited_seconds: float
    ahead_tokens: int
    """What was to be read before it."""


Verdict = Granted | Refused


@dataclass(slots=True)
class _Running:
    ask: Ask
    granted_seconds: float
    begun: bool = False


@dataclass(slots=True)
class _Waiting:
    ask: Ask
    asked_seconds: float

    @property
    def until_seconds(self) -> float:
        return self.asked_seconds + self.ask.patience_seconds


class ReadingAdmission:
    """Decides which request goes to the engine next; reads no clock."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start empty.

        :param slots: requests that the engine runs at once.
        :param memory_tokens: tokens that fit into its memory.
        """
        self.rate_tokens = FIRST_RATE_TOKENS
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._share = float(1)
        self._running: dict[str, _Running] = {}
        self._queues: dict[str, deque[_Waiting]] = {}
        self._service = SharedService()
        self._reading_tokens = 0
        self._kept_tokens = 0
        self._last_begun_seconds = float(0)

    def resize(
        self,
        slots: int,
        memory_tokens: int,
        share: float = 1,
    ) -> None:
        """Take over the engine's size as the configuration tells it.

        :param share: the part of the engine that is granted here.
        """
        self._slots = max(1, int(slots * share))
        self._memory_tokens = int(memory_tokens * share)
        self._share = share

    @property
    def running(self) -> int:
        """Count the requests at the engine."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Count the requests that wait here."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def slots_left(self) -> int:
        """Count the free slots."""
        return max(0, int(self._slots * SLOTS_PART) - len(self._running))

    def wait_seconds(self) -> float:
        """Estimate how long a request waits until it is read."""
        queued = sum(
            one.ask.new_tokens
            for queue in self._queues.values()
            for one in queue
        )
        return (self._reading_tokens + queued) / self.rate_tokens

    def restart(self, now: float) -> Sequence[Verdict]:
        """Note that the engine has started anew and knows of nothing.

        What ran there is gone, and its rate was another process's. What
        waits here was never sent; it goes on waiting, for an empty engine.
        What the workspaces were served stays true.
        """
        self.rate_tokens = FIRST_RATE_TOKENS
        self._running.clear()
        self._reading_tokens = 0
        self._kept_tokens = 0
        self._last_begun_seconds = now
        return self._turn(now)

    def ask(self, now: float, ask: Ask) -> Sequence[Verdict]:
        """Take in a request: it is granted, refused or waits."""
        self._service.hear(now, ask.entry, ask.workspace, ask.served_tokens)
        ahead_tokens = self._ahead(now, ask)
        wait_seconds = ahead_tokens / self.rate_tokens
        if wait_seconds > ask.patience_seconds:
            return (self._refusal(ask, wait_seconds, float(0), ahead_tokens),)
        queue = self._queues.get(ask.workspace)
        if not queue:
            queue = deque()
            self._queues[ask.workspace] = queue
        queue.append(_Waiting(ask, now))
        return self._turn(now)

    def withdraw(self, now: float, ask_id: str) -> Sequence[Verdict]:
        """Forget a request whose caller has left, wherever it stands."""
        for workspace, queue in list(self._queues.items()):
            for one in queue:
                if one.ask.ask_id == ask_id:
                    queue.remove(one)
                    self._drop_empty(workspace)
                    return self._turn(now)
        return self.ended(now, ask_id)

    def begun(self, now: float, ask_id: str) -> Sequence[Verdict]:
        """Note the first token: the prompt is read."""
        running = self._running.get(ask_id)
        if running is None or running.begun:
            return ()
        running.begun = True
        self._reading_tokens -= running.ask.new_tokens
        self._learn(now, running)
        return self._turn(now)

    def ended(self, now: float, ask_id: str) -> Sequence[Verdict]:
        """Free what a request held."""
        running = self._running.pop(ask_id, None)
        if running is None:
            return ()
        if not running.begun:
            self._reading_tokens -= running.ask.new_tokens
        self._kept_tokens -= running.ask.kept_tokens
        return self._turn(now)

    def tick(self, now: float) -> Sequence[Verdict]:
        """Refuse what has waited for too long."""
        late: list[Verdict] = []
        for workspace, queue in list(self._queues.items()):
            expired = [one for one in queue if one.until_seconds <= now]
            for one in expired:
                queue.remove(one)
                waited = now - one.asked_seconds
                late.append(
                    self._refusal(
                        one.ask,
                        self.wait_seconds(),
                        waited,
                        self._reading_tokens,
                    ),
                )
            self._drop_empty(workspace)
        return (*late, *self._turn(now))

    def next_deadline_seconds(self) -> float | None:
        """Tell when ``tick`` is due.

        A guest has far less patience than those before it in its queue.
        """
        return min(
            (
                one.until_seconds
                for queue in self._queues.values()
                for one in queue
            ),
            default=None,
        )

    def _turn(self, now: float) -> Sequence[Verdict]:
        granted: list[Verdict] = []
        while self._queues:
            workspace = self._next_workspace(now)
            one = self._queues[workspace][0]
            if not self._fits(one.ask):
                break
            self._queues[workspace].popleft()
            self._drop_empty(workspace)
            granted.append(self._grant(now, one.ask))
        return granted

    def _next_workspace(self, now: float) -> str:
        """Find the least served one.

        Priorities are no part of it: by them a workspace that floods the
        fleet would shut out all less urgent ones for as long as it likes.
        """
        return min(
            self._queues,
            key=lambda name: self._service.tokens(now, name),
        )

    def _fits(self, ask: Ask) -> bool:
        if not self._running:
            return True
        if len(self._running) >= self._slots * SLOTS_PART:
            return False
        kept = self._kept_tokens + ask.kept_tokens
        if kept > self._memory_tokens * MEMORY_PART:
            return False
        ahead = self._reading_tokens + ask.new_tokens
        return self._reading_tokens <= 0 or ahead <= self._room_tokens

    def _grant(self, now: float, ask: Ask) -> Verdict:
        self._running[ask.ask_id] = _Running(ask, now)
        self._reading_tokens += ask.new_tokens
        self._kept_tokens += ask.kept_tokens
        self._service.add(now, ask.entry, ask.workspace, ask.cost)
        return Granted(ask.ask_id)

    def _ahead(self, now: float, ask: Ask) -> int:
        """Count what is read before a request that comes now.

        Of another workspace goes first what brings it to the service that
        this one has when its turn comes.
        """
        own = self._queues.get(ask.workspace, ())
        own_tokens = sum(one.ask.new_tokens for one in own)
        level = self._service.tokens(now, ask.workspace) + own_tokens
        others = float(0)
        for workspace, queue in self._queues.items():
            if workspace == ask.workspace:
                continue
            tokens = sum(one.ask.new_tokens for one in queue)
            behind = level - self._service.tokens(now, workspace)
            others += max(0, min(tokens, behind))
        return int(max(0, self._overhang()) + own_tokens + others)

    def _overhang(self) -> int:
        return int(self._reading_tokens - self._room_tokens)

    @property
    def _room_tokens(self) -> float:
        return self.rate_tokens * READING_SECONDS * self._share

    def _refusal(
        self,
        ask: Ask,
        wait_seconds: float,
        waited_seconds: float,
        ahead_tokens: int,
    ) -> Refused:
        return Refused(
            ask.ask_id,
            max(_LEAST_RETRY_SECONDS, wait_seconds),
            waited_seconds,
            ahead_tokens,
        )

    def _learn(self, now: float, running: _Running) -> None:
        """Learn the rate from how long a prompt took to be read."""
        since = max(running.granted_seconds, self._last_begun_seconds)
        self._last_begun_seconds = now
        took_seconds = now - since
        tokens = running.ask.new_tokens
        if took_seconds <= 0 or not tokens:
            return
        gain = _RATE_GAIN * min(1, tokens / FIRST_RATE_TOKENS * 10)
        seen = tokens / took_seconds
        self.rate_tokens += gain * (
            min(seen, 4 * FIRST_RATE_TOKENS) - self.rate_tokens
        )
        self.rate_tokens = max(
            self.rate_tokens,
            _LEAST_RATE_PART * FIRST_RATE_TOKENS,
        )

    def _drop_empty(self, workspace: str) -> None:
        if not self._queues.get(workspace, True):
            self._queues.pop(workspace)
