"""A mistake in what an operator has written."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

_VALUE_ERROR_PREFIX: Final = 'Value error, '


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a settings file or a catalogue entry."""

    place: str
    """Dotted path, or ``line L, column C``; empty for the whole."""
    reason: str

    def __str__(self) -> str:
        """Write the line that the operator reads."""
        return f'{self.place}: {self.reason}' if self.place else self.reason


def path_of(place: tuple[Any, ...]) -> str:
    """Write the place of a validation error as a dotted path."""
    return '.'.join(str(part) for part in place)


def reason_of(message: str) -> str:
    """Strip what the validation library puts before a reason of ours."""
    return message.removeprefix(_VALUE_ERROR_PREFIX)
