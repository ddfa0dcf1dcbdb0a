"""An entry's line to one side."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.load import ServerLoad
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.lines import LineProtocol
from sardinetrack.turns.messages import (
    DECODE_FROM_SIDE,
    AskTurn,
    Begun,
    Ended,
    Hello,
    SideWord,
    TurnGranted,
    TurnRefused,
)

SILENT_SECONDS: Final = 1.4
"""A side that says nothing for three of its words counts as lost."""
_CONNECT_SECONDS: Final = 0.4
_PAUSE_SECONDS: Final = 0.4

Answer = TurnGranted | TurnRefused | None
"""``None``: the side was lost before it answered."""


class SideLines(LineProtocol):
    """The connection to a side, and the questions that wait on it."""

    def __init__(
        self,
        hello: Hello,
        load: ServerLoad,
        holdings: Holdings,
        ip: str,
    ) -> None:
        """Remember what to say first."""
        super().__init__()
        self.entries = 1
        self.heard_seconds = float(0)
        self.gone = asyncio.Event()
        self._hello = hello
        self._ip = ip
        self._load = load
        self._holdings = holdings
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

    def lost(self) -> None:
        """Answer every question with nothing."""
        self.gone.set()
        for waiting in self._asked.values():
            if not waiting.done():
                waiting.set_result(None)
        self._asked.clear()

    def line(self, line: bytes) -> None:
        """Take the side's word."""
        message = DECODE_FROM_SIDE(line)
        self.heard_seconds = loop_now()
        if isinstance(message, SideWord):
            self.entries = max(1, message.entries)
            self._load.hear(
                self.heard_seconds,
                message.wait_seconds,
                message.rate_tokens,
                message.slots_left,
            )
            now = self.heard_seconds
            self._holdings.note(now, self._ip, message.parts)
            return
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

    def ended(self, ask_id: str) -> None:
        """Give the turn back."""
        self.send(Ended(ask_id))


class SideLink:
    """Keeps a connection to a side for as long as its task runs."""

    def __init__(
        self,
        address: tuple[str, int],
        hello: Hello,
        load: ServerLoad,
        holdings: Holdings,
        log: EventLog,
    ) -> None:
        """Prepare."""
        self.lines: SideLines | None = None
        self._address = address
        self._hello = hello
        self.load = load
        self._holdings = holdings
        self._log = log

    @property
    def live(self) -> bool:
        """Whether the side may be asked."""
        return self.lines is not None and self.lines.live

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        try:
            while True:
                await self._hold()
                await asyncio.sleep(_PAUSE_SECONDS)
        finally:
            if self.lines is not None:
                self.lines.abort()

    async def _hold(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                _, lines = await loop.create_connection(
                    lambda: SideLines(
                        self._hello,
                        self.load,
                        self._holdings,
                        self._address[0],
                    ),
                    *self._address,
                )
        except OSError:
            # Told once, when the connection was lost; a side that never was
            # there has its server admitted by this entry alone.
            return
        self.lines = lines
        self._log.write(Event.SIDE_BACK, side=self._address[0])
        await lines.wait_lost()
        lines.abort()
        lines.lost()
        self.lines = None
        self.load.hear(loop_now(), 0, self.load.rate_tokens, 1)
        self._log.write(Event.SIDE_LOST, side=self._address[0])


def _give_up(waiting: asyncio.Future[Answer]) -> None:
    if not waiting.done():
        waiting.set_result(None)
