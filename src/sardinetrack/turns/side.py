"""The side of one model engine: it grants turns to the entries."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

from sardinetrack.admission.ask import Ask, Granted, Verdict
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.placement.holdings import MOST_HOLD_SECONDS
from sardinetrack.routing.strikes import StrikeBook
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.desk import TurnDesk
from sardinetrack.turns.engine_start import EngineStart, Heard
from sardinetrack.turns.entry_lines import EntryLines
from sardinetrack.turns.messages import (
    AskTurn,
    Hello,
    ServerStarted,
    SideWord,
    Struck,
    TurnGranted,
    TurnRefused,
)
from sardinetrack.turns.refused import RefusedRequests
from sardinetrack.turns.usage import UsageLines
from sardinetrack.views.watcher import Watcher

WORD_SECONDS: Final = 0.15
"""How often a side tells its load; an entry adds what it sent since."""
QUIET_WORD_SECONDS: Final = 0.45
"""How often it does so when nothing has changed, as a sign of life."""
_TOLD_DIGITS: Final = 3


class Side(TurnDesk):
    """Owns the admission to one engine, and the entries' connections."""

    def __init__(
        self,
        address: tuple[str, int],
        watcher: Watcher,
        log: EventLog,
    ) -> None:
        """Prepare.

        :param address: where entries connect.
        :param watcher: reads the store for entries that ask.
        """
        super().__init__()
        self.port = address[1]
        self.watcher = watcher
        self._address = address
        self._log = log
        self._entries: set[EntryLines] = set()
        self._owners: dict[str, EntryLines] = {}
        self.engine = EngineStart()
        self._told: tuple[float, int, int] | None = None
        self._told_seconds = float(0)
        self.usage = UsageLines(log)
        self.verdicts: Counter[str] = Counter()
        self._asked: dict[str, AskTurn] = {}
        self._refused = RefusedRequests()
        self._granted_parts: set[str] = set()
        self._strikes = StrikeBook()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Listen."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: EntryLines(self),
            *self._address,
            reuse_address=True,
        )
        self.port = server.sockets[0].getsockname()[1]
        self._stack.callback(server.close)
        self._stack.enter_context(self.watcher)
        self._tell_task = loop.create_task(self._tell_all())
        self._stack.callback(self._tell_task.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and drop the entries."""
        for entry in list(self._entries):
            entry.abort()
        await self._stack.aclose()

    @property
    def entries(self) -> int:
        """Count the connected entries."""
        return len(self._entries)

    def join(self, entry: EntryLines) -> None:
        """Note a connection."""
        self._entries.add(entry)

    def met(self, entry: EntryLines, hello: Hello) -> None:
        """Learn the engine's size from an entry, and tell it what is known."""
        self.admission.resize(hello.slots, hello.memory_tokens)
        strikes = self._strikes.holding(loop_now())
        if strikes:
            entry.send(Struck(tuple(strikes)))
        self._log.write(
            Event.ENTRY_CONNECTED,
            entry=hello.entry,
            slots=hello.slots,
            memory_tokens=hello.memory_tokens,
        )

    def struck(self, teller: EntryLines, message: Struck) -> None:
        """Tell all entries which requests servers went down under.

        One that has been told to every entry can't be sent again by another;
        an entry that starts anew is told when it connects.
        """
        for strike in message.strikes:
            self._strikes.add(loop_now(), strike)
        for entry in self._entries - {teller}:
            entry.send(message)

    def started(self, teller: EntryLines, message: ServerStarted) -> None:
        """Learn which start of the engine an entry knows.

        The entries' views of the store differ by seconds. Who is behind is
        told; a side that went on with what it had granted to the former
        start would keep an empty engine waiting until all of that has ended.
        """
        now = loop_now()
        heard = self.engine.hear(now, message)
        if heard is Heard.BEHIND:
            teller.send(self.engine.message(now))
            return
        # Before what waits is granted to the new start, which may be cold.
        self.cool(self.engine.cold)
        if heard is Heard.RENEWED:
            self._renew(teller, message)

    def _renew(self, teller: EntryLines, message: ServerStarted) -> None:
        self._log.write(
            Event.SERVER_RESTARTED,
            server=message.instance,
            started_milliseconds=message.started_milliseconds,
            revision=message.revision,
            told_by=teller.entry,
            running=self.admission.running,
            waiting=self.admission.waiting,
            starts_in_a_row=self.engine.in_a_row,
            granted_last_second=self.engine.granted_last_second,
            cold_seconds=round(
                self.engine.cold.left_seconds(loop_now()),
                _TOLD_DIGITS,
            ),
        )
        self._granted_parts.clear()
        for entry in self._entries - {teller}:
            entry.send(message)
        self.restart()

    def leave(self, entry: EntryLines) -> None:
        """Free what an entry held.

        Its requests may still run at the engine; they are not waited for,
        since nobody will tell of their end.
        """
        self._entries.discard(entry)
        self.watcher.leave(entry)
        self._log.write(
            Event.ENTRY_LOST,
            entry=entry.entry,
            requests=len(entry.asked),
        )
        for ask_id in entry.asked:
            self.ended(ask_id)

    def take(self, entry: EntryLines, message: AskTurn) -> None:
        """Take in a request."""
        self._owners[message.ask_id] = entry
        now = loop_now()
        self._asked[message.ask_id] = message
        self.admission.hear(now, entry.entry, message.others)
        # What the entry knows by another side is reckoned already.
        returned_seconds = self._returned_seconds(now, message)
        more_seconds = max(0, returned_seconds - message.returned_seconds)
        ask = Ask(
            message.ask_id,
            message.workspace,
            message.new_tokens,
            message.kept_tokens,
            message.answer_tokens,
            message.patience_seconds,
            message.priority,
            entry.entry,
            message.served_tokens,
            message.part,
            message.due_seconds - more_seconds,
            message.left_seconds,
        )
        self.ask(ask)

    def _returned_seconds(self, now: float, message: AskTurn) -> float:
        if not message.fingerprint:
            return 0
        return self._refused.waited_seconds(now, message.fingerprint)

    def ended(self, ask_id: str, *, whole: bool = False) -> None:
        """Free a turn.

        :param whole: the caller has all of the answer.
        """
        self._owners.pop(ask_id, None)
        self._asked.pop(ask_id, None)
        self.withdraw(ask_id, whole=whole)

    def deliver(self, verdict: Verdict) -> None:
        """Tell the entry that asked."""
        owner = self._owners.get(verdict.ask_id)
        if owner is None:
            self.withdraw(verdict.ask_id)
        else:
            self._tell(owner, verdict)

    def _tell(self, owner: EntryLines, verdict: Verdict) -> None:
        asked = self._asked.pop(verdict.ask_id)
        self.verdicts[type(verdict).__name__.lower()] += 1
        if isinstance(verdict, Granted):
            self.engine.granted(loop_now())
            if asked.part:
                self._granted_parts.add(asked.part)
            owner.send(TurnGranted(verdict.ask_id))
            return
        self._owners.pop(verdict.ask_id, None)
        owner.asked.discard(verdict.ask_id)
        now = loop_now()
        returned_seconds = self._returned_seconds(now, asked)
        if asked.fingerprint:
            asked_seconds = now - verdict.waited_seconds
            self._refused.note(asked_seconds, asked.fingerprint)
        owner.send(
            TurnRefused(
                verdict.ask_id,
                round(verdict.retry_after_seconds, _TOLD_DIGITS),
                round(verdict.waited_seconds, _TOLD_DIGITS),
                verdict.ahead_tokens,
                round(returned_seconds, _TOLD_DIGITS),
            ),
        )
        self._log.write(
            Event.REFUSED,
            request=verdict.ask_id,
            entry=owner.entry,
            waited_seconds=round(verdict.waited_seconds, _TOLD_DIGITS),
            returned_seconds=round(returned_seconds, _TOLD_DIGITS),
            ahead_tokens=verdict.ahead_tokens,
            rate_tokens=int(self.admission.rate_tokens),
            running=self.admission.running,
            waiting=self.admission.waiting,
        )

    async def _tell_all(self) -> None:
        while True:
            await asyncio.sleep(WORD_SECONDS)
            self.usage.tell(loop_now(), self.admission)
            wait_seconds = round(self.admission.wait_seconds(loop_now()), 2)
            slots_left = self.admission.slots_left
            word = (wait_seconds, slots_left, len(self._entries))
            quiet = loop_now() - self._told_seconds < QUIET_WORD_SECONDS
            parts = tuple(self._granted_parts)
            if word == self._told and quiet and not parts:
                continue
            self._granted_parts.clear()
            self._told = word
            self._told_seconds = loop_now()
            message = SideWord(
                wait_seconds,
                round(self.admission.rate_tokens),
                slots_left,
                len(self._entries),
                parts,
                self.engine.mark,
                round(self._hold_seconds(), 1),
            )
            for entry in self._entries:
                entry.send(message)

    def _hold_seconds(self) -> float:
        seconds = self.admission.hold_seconds(loop_now())
        return min(MOST_HOLD_SECONDS, seconds)
