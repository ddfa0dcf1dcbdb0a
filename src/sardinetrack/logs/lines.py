"""Write log lines: a sentence, typed fields and the prefix of a part."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Final

FieldValue = str | int | float | bool | None

FIELDS: Final = 'sardinetrack_fields'
"""Name of the log record's attribute that holds the fields."""
ROOT: Final = 'sardinetrack'


class Part(StrEnum):
    """A part of the system; the value is the prefix of its lines."""

    ENTRY = 'entry'
    SIDE = 'side'
    LINK = 'link'
    MEMBERSHIP = 'membership'
    CATALOGUE = 'catalogue'
    LEASE = 'lease'
    ONCE = 'once'
    PLATFORM = 'platform'
    PROCESS = 'process'
    STANDIN = 'standin'
    CLI = 'cli'


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """One routing or placement decision; ``None`` is left out of the line."""

    request_id: str | None
    """``None`` where only the attempt is known."""
    workspace: str
    pool: str
    backend_server: str
    """Empty where the decision was to run it nowhere."""
    reason: str
    attempt_id: str = ''
    waited_seconds: float | None = None
    suspect: bool | None = None
    """Whether it was running when another backend server crashed."""


class PartLogger:
    """Logger of one part."""

    def __init__(self, part: Part) -> None:
        """Write under the prefix of a part."""
        self._logger = logging.getLogger(f'{ROOT}.{part.value}')

    def decision(self, sentence: str, record: DecisionRecord) -> None:
        """Write the line of a routing or placement decision."""
        if self._logger.isEnabledFor(logging.INFO):
            fields = {
                name: field
                for name, field in asdict(record).items()
                if field is not None
            }
            self._write(logging.INFO, sentence, fields)

    def debug(self, sentence: str, **fields: FieldValue) -> None:
        """Tell a detail."""
        self._write(logging.DEBUG, sentence, fields)

    def info(self, sentence: str, **fields: FieldValue) -> None:
        """Tell an ordinary event."""
        self._write(logging.INFO, sentence, fields)

    def warning(self, sentence: str, **fields: FieldValue) -> None:
        """Tell of a failure that the system copes with."""
        self._write(logging.WARNING, sentence, fields)

    def error(self, sentence: str, **fields: FieldValue) -> None:
        """Tell of a failure that an operator should look at."""
        self._write(logging.ERROR, sentence, fields)

    def exception(self, sentence: str, **fields: FieldValue) -> None:
        """Tell of a fault in the program, with the traceback at hand."""
        self._logger.error(sentence, exc_info=True, extra={FIELDS: fields})

    def _write(
        self,
        level: int,
        sentence: str,
        fields: dict[str, FieldValue],
    ) -> None:
        self._logger.log(level, sentence, extra={FIELDS: fields})
