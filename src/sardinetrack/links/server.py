"""Accept links on an ASGI server."""

from __future__ import annotations

from typing import Any, Final

from sardinetrack.http.asgi import Message, Receive, Scope, Send
from sardinetrack.links.api import Hello, LinkEvents, LinkLimits
from sardinetrack.links.frames import FrameSocket, LinkLostError
from sardinetrack.links.link import FrameLink
from sardinetrack.links.secret import (
    AUTHORIZATION_HEADER,
    HELLO_HEADER,
    PeerSecret,
    hello_header,
    read_hello,
)
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.json_input import UnreadableError

_LOG: Final = ComponentLogger(LogComponent.LINK)
_LATIN: Final = 'latin-1'
_TYPE: Final = 'type'


class _ServerSocket(FrameSocket):
    def __init__(self, receive: Receive, send: Send) -> None:
        """Wrap the two callables of an accepted ASGI WebSocket."""
        self._receive = receive
        self._send = send

    async def send(self, frame: bytes) -> None:
        """Send one text frame."""
        message: Message = {_TYPE: 'websocket.send', 'text': frame.decode()}
        try:
            await self._send(message)
        except (OSError, RuntimeError) as error:
            raise LinkLostError from error

    async def receive(self) -> bytes | str:
        """Wait for the next frame."""
        message = await self._receive()
        if message[_TYPE] != 'websocket.receive':
            raise LinkLostError
        text: bytes | str | None = message.get('text')
        return message['bytes'] if text is None else text

    def abort(self) -> None:
        """Do nothing: the server closes when the application returns."""


class LinkAcceptor:
    """An ASGI application for WebSockets on the link's path."""

    def __init__(
        self,
        hello: Hello,
        secret: PeerSecret,
        events: LinkEvents,
        *,
        bounds: LinkLimits | None = None,
    ) -> None:
        """Build an acceptor.

        :param hello: identity of this process.
        :param secret: the shared secret that peers must send.
        :param events: one stream that all links of the daemon share.
        """
        self._response_headers = [_encode_header(*hello_header(hello))]
        self._secret = secret
        self._events = events
        self._bounds = bounds or LinkLimits()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Authenticate the peer, then serve the link until it closes."""
        await receive()
        peer = self._authenticate(scope)
        if peer is None:
            # Before the accept this makes the server respond with status 403.
            await send({_TYPE: 'websocket.close'})
            return
        await send(
            {_TYPE: 'websocket.accept', 'headers': self._response_headers}
        )
        link = FrameLink(_ServerSocket(receive, send), peer, self._bounds)
        await link.run(self._events)

    def _authenticate(self, scope: Scope) -> Hello | None:
        if not self._secret.matches(_header(scope, AUTHORIZATION_HEADER)):
            _LOG.warning(
                'link rejected: wrong peer secret',
                client=_client_address(scope),
            )
            return None
        try:
            return read_hello(_header(scope, HELLO_HEADER))
        except UnreadableError as error:
            _LOG.warning('link rejected: invalid hello', error=str(error))
            return None


def _client_address(scope: Scope) -> str:
    host, port = scope['client']
    return f'{host}:{port}'


def _encode_header(name: str, text: str) -> tuple[bytes, bytes]:
    return name.encode(_LATIN), text.encode(_LATIN)


def _header(scope: Any, name: str) -> str | None:
    wanted = name.encode(_LATIN)
    for key, text in scope['headers']:
        if key == wanted:
            return str(text.decode(_LATIN))
    return None
