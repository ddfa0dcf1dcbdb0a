"""Write log lines: a message, typed fields and a component's prefix."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Final

FieldValue = str | int | float | bool | None

FIELDS_KEY: Final = 'sardinetrack_fields'
"""Name of the log record's attribute that holds the fields."""
ROOT_LOGGER: Final = 'sardinetrack'


class LogComponent(StrEnum):
    """A component of the system; the value is the prefix of its lines."""

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
    """A routing or placement decision; ``None`` fields are not written."""

    request_id: str | None
    """``None`` where only the attempt is known."""
    workspace: str
    pool: str
    backend_server: str
    """Empty if the decision was not to run the request anywhere."""
    reason: str
    attempt_id: str = ''
    waited_seconds: float | None = None
    suspect: bool | None = None
    """Whether the request was running when another backend server crashed."""


class ComponentLogger:
    """Logger of one component."""

    def __init__(self, part: LogComponent) -> None:
        """Log under the component's prefix."""
        self._logger = logging.getLogger(f'{ROOT_LOGGER}.{part.value}')

    def decision(self, sentence: str, record: DecisionRecord) -> None:
        """Log a routing or placement decision."""
        if self._logger.isEnabledFor(logging.INFO):
            fields = {
                name: field
                for name, field in asdict(record).items()
                if field is not None
            }
            self._write(logging.INFO, sentence, fields)

    def debug(self, sentence: str, **fields: FieldValue) -> None:
        """Log a detail."""
        self._write(logging.DEBUG, sentence, fields)

    def info(self, sentence: str, **fields: FieldValue) -> None:
        """Log an ordinary event."""
        self._write(logging.INFO, sentence, fields)

    def warning(self, sentence: str, **fields: FieldValue) -> None:
        """Log a failure that the system handles itself."""
        self._write(logging.WARNING, sentence, fields)

    def error(self, sentence: str, **fields: FieldValue) -> None:
        """Log a failure that needs an operator's attention."""
        self._write(logging.ERROR, sentence, fields)

    def exception(self, sentence: str, **fields: FieldValue) -> None:
        """Log a program fault with the traceback of the current exception."""
        self._logger.error(sentence, exc_info=True, extra={FIELDS_KEY: fields})

    def _write(
        self,
        level: int,
        sentence: str,
        fields: dict[str, FieldValue],
    ) -> None:
        self._logger.log(level, sentence, extra={FIELDS_KEY: fields})
