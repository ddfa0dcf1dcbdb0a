"""Everything that is wrong with a catalogue entry, in one error."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from pydantic import ValidationError

_VALUE_ERROR_PREFIX: Final = 'Value error, '


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in an entry."""

    place: str
    """Path of the field; empty for the entry as a whole."""
    reason: str

    def __str__(self) -> str:
        """Put place and reason on one line."""
        return f'{self.place}: {self.reason}' if self.place else self.reason


class InvalidEntryError(Exception):
    """An entry can't be put in force."""

    def __init__(self, key: str, problems: Iterable[Problem]) -> None:
        """Remember every problem."""
        self.key = key
        self.problems = tuple(problems)
        reasons = '; '.join(str(problem) for problem in self.problems)
        super().__init__(f'{key}: {reasons}')

    @property
    def reasons(self) -> tuple[str, ...]:
        """The problems as lines of text."""
        return tuple(str(problem) for problem in self.problems)


def problems_of(error: ValidationError) -> list[Problem]:
    """Translate what the validation of an entry found."""
    found = error.errors(include_url=False, include_input=False)
    # The first part of a place is the kind that the validation took it for.
    return [_problem(row['loc'][1:], row['msg']) for row in found]


def _problem(place: tuple[Any, ...], message: str) -> Problem:
    path = '.'.join(str(part) for part in place)
    return Problem(path, message.removeprefix(_VALUE_ERROR_PREFIX))
