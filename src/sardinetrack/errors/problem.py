"""Validation problems of settings files and catalogue entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

_VALUE_ERROR_PREFIX: Final = 'Value error, '


@dataclass(frozen=True, slots=True)
class ValidationProblem:
    """One problem of a settings file or a catalogue entry."""

    place: str
    """Dotted path, or ``line L, column C``; empty for the whole input."""
    reason: str

    def __str__(self) -> str:
        """Return the line that is shown to the operator."""
        return f'{self.place}: {self.reason}' if self.place else self.reason


def dotted_path(place: tuple[Any, ...]) -> str:
    """Return the location of a validation error as a dotted path."""
    return '.'.join(str(part) for part in place)


def strip_error_prefix(message: str) -> str:
    """Strip the prefix that pydantic adds to the text of a ``ValueError``."""
    return message.removeprefix(_VALUE_ERROR_PREFIX)
