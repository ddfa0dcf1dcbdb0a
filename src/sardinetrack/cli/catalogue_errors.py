"""Translate the catalogue editor's errors into command errors."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from sardinetrack.catalogue.editor import EditConflictError
from sardinetrack.catalogue.problems import InvalidCatalogueEntryError
from sardinetrack.cli.api import CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.store.api import PlatformError, UncertainError


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise errors of the editor as command errors.

    :raises CommandError: with the exit code of the case.
    """
    try:
        yield
    except (
        InvalidCatalogueEntryError,
        EditConflictError,
        PlatformError,
    ) as error:
        raise _command_error(error) from error


def _command_error(
    error: InvalidCatalogueEntryError | EditConflictError | PlatformError,
) -> CommandError:
    match error:
        case InvalidCatalogueEntryError():
            lines = [f'{error.key}: {reason}' for reason in error.reasons]
            return CommandError('\n'.join(lines), ExitCode.BAD_USAGE)
        case EditConflictError():
            return CommandError(str(error), ExitCode.LOST_RACE)
        case UncertainError():
            return CommandError(
                f'the edit may or may not have been made ({error}); '
                + 'running the command again is safe',
            )
        case _:
            return CommandError(
                f'the platform failed, nothing was changed: {error}',
            )
