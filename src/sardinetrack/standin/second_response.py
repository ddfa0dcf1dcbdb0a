"""Responses with the id of their request, which may be sent a second time."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from sardinetrack.http.asgi import HttpExchange, Message, Send
from sardinetrack.http.client import EXCHANGE_HEADER

_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_LENGTH: Final = b'content-length'

HeaderBytes = tuple[bytes, bytes]


class RecordedResponse:
    """Sends a response with the request's id and may keep a copy of it."""

    def __init__(
        self, exchange: HttpExchange, send: Send, *, keeps_copy: bool
    ) -> None:
        """Create an empty copy.

        :param exchange: the request.
        :param send: sends the response.
        :param keeps_copy: whether the response is recorded.
        """
        self._keeps_copy = keeps_copy
        self._exchange = exchange
        self._send = send
        self._status = 0
        self._headers: list[HeaderBytes] = []
        self._body = bytearray()
        self.is_complete = False
        """Whether the copy is complete."""

    async def send(self, message: Message) -> None:
        """Send a message of the response."""
        if message['type'] == 'http.response.start':
            self._status = message['status']
            self._headers = [*message['headers'], *self._id_header()]
            message = {**message, 'headers': self._headers}
        elif self._keeps_copy:
            self._body += message.get('body', b'')
            self.is_complete = not message.get('more_body', False)
        await self._send(message)

    def encode(self) -> bytes:
        """Encode the complete response for the connection."""
        lines = [b'HTTP/1.1 %d Again' % self._status]
        lines.extend(b'%b: %b' % pair for pair in self._framed_headers())
        head = b'\r\n'.join(lines)
        return b'\r\n\r\n'.join((head, bytes(self._body)))

    def _id_header(self) -> list[HeaderBytes]:
        exchange_id = self._exchange.header(EXCHANGE_HEADER)
        if exchange_id is None:
            return []
        return [(EXCHANGE_HEADER.encode(), exchange_id.encode('latin-1'))]

    def _framed_headers(self) -> list[HeaderBytes]:
        if self._exchange.method == 'HEAD' or self._status in _BODILESS:
            return self._headers
        kept = [pair for pair in self._headers if pair[0].lower() != _LENGTH]
        return [*kept, (_LENGTH, b'%d' % len(self._body))]
