"""Find the requests that crash the servers which run them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from sardinetrack.messages.api import Strike
from sardinetrack.relay.api import Call
from sardinetrack.routing.strikes import StrikeBook
from sardinetrack.turns.entry import Crashes

SERVERS_TO_CONDEMN: Final = 3
"""Different servers that went down under a request before it is refused.

Whatever ran at a server beside such a request is suspected as well. In a
crash of a quarter of the engines one in sixteen of their requests meets two
crashes, and one in sixty three.
"""
STRIKE_SECONDS: Final = 60.0
"""How long a crash counts; its caller sends such a request again at once."""
TOGETHER_SECONDS: Final = 3.0
"""Longest time between the end of a connection and the sign of a crash.

A server that went down is found out by the next connection, or by the list.
"""
_MOST_SUSPECTS: Final = 512
"""Of one server: it runs 64 requests, and idle ones are asked again."""


def fingerprint(call: Call, workspace: str) -> str:
    """Name what stays the same when a caller sends a request again."""
    digest = xxhash.xxh3_128(workspace.encode())
    digest.update(call.method)
    digest.update(call.target)
    digest.update(call.body)
    return digest.hexdigest()


class CrashWatch(Crashes):
    """Suspects what ran at a server when it went down.

    The connection of a running request that ends proves no crash: answers
    are lost on the way too. The server must be found away, or be listed no
    more, soon after.
    """

    def __init__(self) -> None:
        """Start with no suspects."""
        self.book = StrikeBook(SERVERS_TO_CONDEMN)
        self._suspects: dict[str, dict[str, float]] = {}

    def refused_seconds(self, now: float, call: Call, workspace: str) -> float:
        """Tell for how long a call is refused; 0 when it is not."""
        if not self.book:
            return 0
        name = fingerprint(call, workspace)
        return self.book.condemned_seconds(now, name)

    def broke(
        self,
        now: float,
        server: str,
        call: Call,
        workspace: str,
    ) -> Sequence[Strike]:
        """Note that a connection ended while a call ran.

        :return: a strike against it, if that is beyond doubt.
        """
        name = fingerprint(call, workspace)
        if self.book.count(now, name) >= SERVERS_TO_CONDEMN - 1:
            # Under a request that is known from two crashes the next server
            # is not waited for to be found away: the one after it would go
            # down meanwhile.
            strikes = (Strike(name, server, STRIKE_SECONDS),)
            self.hear(now, strikes)
            return strikes
        suspects = self._suspects.setdefault(server, {})
        suspects[name] = now
        if len(suspects) > _MOST_SUSPECTS:
            suspects.pop(next(iter(suspects)))
        return ()

    def away(self, now: float, server: str) -> Sequence[Strike]:
        """Note that a server is away.

        :return: the strikes against what ran there until a moment ago.
        """
        strikes = tuple(
            Strike(name, server, STRIKE_SECONDS)
            for name, broke in self._suspects.pop(server, {}).items()
            if now - broke <= TOGETHER_SECONDS
        )
        self.hear(now, strikes)
        return strikes

    def forget(self, server: str) -> None:
        """Forget what ran at a server that has left in good order."""
        self._suspects.pop(server, None)

    def hear(self, now: float, strikes: Iterable[Strike]) -> None:
        """Take in strikes, own or of other entries."""
        for strike in strikes:
            self.book.add(now, strike)

    def served(self, call: Call, workspace: str) -> None:
        """Clear a call that ran to its end."""
        if self.book:
            self.book.clear(fingerprint(call, workspace))
