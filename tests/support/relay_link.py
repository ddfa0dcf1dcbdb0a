"""A TCP proxy in front of the platform, controlled from a test's thread."""

from __future__ import annotations

from contextlib import ExitStack
from types import TracebackType
from typing import Self
from urllib.parse import urlsplit

from anyio.from_thread import start_blocking_portal

from sardinetrack.standin.tcp_proxy import Direction, open_proxy


class RelayLink:
    """A network path to a target that can be cut, frozen or slowed."""

    def __init__(self, target_url: str) -> None:
        """Build a proxy that is not open yet.

        :param target_url: where it forwards connections to.
        """
        self._target = urlsplit(target_url)
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Open the proxy."""
        self._portal = self._stack.enter_context(start_blocking_portal())
        self._proxy = self._stack.enter_context(
            self._portal.wrap_async_context_manager(
                open_proxy(str(self._target.hostname), self._target.port or 0),
            ),
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the proxy."""
        self._stack.close()

    @property
    def url(self) -> str:
        """The URL of the proxy, to use in place of the target's."""
        return f'http://127.0.0.1:{self._proxy.port}'

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._portal.call(self._proxy.cut)

    def restore(self) -> None:
        """Accept connections again."""
        self._portal.call(self._proxy.restore)

    def drop_responses(self) -> None:
        """Drop bytes from the target; connections stay open."""
        self._portal.call(self._proxy.drop, Direction.TO_CALLER)

    def forward_responses(self) -> None:
        """Drop no more bytes; those dropped before stay lost."""
        self._portal.call(self._proxy.stop_dropping)

    def delay(self, seconds: float) -> None:
        """Delay all bytes by so many seconds in each direction."""
        self._proxy.delay_seconds = seconds

    def freeze(self) -> None:
        """Withhold all bytes; connections stay open."""
        self._portal.call(self._proxy.freeze)

    def thaw(self) -> None:
        """Forward the withheld bytes and go on."""
        self._portal.call(self._proxy.thaw)
