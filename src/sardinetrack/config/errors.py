"""What is wrong with a settings file."""

from __future__ import annotations

from sardinetrack.errors.problem import Problem


class SettingsError(Exception):
    """The settings can't be used; every mistake is listed."""

    def __init__(self, source: str, problems: tuple[Problem, ...]) -> None:
        """Remember the mistakes.

        :param source: the file's path.
        :param problems: every mistake found.
        """
        lines = [f'{source}: {problem}' for problem in problems]
        super().__init__('\n'.join(lines))
        self.source = source
        self.problems = problems
