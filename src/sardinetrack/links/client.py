"""Keep one link up to an address."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Final

import anyio
import msgspec
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from sardinetrack.charts.typed import TypedChart
from sardinetrack.links.api import LINK_PATH, Hello, LinkBounds, LinkEvents
from sardinetrack.links.frames import FrameSocket, LinkLostError
from sardinetrack.links.link import FrameLink
from sardinetrack.links.secret import (
    HELLO_HEADER,
    PeerSecret,
    hello_header,
    read_hello,
)
from sardinetrack.logs.lines import Part, PartLogger

_LOG: Final = PartLogger(Part.LINK)
_FIRST_RETRY_SECONDS: Final = 0.05
_LEAST_PART: Final = 0.5
_MOST_DOUBLINGS: Final = 16
_FAILURES: Final = (
    OSError,
    TimeoutError,
    WebSocketException,
    msgspec.DecodeError,
)


class DialState(StrEnum):
    """Where a dialer stands."""

    CONNECTING = 'connecting'
    UP = 'up'
    DOWN = 'down'


class DialEvent(StrEnum):
    """What moves a dialer."""

    OPENED = 'opened'
    FAILED = 'failed'
    BROKEN = 'broken'
    RETRY = 'retry'


_CHART: Final = TypedChart('link', DialState, DialEvent)


class _ClientSocket(FrameSocket):
    def __init__(self, connection: ClientConnection) -> None:
        """Wrap a connection of the library."""
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
    """A task that opens a link to an address, again and again."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        secret: PeerSecret,
        events: LinkEvents,
        *,
        bounds: LinkBounds | None = None,
        random: Random | None = None,
    ) -> None:
        """Remember where to.

        :param address: ``IP:port`` of the other's peer endpoint.
        :param events: one stream that all links of the daemon share.
        :param random: spreads the retries of many dialers.
        """
        self.address = address
        self._headers = [secret.header(), hello_header(hello)]
        self._events = events
        self._bounds = bounds or LinkBounds()
        self._random = random or Random()
        self._chart = _CHART.start()
        self._failures = 0

    @property
    def state(self) -> DialState:
        """Where the dialer stands on its chart."""
        return self._chart.state

    async def run(self) -> None:
        """Keep the link up until cancelled."""
        while True:
            try:
                await self._one_link()
            except _FAILURES as error:
                self._note_failure(error)
            was_up = self.state is DialState.UP
            self._chart.fire(DialEvent.BROKEN if was_up else DialEvent.FAILED)
            await anyio.sleep(self._retry_seconds())
            self._chart.fire(DialEvent.RETRY)

    async def _one_link(self) -> None:
        connection = await self._open()
        try:
            peer = read_hello(self._answered_hello(connection))
        except BaseException:
            connection.transport.abort()
            raise
        self._chart.fire(DialEvent.OPENED)
        opened_at = anyio.current_time()
        link = FrameLink(_ClientSocket(connection), peer, self._bounds)
        await link.run(self._events)
        # A link that ends at once counts as a failure: a peer that keeps
        # breaking its links would otherwise be dialled without a pause.
        lasted_seconds = anyio.current_time() - opened_at
        if lasted_seconds > self._bounds.longest_retry_seconds:
            self._failures = 0
        else:
            self._failures += 1

    async def _open(self) -> ClientConnection:
        return await connect(
            f'ws://{self.address}{LINK_PATH}',
            additional_headers=self._headers,
            user_agent_header=None,
            compression=None,
            proxy=None,
            open_timeout=self._bounds.open_seconds,
            # The link has its own heartbeat, which traffic replaces.
            ping_interval=None,
            max_size=self._bounds.max_frame_bytes,
        )

    def _answered_hello(self, connection: ClientConnection) -> str | None:
        response = connection.response
        return response.headers.get(HELLO_HEADER) if response else None

    def _note_failure(self, error: Exception) -> None:
        # Once for each outage: a peer that is gone is dialled for long.
        tell = _LOG.debug if self._failures else _LOG.warning
        tell('no link', address=self.address, error=str(error))
        self._failures += 1

    def _retry_seconds(self) -> float:
        doublings = min(self._failures, _MOST_DOUBLINGS)
        longest = min(
            self._bounds.longest_retry_seconds,
            _FIRST_RETRY_SECONDS * (1 << doublings),
        )
        return longest * self._random.uniform(_LEAST_PART, 1)
