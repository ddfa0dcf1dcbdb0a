"""Keep one link open to an address."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Final

import anyio
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from sardinetrack.charts.typed import TypedStateChart
from sardinetrack.links.api import LINK_PATH, Hello, LinkEvents, LinkLimits
from sardinetrack.links.frames import FrameSocket, LinkLostError
from sardinetrack.links.link import FrameLink
from sardinetrack.links.secret import (
    HELLO_HEADER,
    PeerSecret,
    hello_header,
    read_hello,
)
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.messages.json_input import UnreadableError

_LOG: Final = ComponentLogger(LogComponent.LINK)
_INITIAL_BACKOFF_SECONDS: Final = 0.05
_MIN_JITTER_FRACTION: Final = 0.5
_MAX_DOUBLINGS: Final = 16
_LINK_ERRORS: Final = (
    OSError,
    TimeoutError,
    WebSocketException,
    UnreadableError,
)


class DialState(StrEnum):
    """State of a dialer."""

    CONNECTING = 'connecting'
    UP = 'up'
    DOWN = 'down'


class DialEvent(StrEnum):
    """Event that changes a dialer's state."""

    OPENED = 'opened'
    FAILED = 'failed'
    BROKEN = 'broken'
    RETRY = 'retry'


_CHART: Final = TypedStateChart('link', DialState, DialEvent)


class _ClientSocket(FrameSocket):
    def __init__(self, connection: ClientConnection) -> None:
        """Wrap a connection of the websockets library."""
        self._connection = connection

    async def send(self, frame: bytes) -> None:
        """Send one text frame."""
        try:
            await self._connection.send(frame, text=True)
        except ConnectionClosed as error:
            raise LinkLostError from error

    async def receive(self) -> bytes:
        """Wait for the next frame."""
        try:
            return await self._connection.recv(decode=False)
        except ConnectionClosed as error:
            raise LinkLostError from error

    def abort(self) -> None:
        """Drop the connection."""
        self._connection.transport.abort()


class LinkDialer:
    """A task that opens a link to an address, and reopens it when it closes."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        secret: PeerSecret,
        events: LinkEvents,
        *,
        bounds: LinkLimits | None = None,
        rng: Random | None = None,
    ) -> None:
        """Build a dialer; ``run`` opens the link.

        :param address: ``IP:port`` of the peer's link server.
        :param hello: identity of this process.
        :param secret: the shared secret of the peers.
        :param events: one stream that all links of the daemon share.
        :param rng: source of the jitter that spreads the retries of many
            dialers.
        """
        self.address = address
        self._headers = [secret.header(), hello_header(hello)]
        self._events = events
        self._bounds = bounds or LinkLimits()
        self._rng = rng or Random()
        self._chart = _CHART.start()
        self._consecutive_failures = 0

    @property
    def state(self) -> DialState:
        """The state of the dialer on its state chart."""
        return self._chart.state

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        while True:
            try:
                await self._run_link()
            except _LINK_ERRORS as error:
                self._record_failure(error)
            was_up = self.state is DialState.UP
            self._chart.fire(DialEvent.BROKEN if was_up else DialEvent.FAILED)
            await anyio.sleep(self._backoff_seconds())
            self._chart.fire(DialEvent.RETRY)

    async def _run_link(self) -> None:
        connection = await self._open()
        try:
            peer = read_hello(self._response_hello(connection))
        except BaseException:
            connection.transport.abort()
            raise
        self._chart.fire(DialEvent.OPENED)
        opened_at = anyio.current_time()
        link = FrameLink(_ClientSocket(connection), peer, self._bounds)
        await link.run(self._events)
        # A link that closes soon after it opened counts as a failure: a peer
        # that keeps closing its links would otherwise be dialled without a
        # backoff.
        lasted_seconds = anyio.current_time() - opened_at
        if lasted_seconds > self._bounds.max_retry_seconds:
            self._consecutive_failures = 0
        else:
            self._consecutive_failures += 1

    async def _open(self) -> ClientConnection:
        return await connect(
            f'ws://{self.address}{LINK_PATH}',
            additional_headers=self._headers,
            user_agent_header=None,
            compression=None,
            proxy=None,
            open_timeout=self._bounds.open_timeout_seconds,
            # The link has its own heartbeat, which other frames replace.
            ping_interval=None,
            max_size=self._bounds.max_frame_bytes,
        )

    def _response_hello(self, connection: ClientConnection) -> str | None:
        response = connection.response
        return response.headers.get(HELLO_HEADER) if response else None

    def _record_failure(self, error: Exception) -> None:
        # One warning for each outage: a peer that is stopped is dialled for a
        # long time.
        log = _LOG.debug if self._consecutive_failures else _LOG.warning
        log('link failed', address=self.address, error=str(error))
        self._consecutive_failures += 1

    def _backoff_seconds(self) -> float:
        doublings = min(self._consecutive_failures, _MAX_DOUBLINGS)
        limit_seconds = min(
            self._bounds.max_retry_seconds,
            _INITIAL_BACKOFF_SECONDS * (1 << doublings),
        )
        return limit_seconds * self._rng.uniform(_MIN_JITTER_FRACTION, 1)
