"""Limits the bytes of request bodies that an entry buffers."""

from __future__ import annotations

from collections import Counter
from types import TracebackType
from typing import Final, Self

from sardinetrack.errors.api import ErrorKind, RequestError

_TOTAL_BYTES: Final = 128_000_000
_WORKSPACE_BYTES: Final = 32_000_000


class BodyBudget:
    """Limits on the bytes of all bodies and of each workspace's bodies.

    The queue limits only the number of requests. A few hundred requests with
    bodies of the maximum size would still exhaust the memory of the process and
    so fail every caller.
    """

    def __init__(
        self,
        total_bytes: int = _TOTAL_BYTES,
        workspace_bytes: int = _WORKSPACE_BYTES,
    ) -> None:
        """Set the limits.

        :param total_bytes: for the bodies of all workspaces together.
        :param workspace_bytes: for the bodies of each workspace.
        """
        self._total_bytes = total_bytes
        self._workspace_bytes = workspace_bytes
        self._reserved: Counter[str] = Counter()
        self.reserved_bytes = 0

    def account(self, workspace: str) -> BodyAccount:
        """Return a new account for one request of a workspace."""
        return BodyAccount(self, workspace)

    def adjust(self, workspace: str, size_bytes: int) -> None:
        """Reserve or release bytes.

        :param workspace: the workspace whose request they belong to.
        :param size_bytes: negative to release.
        :raises RequestError: the reservation would exceed a limit.
        """
        total_bytes = self.reserved_bytes + size_bytes
        own_bytes = self._reserved[workspace] + size_bytes
        fits = total_bytes <= self._total_bytes
        if size_bytes > 0 and not (fits and own_bytes <= self._workspace_bytes):
            raise RequestError(
                ErrorKind.QUEUE_FULL,
                'too many bytes of request bodies are queued',
            )
        self.reserved_bytes = total_bytes
        if own_bytes:
            self._reserved[workspace] = own_bytes
        else:
            self._reserved.pop(workspace, None)


class BodyAccount:
    """The bytes that one request reserves; leaving the context frees them."""

    def __init__(self, budget: BodyBudget, workspace: str) -> None:
        self._budget = budget
        self._workspace = workspace
        self._reserved_bytes = 0

    def __enter__(self) -> Self:
        """Return the account."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release all bytes of the request."""
        self.reserve(0)

    def reserve(self, size_bytes: int) -> None:
        """Set the number of reserved bytes.

        :param size_bytes: replaces what was reserved before.
        :raises RequestError: the reservation would exceed a limit.
        """
        self._budget.adjust(self._workspace, size_bytes - self._reserved_bytes)
        self._reserved_bytes = size_bytes
