"""Drives the admission to one engine by the event loop's clock."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from sardinetrack.admission.ask import Ask, Granted, Verdict
from sardinetrack.admission.reading import ReadingAdmission
from sardinetrack.topology.cold import Cold
from sardinetrack.turns.clock import loop_now


class TurnDesk(ABC):
    """Asks, ends and times go in; each verdict is delivered once."""

    def __init__(self) -> None:
        """Start empty."""
        self.admission = ReadingAdmission(slots=1, memory_tokens=1)
        self._timer: asyncio.TimerHandle | None = None

    @abstractmethod
    def deliver(self, verdict: Verdict) -> None:
        """Hand a verdict to who asked."""

    def ask(self, ask: Ask) -> None:
        """Take in a request."""
        self._carry_out(self.admission.ask(loop_now(), ask))

    def begun(self, ask_id: str) -> None:
        """Note that a prompt is read."""
        self._carry_out(self.admission.begun(loop_now(), ask_id))

    def restart(self) -> None:
        """Note that the server has started anew."""
        self._carry_out(self.admission.restart(loop_now()))

    def cool(self, cold: Cold) -> None:
        """Learn how long the server stays cold."""
        self._carry_out(self.admission.cool(loop_now(), cold))

    def withdraw(self, ask_id: str, *, whole: bool = False) -> None:
        """Forget a request, whether it waits or runs.

        :param whole: its caller has all of the answer.
        """
        now = loop_now()
        self._carry_out(self.admission.withdraw(now, ask_id, whole=whole))

    def _carry_out(self, verdicts: Sequence[Verdict]) -> None:
        for verdict in verdicts:
            self.deliver(verdict)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.admission.next_deadline_seconds(loop_now())
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._late)

    def _late(self) -> None:
        self._timer = None
        self._carry_out(self.admission.tick(loop_now()))


class LocalDesk(TurnDesk):
    """Turns that an entry gives itself at a server without a side."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._asked: dict[str, asyncio.Future[Verdict]] = {}

    async def turn(self, ask: Ask) -> Verdict:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Verdict] = loop.create_future()
        self._asked[ask.ask_id] = waiting
        try:
            self.ask(ask)
            return await waiting
        except asyncio.CancelledError:
            self.withdraw(ask.ask_id)
            raise
        finally:
            self._asked.pop(ask.ask_id, None)

    def deliver(self, verdict: Verdict) -> None:
        """Wake who waits; give back a turn that nobody waits for."""
        waiting = self._asked.get(verdict.ask_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(verdict)
        elif isinstance(verdict, Granted):
            self.withdraw(verdict.ask_id)
