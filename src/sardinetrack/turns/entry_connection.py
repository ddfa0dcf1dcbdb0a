"""A side's end of its connection to one entry."""

from __future__ import annotations

import asyncio
import math
from types import TracebackType
from typing import TYPE_CHECKING, Self

from sardinetrack.logs.events import EventLog
from sardinetrack.process.ports import Ports
from sardinetrack.turns.line_protocol import LineProtocol
from sardinetrack.turns.messages import (
    DECODE_FROM_ENTRY,
    Begun,
    Ended,
    Hello,
    PartsReported,
    PermitRequest,
    ServerStarted,
    StrikesReported,
)
from sardinetrack.turns.origin_messages import (
    FindOrigin,
    OriginsFromEntry,
    StreamBegan,
    VersionsListed,
)
from sardinetrack.views.api import ViewSubscriber
from sardinetrack.views.messages import (
    ClockView,
    FromFollower,
    FromWatcher,
    SubscribeView,
    UnsubscribeView,
)

if TYPE_CHECKING:
    from sardinetrack.turns.side import SideServer


class EntryConnection(LineProtocol, ViewSubscriber):
    """Connection of one entry."""

    def __init__(self, side: SideServer) -> None:
        """Start without a transport.

        :param side: handles the messages.
        """
        super().__init__()
        self.entry = ''
        self.asks_origins = False
        """Whether it understands the messages about streams' origins."""
        self.reports_parts = False
        """Whether it understands reports about the parts of prompts."""
        self.permit_ids: set[str] = set()
        """Of the entry's requests that wait or run."""
        self._side = side

    def handle_connected(self) -> None:
        """Register the connection at the side."""
        self._side.add_entry(self)

    def handle_disconnected(self) -> None:
        """Remove the connection from the side."""
        self._side.remove_entry(self)

    def handle_line(self, line: bytes) -> None:
        """Dispatch a message to the side."""
        message = DECODE_FROM_ENTRY(line)
        match message:
            case PermitRequest():
                self.permit_ids.add(message.permit_id)
                self._side.handle_request(self, message)
            case Begun():
                self._side.streams.begun(self, message)
                self._side.prefill_finished(message.permit_id)
            case Ended():
                self.permit_ids.discard(message.permit_id)
                self._side.handle_end(
                    message.permit_id, is_complete=message.complete
                )
            case Hello():
                self.entry = message.entry
                self.asks_origins = message.asks_origins
                self.reports_parts = message.reports_parts
                self._side.handle_hello(self, message)
            case StrikesReported():
                others = self._side.entry_connections - {self}
                self._side.crashes.struck(message, others)
            case ServerStarted():
                self._side.handle_start(self, message)
            case _:
                self._handle_shared_message(message)

    def _handle_shared_message(
        self, message: PartsReported | OriginsFromEntry | FromFollower
    ) -> None:
        streams = self._side.streams
        others = self._side.entry_connections - {self}
        match message:
            case PartsReported():
                self._side.crashes.parts_reported(message, others)
            case StreamBegan():
                streams.published(message)
            case FindOrigin():
                streams.find(self, message)
            case VersionsListed():
                streams.versions_listed(message, others)
            case _:
                self._handle_view_message(message)

    def _handle_view_message(self, message: FromFollower) -> None:
        watcher = self._side.watcher
        match message:
            case SubscribeView():
                watcher.follow(self, message.stamp_seconds)
            case ClockView():
                watcher.stamp(self, message.stamp_seconds)
            case UnsubscribeView():
                watcher.leave(self)

    def send_message(self, message: FromWatcher) -> None:
        """Send the entry an update of its view of the store."""
        self.send(message)


class EntryListener:
    """Accepts the entries' connections as soon as its port is available."""

    def __init__(
        self, side: SideServer, address: tuple[str, int], log: EventLog
    ) -> None:
        """Listen once entered as a context.

        :param log: receives that the port is unavailable.
        """
        self.port = address[1]
        self.opened_seconds = math.inf
        """When it began to listen, on the clock of the event loop."""
        self._side = side
        self._address = address
        self._ports = Ports(log)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Listen, now or when the port is available."""
        await self._ports.open('entries', self._open)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        self._ports.close()
        if self._server is not None:
            self._server.close()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: EntryConnection(self._side),
            *self._address,
            reuse_address=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.opened_seconds = loop.time()
