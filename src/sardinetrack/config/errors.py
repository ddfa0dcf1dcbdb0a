"""Errors of settings files."""

from __future__ import annotations

from sardinetrack.errors.problem import ValidationProblem


class SettingsError(Exception):
    """The settings are invalid; every problem is listed."""

    def __init__(
        self, source: str, problems: tuple[ValidationProblem, ...]
    ) -> None:
        """Create the error.

        :param source: the file's path.
        :param problems: every problem found.
        """
        lines = [f'{source}: {problem}' for problem in problems]
        super().__init__('\n'.join(lines))
        self.source = source
        self.problems = problems
