"""Load commands that a model engine accepts."""

from __future__ import annotations

from typing import Any

import msgspec

from sardinetrack.standin.fencing import FencingCheck


class LoadCommand(msgspec.Struct):
    """A command; its content is stored as received.

    :param fencing: fencing token; a command without one counts as older than
        all that have one.
    """

    fencing: int = 0
    content: Any = None


class LoadCommandContent(msgspec.Struct):
    """Content of a command that loads models."""

    load_models: tuple[str, ...]


def models_to_load(command: LoadCommand) -> tuple[str, ...]:
    """Return the models that a command loads; none if it is another command."""
    try:
        return msgspec.convert(command.content, LoadCommandContent).load_models
    except msgspec.ValidationError:
        return ()


class LoadCommandLog:
    """Accepted commands, oldest first."""

    def __init__(self, fencing_check: FencingCheck) -> None:
        """Build an empty log.

        :param fencing_check: checks the fencing token of each command.
        """
        self.accepted: list[LoadCommand] = []
        self._fencing_check = fencing_check

    def apply(self, body: bytes) -> bool:
        """Accept a command unless its fencing token is too old.

        :return: whether it was accepted.
        :raises msgspec.MsgspecError: the body is not a command.
        """
        command = msgspec.json.decode(body, type=LoadCommand)
        if not self._fencing_check.admits(command.fencing):
            return False
        self.accepted.append(command)
        return True
