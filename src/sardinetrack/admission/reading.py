"""Admission to one model engine by what it has to read.

An engine admits requests as they come, knows no priorities and reads long
prompts beside everybody's tokens. What it has been given can't be taken back,
so it is given only as much as keeps it busy; the rest waits here, where the
order is still ours: least served workspace first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.admission.ask import Ask, Granted, Refused, Verdict
from sardinetrack.admission.batch import BatchBound
from sardinetrack.admission.holding import SlotHolding
from sardinetrack.admission.pace import ReadingPace
from sardinetrack.admission.usage import EngineUse, Usage
from sardinetrack.admission.waiting import Waiting, WaitingRoom, tokens_of
from sardinetrack.admission.warming import WarmTurns
from sardinetrack.fairness.recent import (
    HALF_SECONDS,
    RecentService,
    SharedService,
)
from sardinetrack.topology.cold import Cold

READING_SECONDS: Final = 0.15
"""Reading that an engine is given ahead.

Enough that it is never without work for a round trip (3 ms) and a late turn
of this process; short enough that who is granted gets the first token within
the shortest objective of the users (0.5 s). Measured on the users' days, mean
worth of twelve: 0.10 s 0.812, 0.15 s 0.813.
"""
DRY_SECONDS: Final = 0.015
"""Reading left at an engine when the next prompt is given whatever its size.

A grant, the request and a late turn of a process take some 5 ms together.
"""
JOIN_PART: Final = 0.9
"""Part of the most service of those that wait from which a newcomer starts.

The rest is its head start: a lone pilot still goes first, and who was really
passed over is made up to by a tenth. Service fades with a time constant of
5.8 s, so who had the engine for itself pauses for 5.8 s * ln(1 + N / 10) before
N newcomers: 0.55 s before one, 1.9 s before four. With three quarters it is
1.3 s before one, and longer where the newcomer's entries are many and tell
late.
"""
LEAST_PATIENCE_SECONDS: Final = 0.2
"""Wait of a request that can't begin in time anyway.

What the engine has been given ahead is read meanwhile, and one turn more.
"""
MEMORY_PART: Final = 0.72
"""Part of an engine's memory given to the own tokens of requests.

The rest holds the shared parts in use; when memory runs out the newest
request is read again from the start.
"""
_ENGINE: Final = ''
_LEAST_RETRY_SECONDS: Final = 0.25


@dataclass(slots=True)
class _Running:
    ask: Ask
    granted_seconds: float
    expected_seconds: float
    """Until its first event, as expected when it was granted."""
    begun_seconds: float | None = None
    """When its first event came."""


class ReadingAdmission:
    """Decides which request goes to the engine next; reads no clock."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start empty.

        :param slots: requests that the engine runs at once.
        :param memory_tokens: tokens that fit into its memory.
        """
        self.pace = ReadingPace()
        self.usage = Usage()
        self.batch = BatchBound()
        self._holding = SlotHolding()
        self.warming = WarmTurns()
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._share = float(1)
        self._running: dict[str, _Running] = {}
        self._room = WaitingRoom()
        self._service = SharedService()
        self._turnover = RecentService[str]()
        self._kept_tokens = 0

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

    def cool(self, now: float, cold: Cold) -> Sequence[Verdict]:
        """Learn how long the engine stays cold, and what it bears."""
        self.warming.cool(cold)
        return self._turn(now)

    @property
    def running(self) -> int:
        """Count the requests at the engine."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Count the requests that wait here."""
        return len(self._room)

    @property
    def slots_left(self) -> int:
        """Count the free slots."""
        return max(0, self._most_running - len(self._running))

    @property
    def held_seconds(self) -> float:
        """Mean time that a request holds its slot; 0 until one has ended."""
        return self._holding.seconds

    @property
    def rate_tokens(self) -> float:
        """Prompt tokens that the engine reads a second."""
        return self.pace.rate_tokens

    def hold_seconds(self, now: float) -> float:
        """Estimate how long the engine keeps a part after its last use.

        It drops what was used longest ago when new tokens need the room that
        running requests leave.
        """
        free_tokens = max(0, self._memory_tokens - self._kept_tokens)
        lately = self._turnover.tokens(now, _ENGINE)
        rate_tokens = lately * math.log(2) / HALF_SECONDS
        if rate_tokens <= 0:
            return math.inf
        return free_tokens / rate_tokens

    def wait_seconds(self, now: float) -> float:
        """Estimate how long a request waits until it is read."""
        return self._wait_behind(now, self._room.tokens, self.waiting)

    def _wait_behind(
        self,
        now: float,
        queued_tokens: int,
        queued: int,
    ) -> float:
        backlog_seconds = self.pace.backlog_seconds(now)
        reading_seconds = backlog_seconds + queued_tokens / self.rate_tokens
        return max(
            reading_seconds,
            self._slot_seconds(queued),
            self.warming.wait_seconds(now, queued),
        )

    def _slot_seconds(self, before: int) -> float:
        """Estimate how long a request waits for a slot.

        Of an engine with few slots these run out before its reading does; a
        request that waits for one would be told that its turn is next.

        :param before: requests that get a slot before it.
        """
        short = before + 1 - self.slots_left
        if short <= 0:
            return 0
        return short * self._holding.seconds / self._most_running

    @property
    def _most_running(self) -> int:
        return self.batch.most(self._slots)

    def restart(self, now: float) -> Sequence[Verdict]:
        """Note that the engine has started anew and knows of nothing.

        What ran there is gone, and its rate was another process's. What
        waits here was never sent; it goes on waiting, for an empty engine.
        What the workspaces were served stays true.
        """
        self.pace = ReadingPace()
        self._running.clear()
        self._kept_tokens = 0
        return self._turn(now)

    def hear(
        self,
        now: float,
        entry: str,
        served: Iterable[tuple[str, float]],
    ) -> None:
        """Take an entry's word on what workspaces were served anywhere.

        :param served: names and tokens.
        """
        for workspace, tokens in served:
            self._service.hear(now, entry, workspace, tokens)

    def ask(self, now: float, ask: Ask) -> Sequence[Verdict]:
        """Take in a request: it is granted, refused or waits."""
        self._service.hear(now, ask.entry, ask.workspace, ask.served_tokens)
        self.batch.asked(now, ask.answer_tokens, ask.ends_seconds)
        self._join(now, ask.workspace)
        wait_seconds = self._wait_seconds(now, ask)
        patience_seconds = self._patience_seconds(ask)
        if wait_seconds > patience_seconds:
            return (self._refusal(ask, wait_seconds, float(0)),)
        self._room.put(Waiting(ask, now, now + patience_seconds))
        return self._turn(now)

    def _join(self, now: float, workspace: str) -> None:
        """Let a workspace that comes in start near those that wait.

        What another one was served while nobody else asked is no debt. Were
        the newcomer at zero, it alone would be served until it has had as
        much, and who used the idle engines before would starve for seconds.
        Newcomers of one moment start alike: were each a tenth below the last
        one, the eighth would start from less than half.
        """
        if self._room.of(workspace):
            return
        waiting = [
            self._service.tokens(now, name) for name in self._room.workspaces
        ]
        if waiting:
            start = min(*waiting, JOIN_PART * max(waiting))
            self._service.lift(now, workspace, start)

    def _patience_seconds(self, ask: Ask) -> float:
        """Tell how long a request can wait here and still be in time.

        What it needs once it is granted differs by its length: a short prompt
        can wait where a long one has to begin. One that would be late at an
        idle engine may wait a little all the same, or the longest prompts
        would be refused whenever anything is read.
        """
        if ask.is_late:
            return ask.patience_seconds
        reading_seconds = DRY_SECONDS + ask.new_tokens / self.rate_tokens
        needs_seconds = max(self._ahead_seconds, reading_seconds)
        spare_seconds = ask.due_seconds - needs_seconds - self.pace.lag_seconds
        least_seconds = LEAST_PATIENCE_SECONDS
        return min(ask.patience_seconds, max(spare_seconds, least_seconds))

    def withdraw(
        self,
        now: float,
        ask_id: str,
        *,
        whole: bool = False,
    ) -> Sequence[Verdict]:
        """Forget a request, wherever it stands.

        :param whole: its caller has all of the answer.
        """
        if ask_id in self._running:
            return self.ended(now, ask_id, whole=whole)
        return self._turn(now) if self._room.remove(ask_id) else ()

    def begun(self, now: float, ask_id: str) -> Sequence[Verdict]:
        """Note the first token: the prompt is read."""
        running = self._running.get(ask_id)
        if running is None or running.begun_seconds is not None:
            return ()
        running.begun_seconds = now
        self.usage.note_begun(
            now - running.granted_seconds,
            running.expected_seconds,
        )
        self.pace.begun(now, ask_id)
        return self._turn(now)

    def ended(
        self,
        now: float,
        ask_id: str,
        *,
        whole: bool = True,
    ) -> Sequence[Verdict]:
        """Free what a request held.

        :param whole: its caller has all of the answer.
        """
        running = self._running.pop(ask_id, None)
        if running is None:
            return ()
        if running.begun_seconds is not None:
            self._holding.ended(now - running.granted_seconds)
            if whole:
                wrote_seconds = now - running.begun_seconds
                self.batch.wrote(wrote_seconds, running.ask.answer_tokens)
        self.pace.ended(now, ask_id)
        self._kept_tokens -= running.ask.kept_tokens
        return self._turn(now)

    def tick(self, now: float) -> Sequence[Verdict]:
        """Refuse what has waited for too long."""
        expired = self._room.take_expired(now)
        late = self._refusals(now, expired) if expired else ()
        return (*late, *self._turn(now))

    def _refusals(
        self,
        now: float,
        expired: Sequence[Waiting],
    ) -> Sequence[Verdict]:
        """Refuse in turn; who is refused waits before nobody any more."""
        late: list[Verdict] = []
        queued_tokens = self._room.tokens + tokens_of(expired)
        queued = self.waiting + len(expired)
        for one in expired:
            queued_tokens -= one.ask.new_tokens
            queued -= 1
            waited_seconds = now - one.asked_seconds
            wait_seconds = self._wait_behind(now, queued_tokens, queued)
            late.append(self._refusal(one.ask, wait_seconds, waited_seconds))
        return late

    def next_deadline_seconds(self, now: float) -> float | None:
        """Tell when ``tick`` is due.

        A guest has far less patience than those before it in its queue; and
        the engine has read enough for the next one at some moment of which
        no first event tells.
        """
        dues = [one.until_seconds for one in self._room]
        if not dues:
            return None
        first = self._room.first(self._next_workspace(now))
        over_seconds = self._over_seconds(now, first)
        warm_seconds = self.warming.wait_seconds(now, 0)
        if max(over_seconds, warm_seconds) > 0:
            dues.append(now + max(over_seconds, warm_seconds))
        return min(dues)

    def _turn(self, now: float) -> Sequence[Verdict]:
        granted: list[Verdict] = []
        while self._room.workspaces:
            workspace = self._next_workspace(now)
            if not self._fits(now, self._room.first(workspace)):
                break
            granted.append(self._grant(now, self._room.take_first(workspace)))
        self.usage.note(now, self._use(now))
        return granted

    def _use(self, now: float) -> EngineUse:
        reads = self.pace.backlog_seconds(now) > 0
        if not self._room.workspaces:
            return self._use_alone(reads=reads)
        if reads:
            return EngineUse.FULL
        if not self.slots_left:
            return EngineUse.HELD_SLOTS
        if self.warming.bounds(now):
            return EngineUse.HELD_COLD
        return EngineUse.HELD_MEMORY

    def _use_alone(self, *, reads: bool) -> EngineUse:
        if not self._running:
            return EngineUse.IDLE
        return EngineUse.READING if reads else EngineUse.ANSWERING

    def _next_workspace(self, now: float) -> str:
        """Find the least served one.

        Priorities are no part of it: by them a workspace that floods the
        fleet would shut out all less urgent ones for as long as it likes.
        """
        return min(
            self._room.workspaces,
            key=lambda name: self._service.tokens(now, name),
        )

    def _fits(self, now: float, ask: Ask) -> bool:
        if self.warming.free_at_seconds(now) > now:
            return False
        if not self._running:
            return True
        if not self.slots_left:
            return False
        kept = self._kept_tokens + ask.kept_tokens
        if kept > self._memory_tokens * MEMORY_PART:
            return False
        backlog_seconds = self.pace.backlog_seconds(now)
        if backlog_seconds <= DRY_SECONDS:
            return True
        reading_seconds = ask.new_tokens / self.rate_tokens
        return backlog_seconds + reading_seconds <= self._ahead_seconds

    def _grant(self, now: float, ask: Ask) -> Verdict:
        expected_seconds = self.pace.first_event_seconds(now, ask.new_tokens)
        self.warming.granted(now)
        self.pace.granted(now, ask.ask_id, ask.new_tokens)
        self._running[ask.ask_id] = _Running(ask, now, expected_seconds)
        self.usage.note_grant(ask.new_tokens)
        self._turnover.add(now, _ENGINE, ask.kept_tokens)
        self._kept_tokens += ask.kept_tokens
        self._service.add(now, ask.entry, ask.workspace, ask.cost)
        return Granted(ask.ask_id)

    def _wait_seconds(self, now: float, ask: Ask) -> float:
        """Tell how long a request that comes now waits for its grant.

        Of another workspace goes first what brings it to the service that
        this one has when its turn comes.
        """
        own = self._room.before(ask)
        own_tokens = tokens_of(own)
        level = self._service.tokens(now, ask.workspace) + own_tokens
        others = float(0)
        before = len(own)
        for workspace in self._room.workspaces:
            if workspace == ask.workspace:
                continue
            queue = self._room.of(workspace)
            behind = level - self._service.tokens(now, workspace)
            if behind > 0:
                others += min(tokens_of(queue), behind)
                before += len(queue)
        queued_seconds = (own_tokens + others) / self.rate_tokens
        over_seconds = max(0, self._over_seconds(now, ask))
        return max(
            over_seconds + queued_seconds,
            self._slot_seconds(before),
            self.warming.wait_seconds(now, before),
        )

    def _over_seconds(self, now: float, ask: Ask) -> float:
        """Tell when the engine has room for a request that is next.

        A long prompt has room only where next to nothing is left to read.
        """
        reading_seconds = ask.new_tokens / self.rate_tokens
        room_seconds = max(DRY_SECONDS, self._ahead_seconds - reading_seconds)
        return self.pace.backlog_seconds(now) - room_seconds

    @property
    def _ahead_seconds(self) -> float:
        return READING_SECONDS * self._share

    def _refusal(
        self,
        ask: Ask,
        wait_seconds: float,
        waited_seconds: float,
    ) -> Refused:
        self.usage.note_refusal(waited_seconds)
        return Refused(
            ask.ask_id,
            max(_LEAST_RETRY_SECONDS, wait_seconds),
            waited_seconds,
            int(wait_seconds * self.rate_tokens),
        )
