"""Checks that stay on in the program."""

from __future__ import annotations


class InvariantError(AssertionError):
    """A promise of the decisions was broken; the state can't be trusted."""


def ensure(holds: bool, promise: str) -> None:
    """Raise when an invariant is broken.

    :param holds: whether it holds.
    :param promise: what was promised.
    :raises InvariantError: it does not hold.
    """
    if not holds:
        raise InvariantError(promise)
