"""Headers that open a link: the shared secret and the hello."""

from __future__ import annotations

import hmac
from typing import Final

import msgspec

from sardinetrack.links.api import Hello
from sardinetrack.messages.json_input import JsonDecoder

AUTHORIZATION_HEADER: Final = 'authorization'
HELLO_HEADER: Final = 'sardinetrack-peer'
_SCHEME: Final = 'Bearer '
_HELLOS: Final = JsonDecoder[Hello](Hello)


class PeerSecret:
    """The shared secret of the fleet; its text never appears in a log line."""

    def __init__(self, secret: str) -> None:
        """Build the header text that peers compare."""
        self._header = f'{_SCHEME}{secret}'
        self._expected = self._header.encode()

    def __repr__(self) -> str:
        return 'PeerSecret(***)'

    def header(self) -> tuple[str, str]:
        """Build the header that carries the secret."""
        return AUTHORIZATION_HEADER, self._header

    def matches(self, header: str | None) -> bool:
        """Compare in constant time.

        :param header: text of the authorization header, ``None`` if missing.
        """
        return hmac.compare_digest((header or '').encode(), self._expected)


def hello_header(hello: Hello) -> tuple[str, str]:
    """Build the header that carries the identity of a process."""
    return HELLO_HEADER, msgspec.json.encode(hello).decode('ascii')


def read_hello(header: str | None) -> Hello:
    """Decode the hello of the other end.

    :raises UnreadableError: the header is missing or not valid.
    """
    return _HELLOS.decode(header or '')
