"""Invariant checks that run in production too."""

from __future__ import annotations


class InvariantError(AssertionError):
    """An invariant does not hold; the state can't be trusted."""


def ensure(holds: bool, invariant: str) -> None:
    """Raise if an invariant does not hold.

    :param holds: whether it holds.
    :param invariant: what should hold; the text of the error.
    :raises InvariantError: it does not hold.
    """
    if not holds:
        raise InvariantError(invariant)
