"""A turn at a server: leave to send, given by its side or by the entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

from sardinetrack.admission.ask import Ask, Granted
from sardinetrack.placement.choice import Candidate
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.fleet import Fleet
from sardinetrack.topology.configuration import Pool
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.desk import LocalDesk
from sardinetrack.turns.entry import SideLines
from sardinetrack.turns.messages import AskTurn, TurnGranted, TurnRefused

_ANSWER_SECONDS: Final = 0.25
"""Longest wait for a side's answer beyond what the request may wait."""


class Turn(ABC):
    """Leave to send one request to one server."""

    @abstractmethod
    def begun(self) -> None:
        """Tell that the first event came."""

    @abstractmethod
    def ended(self, *, whole: bool) -> None:
        """Give it back.

        :param whole: the caller has all of the answer.
        """


class PlainTurn(Turn):
    """At a plain service, which admits by itself; counted from the choice.

    Requests of one moment are placed before any of them is sent.
    """

    def __init__(self, load: ServerLoad) -> None:
        """Count the request."""
        self._load = load
        load.running += 1

    def begun(self) -> None:
        """Nobody waits for it."""

    def ended(self, *, whole: bool) -> None:
        """Count it no more."""
        self._load.running -= 1


class SideTurn(Turn):
    """Granted by the server's side."""

    def __init__(self, lines: SideLines, ask_id: str) -> None:
        """Remember whom to tell."""
        self._lines = lines
        self._ask_id = ask_id

    def begun(self) -> None:
        """Tell the side."""
        self._lines.begun(self._ask_id)

    def ended(self, *, whole: bool) -> None:
        """Tell the side."""
        self._lines.ended(self._ask_id, whole=whole)


class OwnTurn(Turn):
    """Granted by the entry itself."""

    def __init__(self, desk: LocalDesk, ask_id: str) -> None:
        """Remember whom to tell."""
        self._desk = desk
        self._ask_id = ask_id

    def begun(self) -> None:
        """Tell the desk."""
        self._desk.begun(self._ask_id)

    def ended(self, *, whole: bool) -> None:
        """Tell the desk."""
        self._desk.withdraw(self._ask_id, whole=whole)


class TurnRefusedError(Exception):
    """The server has no turn in time."""

    def __init__(
        self,
        retry_after_seconds: float,
        reason: str,
        returned_seconds: float = 0,
    ) -> None:
        """Remember when to come back.

        :param returned_seconds: how long ago it had been refused before.
        """
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds
        self.returned_seconds = returned_seconds


async def take_turn(
    fleet: Fleet,
    pool: Pool,
    candidate: Candidate,
    ask: Ask,
) -> Turn:
    """Wait for a turn at a server.

    Where the side is away, or is lost while it is asked, the entry grants
    its own part of the server: its engine lives on.

    :raises TurnRefusedError: there is none in time.
    """
    link = fleet.side(candidate.server)
    if link is not None and link.lines is not None:
        turn = await _ask_side(fleet, link.lines, ask)
        if turn is not None:
            return turn
    cold_seconds = fleet.beliefs.cold.shut_out_seconds(candidate.server, pool)
    if cold_seconds > 0:
        raise TurnRefusedError(cold_seconds, 'cold, and its side away')
    desk = fleet.desk(candidate.server, pool)
    verdict = await desk.turn(ask)
    if isinstance(verdict, Granted):
        return OwnTurn(desk, ask.ask_id)
    raise TurnRefusedError(verdict.retry_after_seconds, 'own desk full')


async def _ask_side(
    fleet: Fleet,
    lines: SideLines,
    ask: Ask,
) -> Turn | None:
    message = AskTurn(
        ask.ask_id,
        ask.workspace,
        ask.new_tokens,
        ask.kept_tokens,
        ask.answer_tokens,
        ask.patience_seconds,
        ask.priority,
        round(ask.served_tokens),
        ask.part,
        round(ask.due_seconds, 3),
        lines.news.rows(loop_now(), fleet.service),
        ask.fingerprint,
        round(ask.ends_seconds, 3),
        round(ask.returned_seconds, 3),
    )
    timeout_seconds = ask.patience_seconds + _ANSWER_SECONDS
    answer = await lines.ask(message, timeout_seconds)
    if isinstance(answer, TurnGranted):
        return SideTurn(lines, ask.ask_id)
    if isinstance(answer, TurnRefused):
        raise TurnRefusedError(
            answer.retry_after_seconds,
            f'side: {answer.ahead_tokens} tokens ahead',
            answer.returned_seconds,
        )
    return None
