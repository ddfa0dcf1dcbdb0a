"""TCP proxies between processes, controlled from a test's thread."""

from __future__ import annotations

from contextlib import ExitStack
from types import TracebackType
from typing import Self

from anyio.from_thread import BlockingPortal, start_blocking_portal

from sardinetrack.standin.tcp_proxy import Direction, TcpProxy, open_proxy


class Proxy:
    """One proxy; every method returns when it has taken effect."""

    def __init__(self, portal: BlockingPortal, proxy: TcpProxy) -> None:
        """Control an open proxy.

        :param portal: runs calls in the proxy's event loop.
        """
        self._portal = portal
        self._proxy = proxy
        self.address = f'127.0.0.1:{proxy.port}'

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._portal.call(self._proxy.cut)

    def restore(self) -> None:
        """Accept connections again."""
        self._portal.call(self._proxy.restore)

    def freeze(self) -> None:
        """Withhold all bytes; connections stay open."""
        self._portal.call(self._proxy.freeze)

    def thaw(self) -> None:
        """Forward the withheld bytes and go on."""
        self._portal.call(self._proxy.thaw)

    def reset_callers(self) -> None:
        """Close the callers' connections to a frozen proxy, then thaw it.

        What the callers sent before stays withheld until ``release_withheld``;
        new connections work.
        """
        self._portal.call(self._proxy.reset_caller_connections)
        self._portal.call(self._proxy.thaw)

    def release_withheld(self) -> None:
        """Forward what the closed connections had sent."""
        self._portal.call(self._proxy.release_withheld_bytes)

    def drop(self, direction: Direction) -> None:
        """Drop all bytes in one direction; connections stay open."""
        self._portal.call(self._proxy.drop, direction)

    def stop_dropping(self) -> None:
        """Drop no more bytes."""
        self._portal.call(self._proxy.stop_dropping)

    def delay(self, seconds: float) -> None:
        """Delay all bytes by so many seconds in each direction."""
        self._proxy.delay_seconds = seconds


class Proxies:
    """All proxies of a fleet, on one thread of their own."""

    def __init__(self) -> None:
        self._stack = ExitStack()
        self._portal: BlockingPortal

    def __enter__(self) -> Self:
        """Start the thread of the proxies."""
        self._portal = self._stack.enter_context(start_blocking_portal())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all proxies."""
        self._stack.close()

    def to(self, address: str) -> Proxy:
        """Open a proxy to ``IP:port``."""
        ip, _, port = address.rpartition(':')
        proxy = self._stack.enter_context(
            self._portal.wrap_async_context_manager(open_proxy(ip, int(port))),
        )
        return Proxy(self._portal, proxy)
