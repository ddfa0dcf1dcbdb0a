"""A relay before the platform, driven from a test's own thread."""

from __future__ import annotations

from contextlib import ExitStack
from types import TracebackType
from typing import Self
from urllib.parse import urlsplit

from anyio.from_thread import start_blocking_portal

from sardinetrack.standin.relay import Direction, relaying


class RelayLink:
    """One process's way to the platform, which can be cut or frozen."""

    def __init__(self, target_url: str) -> None:
        """Remember the target."""
        self._target = urlsplit(target_url)
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Start relaying."""
        self._portal = self._stack.enter_context(start_blocking_portal())
        self._relay = self._stack.enter_context(
            self._portal.wrap_async_context_manager(
                relaying(str(self._target.hostname), self._target.port or 0),
            ),
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop relaying."""
        self._stack.close()

    @property
    def url(self) -> str:
        """The URL to use in place of the target's."""
        return f'http://127.0.0.1:{self._relay.port}'

    def cut(self) -> None:
        """Close all connections and refuse others."""
        self._portal.call(self._relay.cut)

    def restore(self) -> None:
        """Take connections again."""
        self._portal.call(self._relay.restore)

    def lose_answers(self) -> None:
        """Lose what comes from the target; connections stay open."""
        self._portal.call(self._relay.drop, Direction.TO_CALLER)

    def lose_nothing(self) -> None:
        """Lose nothing from now on; what was lost stays lost."""
        self._portal.call(self._relay.stop_dropping)

    def delay(self, seconds: float) -> None:
        """Let bytes take so long, each way."""
        self._relay.delay_seconds = seconds

    def freeze(self) -> None:
        """Hold all bytes; connections stay open and silent."""
        self._portal.call(self._relay.freeze)

    def thaw(self) -> None:
        """Let the held bytes go on."""
        self._portal.call(self._relay.thaw)
