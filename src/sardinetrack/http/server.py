"""Run an ASGI application under uvicorn inside an anyio task group."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Final, cast

import anyio
import uvicorn

from sardinetrack.http.asgi import Application
from sardinetrack.http.guard import ServerLimits, guarded_protocol
from sardinetrack.http.sockets import accept_queued

_BACKLOG: Final = 2048


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon that owns it."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Build a server with events for its start and its end."""
        super().__init__(config)
        self.listening = anyio.Event()
        self.closed = anyio.Event()

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve, then set ``closed`` once every connection is closed."""
        try:
            await super().serve(sockets=sockets)
        finally:
            self.closed.set()

    async def startup(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Start to listen, then set ``listening``."""
        await super().startup(sockets=sockets)
        self.listening.set()

    async def shutdown(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Accept the pending connections, then close."""
        accepted = [
            pending
            for listener in sockets or ()
            for pending in accept_queued(listener)
        ]
        for server in self.servers:
            server.close()
        for connection in accepted:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._protocol,
                connection,
            )
        await super().shutdown(sockets)

    def _protocol(self) -> asyncio.Protocol:
        protocol = cast('type[Any]', self.config.http_protocol_class)(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return cast(asyncio.Protocol, protocol)

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: one process may run several servers."""
        yield


class BoundServer:
    """A running server."""

    def __init__(self, server: _Server, address: str) -> None:
        """Wrap a server that listens.

        :param address: ``IP:port`` where it listens.
        """
        self._server = server
        self.address = address

    @property
    def port(self) -> int:
        """The port that was configured or that the system chose."""
        return int(self.address.rpartition(':')[2])

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f'http://{self.address}'

    def stop(self) -> None:
        """Close the listener; exchanges in progress finish."""
        self._server.should_exit = True

    async def wait_closed(self) -> None:
        """Wait until every connection is closed after ``stop``."""
        await self._server.closed.wait()

    def abort(self) -> None:
        """Close everything immediately."""
        self._server.should_exit = True
        self._server.force_exit = True


def bind(ip: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param ip: an IP address.
    :param port: 0 lets the system choose.
    :return: the bound socket.
    """
    family = socket.AF_INET6 if ':' in ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(_BACKLOG)
    return listener


@asynccontextmanager
async def serve(
    application: Application,
    ip: str,
    port: int,
    *,
    bounds: ServerLimits | None = None,
    protocol: type[asyncio.Protocol] | None = None,
) -> AsyncIterator[BoundServer]:
    """Serve while the context lasts.

    :param application: an ASGI application.
    :param ip: the IP address to listen on.
    :param port: 0 lets the system choose.
    :param bounds: limits on the connections of the server.
    :param protocol: class of the HTTP protocol, by default one that
        ``guarded_protocol`` builds.
    :return: the running server.
    """
    limits = bounds or ServerLimits()
    listener = bind(ip, port)
    host, bound_port = listener.getsockname()[:2]
    server = _Server(
        uvicorn.Config(
            application,
            http=protocol or guarded_protocol(limits),
            ws='websockets-sansio',
            loop='asyncio',
            lifespan='off',
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            limit_concurrency=limits.max_connections,
            timeout_keep_alive=limits.keep_alive_seconds,
        ),
    )
    bound = BoundServer(server, f'{host}:{bound_port}')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_shielded, server, listener)
        try:
            await server.listening.wait()
            yield bound
        finally:
            bound.abort()


async def _serve_shielded(server: _Server, listener: socket.socket) -> None:
    # uvicorn shuts down in its own loop: a cancellation that reaches the loop
    # would leave the listener open and serving. The owner's exit stops it.
    with anyio.CancelScope(shield=True):
        await server.serve([listener])
