"""Bounds the bytes of request bodies that an entry holds."""

from __future__ import annotations

from collections import Counter
from types import TracebackType
from typing import Final, Self

from sardinetrack.errors.api import AnsweredError, ErrorKind

_TOTAL_BYTES: Final = 128_000_000
_WORKSPACE_BYTES: Final = 32_000_000


class BodyBudget:
    """What all bodies may take, and what those of one workspace may.

    Waiting work is bounded by its number; some hundred requests with the
    largest bodies would still take all memory, and every caller with it.
    """

    def __init__(
        self,
        total_bytes: int = _TOTAL_BYTES,
        workspace_bytes: int = _WORKSPACE_BYTES,
    ) -> None:
        """Start with nothing held."""
        self._total_bytes = total_bytes
        self._workspace_bytes = workspace_bytes
        self._held: Counter[str] = Counter()
        self.held_bytes = 0

    def account(self, workspace: str) -> BodyAccount:
        """Open the account of one request."""
        return BodyAccount(self, workspace)

    def change(self, workspace: str, size_bytes: int) -> None:
        """Take or give back.

        :param size_bytes: negative to give back.
        :raises AnsweredError: more is taken than there is.
        """
        total_bytes = self.held_bytes + size_bytes
        own_bytes = self._held[workspace] + size_bytes
        fits = total_bytes <= self._total_bytes
        if size_bytes > 0 and not (fits and own_bytes <= self._workspace_bytes):
            raise AnsweredError(ErrorKind.QUEUE_FULL, 'too many bytes wait')
        self.held_bytes = total_bytes
        if own_bytes:
            self._held[workspace] = own_bytes
        else:
            self._held.pop(workspace, None)


class BodyAccount:
    """What one request holds; given back when the context ends."""

    def __init__(self, budget: BodyBudget, workspace: str) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._workspace = workspace
        self._held_bytes = 0

    def __enter__(self) -> Self:
        """Use the account."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give everything back."""
        self.hold(0)

    def hold(self, size_bytes: int) -> None:
        """Hold so much from now on.

        :raises AnsweredError: there is not enough.
        """
        self._budget.change(self._workspace, size_bytes - self._held_bytes)
        self._held_bytes = size_bytes
