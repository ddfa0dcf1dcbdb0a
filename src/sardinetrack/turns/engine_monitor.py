"""Polls a side's engine for its own report."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from sardinetrack.admission.engine_report import EngineReport
from sardinetrack.logs.events import EventLog
from sardinetrack.process.owner_tasks import keep_running
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.engine_connection import (
    EngineConnection,
    PollError,
    PollOutcome,
)
from sardinetrack.turns.engine_silence import EngineSilence

SPACING_INTERVAL_SECONDS: Final = 0.05
"""Between two polls while prompts may have to be spaced: a step takes 5 to 60
ms, and the break between two prompts ends with the next report."""
BUSY_INTERVAL_SECONDS: Final = 0.1
"""Between two polls while requests run that need no spacing. A poll costs 0.6
ms of processor time."""
IDLE_INTERVAL_SECONDS: Final = 0.5
"""Between two polls while none run."""
POLL_TIMEOUT_SECONDS: Final = 0.3
"""For opening the connection and the response; a poll takes 0.3 to 2.3 ms."""
INITIAL_BACKOFF_SECONDS: Final = 0.1
"""After the first of consecutive failed polls; each further one doubles it."""
MAX_BACKOFF_SECONDS: Final = 1.0
_MAX_DOUBLINGS: Final = 10


@dataclass(frozen=True, slots=True)
class EngineSource:
    """Where an engine reports its state, and in which form."""

    address: tuple[str, int]
    path: str
    decode: Callable[[bytes], EngineReport]
    """Raises ``ValueError`` for a report that can't be read."""


class EngineListener(ABC):
    """Receives the reports of an engine."""

    @property
    @abstractmethod
    def has_running_requests(self) -> bool:
        """Whether requests are known to run at the engine."""

    @property
    @abstractmethod
    def is_spacing(self) -> bool:
        """Whether prompts may have to wait for the spacing."""

    @abstractmethod
    def engine_polled(self) -> None:
        """Handle that a report is about to be requested."""

    @abstractmethod
    def observe_engine(self, report: EngineReport) -> None:
        """Apply a report."""


class EngineMonitor:
    """Polls until it is exited; owns its connection and its task."""

    def __init__(
        self,
        source: EngineSource,
        listener: EngineListener,
        log: EventLog,
    ) -> None:
        """Start without a connection; polls once it is entered.

        :param listener: receives each report that can be read.
        :param log: receives a line when reports are lost and when they return.
        """
        self.polls: Counter[PollOutcome] = Counter()
        """Since the start of this process, by outcome."""
        self._log = log
        self._source = source
        self._listener = listener
        ip, port = source.address
        self._request = (
            f'GET {source.path} HTTP/1.1\r\nHost: {ip}:{port}\r\n\r\n'.encode()
        )
        self._connection = EngineConnection()
        self._silence = EngineSilence(log, f'{ip}:{port}')

    async def __aenter__(self) -> Self:
        """Start to poll."""
        self._task = asyncio.create_task(
            keep_running(self._run, self._log, 'polls of the engine')
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop polling and close the connection."""
        self._task.cancel()
        await asyncio.wait([self._task])

    async def _run(self) -> None:
        try:
            while True:
                delay_seconds = await self._poll_once()
                await asyncio.sleep(delay_seconds)
        finally:
            self._connection.abort()

    async def _poll_once(self) -> float:
        """Poll, and return the time until the next poll."""
        failed_polls = self._silence.failed_polls
        self._listener.engine_polled()
        try:
            report = await self._poll()
        except PollError as error:
            self.polls[error.outcome] += 1
            self._silence.record_failure(loop_now(), error)
            return _backoff_seconds(failed_polls)
        self.polls[PollOutcome.REPORT] += 1
        self._silence.record_report(loop_now())
        self._listener.observe_engine(report)
        if report.is_idle and not self._listener.has_running_requests:
            return IDLE_INTERVAL_SECONDS
        if self._listener.is_spacing:
            return SPACING_INTERVAL_SECONDS
        return BUSY_INTERVAL_SECONDS

    async def _poll(self) -> EngineReport:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
                body = await self._fetch()
        except TimeoutError as error:
            detail = f'no response for {POLL_TIMEOUT_SECONDS} s'
            raise PollError(PollOutcome.LATE, detail) from error
        except OSError as error:
            raise PollError(PollOutcome.UNREACHABLE, repr(error)) from error
        try:
            return self._source.decode(body)
        except ValueError as error:
            raise PollError(PollOutcome.UNREADABLE, str(error)) from error

    async def _fetch(self) -> bytes:
        if not self._connection.usable:
            loop = asyncio.get_running_loop()
            opened = await loop.create_connection(
                EngineConnection, *self._source.address
            )
            self._connection = opened[1]
        return await self._connection.fetch(self._request)


def _backoff_seconds(failed_polls: int) -> float:
    factor = 1 << min(failed_polls, _MAX_DOUBLINGS)
    return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * factor)
