"""An entry's line to one side."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from sardinetrack.fairness.news import ServiceNews
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.load import ServerLoad
from sardinetrack.topology.cold import ColdWord
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.starts import UNKNOWN_MARK, ServerStart
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.lines import LineProtocol
from sardinetrack.turns.messages import (
    DECODE_FROM_SIDE,
    MOST_SIDE_LINE_BYTES,
    AskTurn,
    Begun,
    Ended,
    Hello,
    ServerStarted,
    SideWord,
    Struck,
    TurnGranted,
    TurnRefused,
    message_of,
    start_of,
)
from sardinetrack.views.api import Inbox, Neighbour
from sardinetrack.views.messages import FromFollower

SILENT_SECONDS: Final = 1.4
"""A side that says nothing for three of its words counts as lost."""
_CONNECT_SECONDS: Final = 0.4
FIRST_PAUSE_SECONDS: Final = 0.1
"""Until a side that was not there is tried again; then longer and longer.

After a loss of power everywhere an entry is back some ten milliseconds before
the sides; meanwhile it grants no more than its own part of each server.
"""
MOST_PAUSE_SECONDS: Final = 0.4

Answer = TurnGranted | TurnRefused | None
"""``None``: the side was lost before it answered."""


class Crashes(ABC):
    """Takes what other entries have found."""

    @abstractmethod
    def hear(self, now: float, strikes: Iterable[Strike]) -> None:
        """Take in requests that ran at servers when these went down."""


class Restarts(ABC):
    """Takes a side's word that its server has started anew."""

    @abstractmethod
    def started(self, start: ServerStart) -> None:
        """Take in which start the side knows of."""


@dataclass(slots=True)
class Beliefs:
    """What the words of one side renew."""

    load: ServerLoad
    holdings: Holdings
    views: Inbox
    crashes: Crashes
    restarts: Restarts
    start: ServerStart | None = None
    """The start of the server that the list tells; ``None`` before it does."""
    cold: ColdWord = ColdWord()
    """How long that start stays cold."""

    def started(self, start: ServerStart) -> ServerStarted:
        """Write for the side what the list tells of the server."""
        return message_of(start, boot_clock(), self.cold)

    def about_listed(self, mark: int) -> bool:
        """Whether a word is about the start that is listed.

        One that was under way while the server started anew tells of load
        and parts that are gone.
        """
        if self.start is None or mark == UNKNOWN_MARK:
            return True
        return self.start.mark == mark


class SideLines(LineProtocol):
    """The connection to a side, and the questions that wait on it."""

    most_line_bytes = MOST_SIDE_LINE_BYTES

    def __init__(self, hello: Hello, beliefs: Beliefs, ip: str) -> None:
        """Remember what to say first."""
        super().__init__()
        self.entries = 1
        self.heard_seconds = float(0)
        self.gone = asyncio.Event()
        self.news = ServiceNews()
        self._hello = hello
        self._ip = ip
        self._beliefs = beliefs
        self._asked: dict[str, asyncio.Future[Answer]] = {}

    @property
    def live(self) -> bool:
        """Whether the side may be asked."""
        silent = loop_now() - self.heard_seconds
        return not self.gone.is_set() and silent < SILENT_SECONDS

    async def wait_lost(self) -> None:
        """Wait until the connection ends or the side says nothing more."""
        while self.live:
            left_seconds = self.heard_seconds + SILENT_SECONDS - loop_now()
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0, left_seconds)):
                    await self.gone.wait()

    def opened(self) -> None:
        """Introduce the entry."""
        self.heard_seconds = loop_now()
        self.send(self._hello)
        if self._beliefs.start is not None:
            self.send(self._beliefs.started(self._beliefs.start))

    def lost(self) -> None:
        """Answer every question with nothing."""
        self.gone.set()
        for waiting in self._asked.values():
            if not waiting.done():
                waiting.set_result(None)
        self._asked.clear()
        self._beliefs.views.lost(self._ip)

    def line(self, line: bytes) -> None:
        """Take the side's word."""
        message = DECODE_FROM_SIDE(line)
        self.heard_seconds = loop_now()
        match message:
            case SideWord():
                self._word(message)
            case TurnGranted() | TurnRefused():
                self._answer(message)
            case ServerStarted():
                self._beliefs.restarts.started(start_of(message))
            case Struck():
                self._beliefs.crashes.hear(loop_now(), message.strikes)
            case _:
                self._beliefs.views.take(self._ip, message)

    def _word(self, message: SideWord) -> None:
        now = self.heard_seconds
        self.entries = max(1, message.entries)
        if not self._beliefs.about_listed(message.mark):
            return
        self._beliefs.load.hear(
            message.wait_seconds,
            message.rate_tokens,
        )
        holdings = self._beliefs.holdings
        holdings.note(now, self._ip, message.parts)
        holdings.keeps(self._ip, message.hold_seconds)

    def _answer(self, message: TurnGranted | TurnRefused) -> None:
        waiting = self._asked.pop(message.ask_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    async def ask(self, ask: AskTurn, timeout_seconds: float) -> Answer:
        """Ask for a turn, and wait for the answer.

        :return: ``None`` when the side is lost.
        """
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Answer] = loop.create_future()
        self._asked[ask.ask_id] = waiting
        self.send(ask)
        timer = loop.call_later(timeout_seconds, _give_up, waiting)
        try:
            answer = await waiting
        except asyncio.CancelledError:
            self.send(Ended(ask.ask_id))
            raise
        finally:
            timer.cancel()
            self._asked.pop(ask.ask_id, None)
        if answer is None:
            self.send(Ended(ask.ask_id))
        return answer

    def begun(self, ask_id: str) -> None:
        """Tell that the first event came."""
        self.send(Begun(ask_id))

    def ended(self, ask_id: str, *, whole: bool = False) -> None:
        """Give the turn back.

        :param whole: the caller has all of the answer.
        """
        self.send(Ended(ask_id, whole))


class SideLink(Neighbour):
    """Keeps a connection to a side for as long as its task runs."""

    def __init__(
        self,
        address: tuple[str, int],
        place: tuple[str, str],
        hello: Hello,
        beliefs: Beliefs,
        log: EventLog,
    ) -> None:
        """Prepare.

        :param place: pool and failure domain of the side's engine.
        """
        self.lines: SideLines | None = None
        self.pool = place[0]
        self.failure_domain = place[1]
        self.load = beliefs.load
        self._address = address
        self._hello = hello
        self._beliefs = beliefs
        self._log = log

    @property
    def name(self) -> str:
        """Name the side by its address."""
        return self._address[0]

    @property
    def live(self) -> bool:
        """Whether the side may be asked."""
        return self.lines is not None and self.lines.live

    def tell(
        self,
        message: FromFollower | Struck | ServerStarted,
    ) -> None:
        """Tell the side which view is wanted, or what was found."""
        if self.lines is not None:
            self.lines.send(message)

    def know(self, start: ServerStart, cold: ColdWord) -> None:
        """Take the list's word on which start of the server runs."""
        beliefs = self._beliefs
        held = beliefs.start
        if held is not None and start.older_than(held):
            return
        news = held is None or cold != beliefs.cold
        beliefs.start = start
        beliefs.cold = cold
        if held is not None and start.supersedes(held):
            beliefs.load.restart()
            news = True
        if news:
            self.tell(beliefs.started(start))

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        pause_seconds = FIRST_PAUSE_SECONDS
        try:
            while True:
                held = await self._hold()
                grown = min(2 * pause_seconds, MOST_PAUSE_SECONDS)
                pause_seconds = FIRST_PAUSE_SECONDS if held else grown
                await asyncio.sleep(pause_seconds)
        finally:
            if self.lines is not None:
                self.lines.abort()

    async def _hold(self) -> bool:
        """Connect, and stay connected.

        :return: whether there was a connection.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                _, lines = await loop.create_connection(
                    lambda: SideLines(self._hello, self._beliefs, self.name),
                    *self._address,
                )
        except OSError:
            # Told once, when the connection was lost; a side that never was
            # there has its server admitted by this entry alone.
            return False
        self.lines = lines
        self._log.write(Event.SIDE_BACK, side=self.name)
        await lines.wait_lost()
        lines.abort()
        lines.lost()
        self.lines = None
        self.load.hear(0, self.load.rate_tokens)
        self._log.write(Event.SIDE_LOST, side=self.name)
        return True


def _give_up(waiting: asyncio.Future[Answer]) -> None:
    if not waiting.done():
        waiting.set_result(None)
