"""Decides how an entry treats requests by the parts of their prompts."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.quarantine.answered import AnsweredParts
from sardinetrack.quarantine.api import PartReport, PartStatus
from sardinetrack.quarantine.registry import PartRegistry
from sardinetrack.turns.messages import PartsReported
from sardinetrack.turns.side_state import PartBroadcaster, PartListener

_DIGITS: Final = 3


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """The parts of a prompt, and what was known of them when it was sent."""

    parts: tuple[str, ...]
    crashes: tuple[int, ...]
    """In a row, by part."""


class PartQuarantine(PartListener):
    """Collects evidence on parts, and shares it with the other entries."""

    def __init__(self, log: EventLog) -> None:
        """Start without evidence."""
        self.registry = PartRegistry()
        self.broadcaster: PartBroadcaster | None = None
        self._answered = AnsweredParts()
        self._log = log

    def suspected_part(self, now: float, parts: Sequence[str]) -> str:
        """Return a part that may crash engines, or ''; blocked ones count."""
        return self.registry.worst(now, parts)[1]

    def blocked_seconds(self, now: float, parts: Sequence[str]) -> float:
        """Return for how long a request is refused; 0 if it is not."""
        status, part = self.registry.worst(now, parts)
        if status is not PartStatus.BLOCKED:
            return 0
        return self.registry.record(now, part).blocked_seconds(now)

    def sent(self, parts: tuple[str, ...]) -> SentPrompt:
        """Note what is known as a request is sent.

        Of crashes at the same time, as in a loss of power, all but the first
        prove nothing: those requests were sent before it.
        """
        return SentPrompt(
            parts, tuple(map(self.registry.crashes_in_a_row, parts))
        )

    def answered(self, now: float, parts: Sequence[str]) -> None:
        """Record that an engine has begun to respond to a prompt."""
        self._answered.add(now, parts)
        cleared = [
            part for part in parts if self.registry.crashes_in_a_row(part)
        ]
        for part in cleared:
            self.registry.record(now, part).add_response(now)
        self._report(now, cleared, 'answered')

    def crashed(self, now: float, prompts: Iterable[SentPrompt]) -> None:
        """Record prompts that had no event when their engine crashed."""
        blamed: dict[str, int] = {}
        for prompt in prompts:
            for part, crashes in self._to_blame(now, prompt).items():
                blamed[part] = max(crashes + 1, blamed.get(part, 0))
        for part, crashes in blamed.items():
            self.registry.record(now, part).add_crash(now, crashes)
        self._report(now, list(blamed), 'crashed')

    def parts_reported(
        self, now: float, reports: Collection[PartReport]
    ) -> None:
        """Apply reports, and object with what is known here."""
        news = self.registry.merge(now, reports)
        self._log_status(now, [one.part for one in news], 'reported')
        objections = [
            one.part
            for one in news
            if one.crashes and self._add_own_response(now, one.part)
        ]
        self._report(now, objections, 'answered')

    def reports_beyond(
        self, now: float, reports: Collection[PartReport]
    ) -> Collection[PartReport]:
        """Return what the sender of a complete list of reports lacks."""
        return self.registry.reports_beyond(now, reports)

    def _to_blame(self, now: float, prompt: SentPrompt) -> dict[str, int]:
        """Return the parts that may have crashed the engine.

        A part that engines respond to is not to blame if there is another one.
        """
        for shared in prompt.parts:
            self._add_own_response(now, shared)
        known = dict(zip(prompt.parts, prompt.crashes, strict=True))
        doubtful = {
            part: crashes
            for part, crashes in known.items()
            if not self._is_answered(now, part)
        }
        return doubtful or known

    def _is_answered(self, now: float, part: str) -> bool:
        record = self.registry.find(part)
        return record is not None and record.answered_lately(now)

    def _add_own_response(self, now: float, part: str) -> bool:
        """Add the last response of this entry to the record of a part.

        :return: whether it was not known there.
        """
        answered_seconds = self._answered.last_seconds(part)
        if answered_seconds is None:
            return False
        record = self.registry.record(now, part)
        is_news = answered_seconds > record.answered_seconds
        record.add_response(answered_seconds)
        return is_news

    def _report(self, now: float, parts: Collection[str], cause: str) -> None:
        if not parts:
            return
        self._log_status(now, parts, cause)
        reports = [
            self.registry.record(now, part).report(now, part) for part in parts
        ]
        if self.broadcaster is not None:
            self.broadcaster.broadcast_parts(PartsReported(tuple(reports)))

    def _log_status(self, now: float, parts: Iterable[str], cause: str) -> None:
        for part in parts:
            record = self.registry.record(now, part)
            self._log.write(
                Event.PART_STATUS,
                part=part,
                status=record.status(now),
                crashes=record.crashes_in_a_row,
                cause=cause,
                answered=record.answered_lately(now),
                blocked_seconds=round(record.blocked_seconds(now), _DIGITS),
            )
