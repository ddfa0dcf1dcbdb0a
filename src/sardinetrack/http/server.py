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
from sardinetrack.http.guard import ServerBounds, guarded_protocol
from sardinetrack.http.sockets import accept_all

_BACKLOG: Final = 2048


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon that owns it."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Build a server that tells when it listens."""
        super().__init__(config)
        self.listening = anyio.Event()
        self.closed = anyio.Event()

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve, then tell that every connection is closed."""
        try:
            await super().serve(sockets=sockets)
        finally:
            self.closed.set()

    async def startup(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Listen, then tell."""
        await super().startup(sockets=sockets)
        self.listening.set()

    async def shutdown(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Take in who has connected, then close."""
        accepted = [one for each in sockets or () for one in accept_all(each)]
        for listening in self.servers:
            listening.close()
        for connection in accepted:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._protocol,
                connection,
            )
        await super().shutdown(sockets)

    def _protocol(self) -> asyncio.Protocol:
        made = cast('type[Any]', self.config.http_protocol_class)(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return cast(asyncio.Protocol, made)

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers: one process may run several servers."""
        yield


class BoundServer:
    """A running server."""

    def __init__(self, server: _Server, address: str) -> None:
        """Remember the server.

        :param address: ``IP:port`` where it listens.
        """
        self._server = server
        self.address = address

    @property
    def port(self) -> int:
        """The port that the system chose or was told."""
        return int(self.address.rpartition(':')[2])

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f'http://{self.address}'

    def stop(self) -> None:
        """Close the listener; running exchanges finish."""
        self._server.should_exit = True

    async def closed(self) -> None:
        """Return when every connection is closed after ``stop``."""
        await self._server.closed.wait()

    def abort(self) -> None:
        """Close everything at once."""
        self._server.should_exit = True
        self._server.force_exit = True


def bind(ip: str, port: int) -> socket.socket:
    """Open a listening socket.

    :param ip: an IP number.
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
async def serving(
    application: Application,
    ip: str,
    port: int,
    *,
    bounds: ServerBounds | None = None,
    protocol: type[asyncio.Protocol] | None = None,
) -> AsyncIterator[BoundServer]:
    """Serve while the context lasts.

    :param application: an ASGI application.
    :param ip: an IP number to listen at.
    :param port: 0 lets the system choose.
    :param bounds: what connections may make the server hold.
    :param protocol: class of the HTTP protocol, by default a guarded one.
    :return: the running server.
    """
    held = bounds or ServerBounds()
    listener = bind(ip, port)
    host, bound_port = listener.getsockname()[:2]
    server = _Server(
        uvicorn.Config(
            application,
            http=protocol or guarded_protocol(held),
            ws='websockets-sansio',
            loop='asyncio',
            lifespan='off',
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            limit_concurrency=held.max_connections,
            timeout_keep_alive=held.keep_alive_seconds,
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
    # uvicorn stops serving in its own loop; a cancellation that reaches the
    # loop leaves the listener open and answering. The owner's exit ends it.
    with anyio.CancelScope(shield=True):
        await server.serve([listener])
