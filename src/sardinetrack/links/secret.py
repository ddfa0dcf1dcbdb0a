"""The secret that peers show each other, and their hello."""

from __future__ import annotations

import hmac
from typing import Final

import msgspec

from sardinetrack.links.api import Hello

AUTHORIZATION_HEADER: Final = 'authorization'
HELLO_HEADER: Final = 'sardinetrack-peer'
_SCHEME: Final = 'Bearer '


class PeerSecret:
    """The secret of the fleet; its text never shows in a log line."""

    def __init__(self, secret: str) -> None:
        """Remember the secret."""
        self._header = f'{_SCHEME}{secret}'
        self._expected = self._header.encode()

    def __repr__(self) -> str:
        return 'PeerSecret(***)'

    def header(self) -> tuple[str, str]:
        """Build the header that shows the secret."""
        return AUTHORIZATION_HEADER, self._header

    def matches(self, header: str | None) -> bool:
        """Compare in constant time.

        :param header: text of the authorization header.
        """
        return hmac.compare_digest((header or '').encode(), self._expected)


def hello_header(hello: Hello) -> tuple[str, str]:
    """Build the header that says who a process is."""
    return HELLO_HEADER, msgspec.json.encode(hello).decode('ascii')


def read_hello(header: str | None) -> Hello:
    """Read the other end's hello.

    :raises msgspec.DecodeError: it is missing or not valid.
    """
    return msgspec.json.decode(header or '', type=Hello)
