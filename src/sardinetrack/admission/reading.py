"""Admission to one model engine by what it has to read.

An engine admits requests as they come, knows no priorities and reads long
prompts beside everybody's tokens. What it has been given can't be taken back,
so it is given only as much as keeps it busy; the rest waits here, where the
order is still ours: least served workspace first.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from sardinetrack.admission.ask import Ask, Granted, Refused, Verdict
from sardinetrack.admission.batch import BatchBound
from sardinetrack.admission.order import ServiceOrder
from sardinetrack.admission.pace import ReadingPace
from sardinetrack.admission.running import RunningRequests
from sardinetrack.admission.usage import EngineUse, Usage
from sardinetrack.admission.waiting import Waiting, WaitingRoom, tokens_of
from sardinetrack.admission.warming import WarmTurns
from sardinetrack.topology.cold import Cold

READING_SECONDS: Final = 0.15
"""Reading that an engine is given ahead.

Enough that it is never without work for a round trip (3 ms) and a late turn
of this process; short enough that who is granted gets the first token within
the shortest objective of the users (0.5 s).
"""
DRY_SECONDS: Final = 0.015
"""Reading left at an engine when the next prompt is given whatever its size.

A grant, the request and a late turn of a process take some 5 ms together.
"""
LEAST_PATIENCE_SECONDS: Final = 0.2
"""Wait of a request that can't begin in time anyway.

What the engine has been given ahead is read meanwhile, and one turn more.
"""
_LEAST_RETRY_SECONDS: Final = 0.25


class ReadingAdmission:
    """Decides which request goes to the engine next; reads no clock."""

    def __init__(self, slots: int, memory_tokens: int) -> None:
        """Start empty.

        :param slots: requests that the engine runs at once.
        :param memory_tokens: tokens that fit into its memory.
        """
        self.pace = ReadingPace()
        self.usage = Usage()
        self.warming = WarmTurns()
        self._share = float(1)
        self._running = RunningRequests(slots, memory_tokens)
        self._room = WaitingRoom()
        self._order = ServiceOrder(self._room)

    def resize(
        self,
        slots: int,
        memory_tokens: int,
        share: float = 1,
    ) -> None:
        """Take over the engine's size as the configuration tells it.

        :param share: the part of the engine that is granted here.
        """
        self._running.resize(
            max(1, int(slots * share)),
            int(memory_tokens * share),
        )
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
        return self._running.slots_left

    @property
    def held_seconds(self) -> float:
        """Mean time that a request holds its slot; 0 until one has ended."""
        return self._running.held_seconds

    @property
    def rate_tokens(self) -> float:
        """Prompt tokens that the engine reads a second."""
        return self.pace.rate_tokens

    def hold_seconds(self, now: float) -> float:
        """Estimate how long the engine keeps a part after its last use."""
        return self._running.hold_seconds(now)

    @property
    def batch(self) -> BatchBound:
        """The bound on the answers that it writes at once."""
        return self._running.batch

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
            self._running.slot_seconds(queued),
            self.warming.wait_seconds(now, queued),
        )

    def restart(self, now: float) -> Sequence[Verdict]:
        """Note that the engine has started anew and knows of nothing.

        What ran there is gone, and its rate was another process's. What
        waits here was never sent; it goes on waiting, for an empty engine.
        What the workspaces were served stays true.
        """
        self.pace = ReadingPace()
        self._running.clear()
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
        self._order.hear(now, entry, served)

    def ask(self, now: float, ask: Ask) -> Sequence[Verdict]:
        """Take in a request: it is granted, refused or waits."""
        served = ((ask.workspace, ask.served_tokens),)
        self._order.hear(now, ask.entry, served)
        self.batch.asked(now, ask.answer_tokens, ask.ends_seconds)
        self._order.join(now, ask.workspace)
        wait_seconds = self._wait_seconds(now, ask)
        patience_seconds = self._patience_seconds(ask)
        if wait_seconds > patience_seconds:
            return (self._refusal(ask, wait_seconds, float(0)),)
        self._room.put(Waiting(ask, now, now + patience_seconds))
        return self._turn(now)

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
        running = self._running.begun(now, ask_id)
        if running is None:
            return ()
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
        if not self._running.ended(now, ask_id, whole=whole):
            return ()
        self.pace.ended(now, ask_id)
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
        first = self._room.first(self._order.next_workspace(now))
        over_seconds = self._over_seconds(now, first)
        warm_seconds = self.warming.wait_seconds(now, 0)
        if max(over_seconds, warm_seconds) > 0:
            dues.append(now + max(over_seconds, warm_seconds))
        return min(dues)

    def _turn(self, now: float) -> Sequence[Verdict]:
        granted: list[Verdict] = []
        while self._room.workspaces:
            workspace = self._order.next_workspace(now)
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

    def _fits(self, now: float, ask: Ask) -> bool:
        if self.warming.free_at_seconds(now) > now:
            return False
        if not self._running:
            return True
        if not self.slots_left:
            return False
        if not self._running.has_memory(ask):
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
        self._running.add(now, ask, expected_seconds)
        self.usage.note_grant(ask.new_tokens)
        self._order.granted(now, ask)
        return Granted(ask.ask_id)

    def _wait_seconds(self, now: float, ask: Ask) -> float:
        """Tell how long a request that comes now waits for its grant."""
        ahead = self._order.ahead_of(now, ask)
        queued_seconds = ahead.tokens / self.rate_tokens
        over_seconds = max(0, self._over_seconds(now, ask))
        return max(
            over_seconds + queued_seconds,
            self._running.slot_seconds(ahead.requests),
            self.warming.wait_seconds(now, ahead.requests),
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
