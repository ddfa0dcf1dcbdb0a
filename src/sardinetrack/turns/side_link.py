"""Keeps an entry connected to one side."""

from __future__ import annotations

import asyncio
from typing import Final

from sardinetrack.logs.events import Event, EventLog
from sardinetrack.process.owner_tasks import keep_running
from sardinetrack.topology.cold import ColdEstimate
from sardinetrack.topology.starts import ServerStart
from sardinetrack.turns.messages import (
    Hello,
    PartsReported,
    ServerStarted,
    StrikesReported,
)
from sardinetrack.turns.origin_lookup import OriginLookup
from sardinetrack.turns.origin_messages import (
    OriginsFromEntry,
)
from sardinetrack.turns.side_connection import SideConnection
from sardinetrack.turns.side_state import SideState
from sardinetrack.views.api import Neighbour
from sardinetrack.views.messages import FromFollower

_CONNECT_SECONDS: Final = 0.4
INITIAL_BACKOFF_SECONDS: Final = 0.1
"""Delay before an unreachable side is tried again; doubled each time.

After a power failure of the whole fleet an entry is up some ten milliseconds
before the sides; until it is connected it grants permits only for its own
fraction of each server.
"""
MAX_BACKOFF_SECONDS: Final = 0.4


class SideLink(Neighbour):
    """Keeps an entry connected to a side while its task runs."""

    def __init__(
        self,
        address: tuple[str, int],
        location: tuple[str, str],
        hello: Hello,
        state: SideState,
        log: EventLog,
    ) -> None:
        """Start disconnected.

        :param address: IP and port of the side.
        :param location: pool and failure domain of the side's engine.
        :param hello: sent first on every connection.
        :param state: updated by the side's messages.
        """
        self.connection: SideConnection | None = None
        self.pool = location[0]
        self.failure_domain = location[1]
        self.load = state.load
        self._address = address
        self._hello = hello
        self._state = state
        self._log = log

    @property
    def name(self) -> str:
        """IP address of the side, which serves as its name."""
        return self._address[0]

    @property
    def live(self) -> bool:
        """Whether the side is connected and sends its load reports."""
        return self.connection is not None and self.connection.live

    def send_message(
        self,
        message: FromFollower
        | StrikesReported
        | PartsReported
        | ServerStarted
        | OriginsFromEntry,
    ) -> None:
        """Send the side a message if it is connected."""
        if self.connection is not None:
            self.connection.send(message)

    def find_origin(self, request_id: str, lookup: OriginLookup) -> None:
        """Ask the side what began a stream."""
        if self.connection is None:
            lookup.lost()
        else:
            self.connection.find_origin(request_id, lookup)

    def update_start(self, start: ServerStart, cold: ColdEstimate) -> None:
        """Apply the start that the instance list shows for the server."""
        state = self._state
        known = state.start
        if known is not None and start.older_than(known):
            return
        changed = known is None or cold != state.cold
        state.start = start
        state.cold = cold
        if known is not None and start.supersedes(known):
            state.load.reset()
            changed = True
        if changed:
            self.send_message(state.start_message(start))

    async def run(self) -> None:
        """Connect and reconnect until cancelled, also after an error."""
        await keep_running(self._reconnect, self._log, 'link to a side')

    async def _reconnect(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        try:
            while True:
                connected = await self._stay_connected()
                grown = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
                backoff_seconds = (
                    INITIAL_BACKOFF_SECONDS if connected else grown
                )
                await asyncio.sleep(backoff_seconds)
        finally:
            if self.connection is not None:
                self.connection.abort()
                self.connection = None

    async def _stay_connected(self) -> bool:
        """Connect, and wait until the connection is lost.

        :return: whether there was a connection.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                _, new_connection = await loop.create_connection(
                    lambda: SideConnection(self._hello, self._state, self.name),
                    *self._address,
                )
        except OSError:
            # Only the loss of a connection is logged. As long as the side is
            # unreachable, this entry itself admits requests to the server.
            return False
        self.connection = new_connection
        self._log.write(Event.SIDE_BACK, side=self.name)
        await new_connection.wait_disconnected()
        new_connection.abort()
        new_connection.handle_disconnected()
        self.connection = None
        self.load.update(0, self.load.rate_tokens)
        self._log.write(Event.SIDE_LOST, side=self.name)
        return True
