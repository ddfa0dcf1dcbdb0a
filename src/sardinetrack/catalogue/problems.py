"""All problems of a catalogue entry, in one error."""

from __future__ import annotations

from collections.abc import Iterable

from pydantic import ValidationError

from sardinetrack.errors.problem import (
    ValidationProblem,
    dotted_path,
    strip_error_prefix,
)


class InvalidCatalogueEntryError(Exception):
    """A catalogue entry can't become active."""

    def __init__(self, key: str, problems: Iterable[ValidationProblem]) -> None:
        """Create the error.

        :param key: the key of the catalogue entry, or where it comes from.
        :param problems: every problem found.
        """
        self.key = key
        self.problems = tuple(problems)
        reasons = '; '.join(str(problem) for problem in self.problems)
        super().__init__(f'{key}: {reasons}')

    @property
    def reasons(self) -> tuple[str, ...]:
        """The problems as lines of text."""
        return tuple(str(problem) for problem in self.problems)


def problems_from(error: ValidationError) -> list[ValidationProblem]:
    """Convert the errors of a validation to problems."""
    found = error.errors(include_url=False, include_input=False)
    # The first element of a location is the kind that the validation chose.
    return [
        ValidationProblem(
            dotted_path(detail['loc'][1:]), strip_error_prefix(detail['msg'])
        )
        for detail in found
    ]
