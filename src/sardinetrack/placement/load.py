"""What an entry believes of the load of one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FIRST_RATE: Final = 40_000.0
"""Prompt tokens a second taken for a server nobody has measured yet.

Engines of today read 57 and 125 tokens a millisecond when they do nothing
else; in a full batch a third goes to decoding (platform's pages).
"""


@dataclass(slots=True)
class ServerLoad:
    """Load of one server: as its side told it, and what was added since."""

    told_wait_seconds: float = 0
    """Until a request that comes now would start to be read, or has a slot."""
    rate_tokens: float = FIRST_RATE
    """Prompt tokens that it reads in a second."""
    added_tokens: int = 0
    """Tokens that this entry has sent there since the last word."""
    running: int = 0
    """Requests of this entry at the server."""
    reported_running: int = 0
    """Requests there by the server's own last answer."""

    def wait_seconds(self) -> float:
        """Estimate how long a request that is sent now waits."""
        return self.told_wait_seconds + self.added_tokens / self.rate_tokens

    def restart(self) -> None:
        """Forget all: the server has started anew, and has read nothing."""
        self.hear(0, FIRST_RATE)
        self.reported_running = 0

    def hear(
        self,
        wait_seconds: float,
        rate_tokens: float,
    ) -> None:
        """Take over the word of a side."""
        self.told_wait_seconds = wait_seconds
        self.rate_tokens = rate_tokens
        self.added_tokens = 0
