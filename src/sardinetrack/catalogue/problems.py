"""Everything that is wrong with a catalogue entry, in one error."""

from __future__ import annotations

from collections.abc import Iterable

from pydantic import ValidationError

from sardinetrack.errors.problem import Problem, path_of, reason_of


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
    return [
        Problem(path_of(row['loc'][1:]), reason_of(row['msg'])) for row in found
    ]
