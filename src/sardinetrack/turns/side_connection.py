"""The connection of an entry to one side, and what is pending on it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from sardinetrack.fairness.service_updates import ServiceUpdates
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.servers import BackendServer
from sardinetrack.topology.stream_origin import StreamOrigin
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.line_protocol import LineProtocol
from sardinetrack.turns.messages import (
    DECODE_FROM_SIDE,
    MAX_SIDE_LINE_BYTES,
    Begun,
    Ended,
    Hello,
    PartsReported,
    PermitGranted,
    PermitRefused,
    PermitRequest,
    ServerStarted,
    SideReport,
    StrikesReported,
    decode_start,
)
from sardinetrack.turns.origin_lookup import OriginLookup, PendingLookups
from sardinetrack.turns.origin_messages import (
    FindOrigin,
    OriginFound,
    OriginsConfirmed,
    OriginsFromSide,
    VersionsListed,
)
from sardinetrack.turns.side_state import OriginListener, SideState
from sardinetrack.views.messages import FromWatcher

SIDE_TIMEOUT_SECONDS: Final = 1.4
"""A side that misses three load reports counts as disconnected."""

PermitResponse = PermitGranted | PermitRefused | None
"""``None``: the side disconnected or timed out before it responded."""


class SideConnection(LineProtocol):
    """The connection to a side, and the permit requests pending on it."""

    max_line_bytes = MAX_SIDE_LINE_BYTES

    def __init__(self, hello: Hello, state: SideState, ip: str) -> None:
        """Start without a transport.

        :param hello: sent first.
        :param state: updated by the side's messages.
        :param ip: address of the side and its server.
        """
        super().__init__()
        self.entries = 0
        """Entries connected to the side by its last report; 0 if unknown."""
        self.received_seconds = float(0)
        """When the last message arrived, by the clock of the event loop."""
        self.closed = asyncio.Event()
        self.service_updates = ServiceUpdates()
        self._hello = hello
        self._ip = ip
        self._state = state
        self._pending: dict[str, asyncio.Future[PermitResponse]] = {}
        self._unconfirmed: dict[str, OriginListener] = {}
        self._lookups = PendingLookups()
        self.keeps_origins = False
        """Whether the side can be asked for the origins of streams."""
        self.keeps_parts = False
        """Whether it can be sent reports about the parts of prompts."""

    @property
    def live(self) -> bool:
        """Whether the side is connected and sends its load reports."""
        silent = loop_now() - self.received_seconds
        return not self.closed.is_set() and silent < SIDE_TIMEOUT_SECONDS

    async def wait_disconnected(self) -> None:
        """Wait until the connection ends or the side times out."""
        while self.live:
            left_seconds = (
                self.received_seconds + SIDE_TIMEOUT_SECONDS - loop_now()
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0, left_seconds)):
                    await self.closed.wait()

    def handle_connected(self) -> None:
        """Send the entry's name and the listed start of the server."""
        self.received_seconds = loop_now()
        self.send(self._hello)
        if self._state.start is not None:
            self.send(self._state.start_message(self._state.start))

    def handle_disconnected(self) -> None:
        """Resolve every pending request with ``None``."""
        self.closed.set()
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_result(None)
        self._pending.clear()
        self._lookups.give_up()
        self._state.view_receiver.lost(self._ip)

    def handle_line(self, line: bytes) -> None:
        """Apply a message of the side."""
        message = DECODE_FROM_SIDE(line)
        self.received_seconds = loop_now()
        match message:
            case SideReport():
                self._apply_report(message)
            case PermitGranted() | PermitRefused():
                self._resolve(message)
            case ServerStarted():
                self._state.restart_listener.started(decode_start(message))
            case StrikesReported():
                self._state.strike_listener.add_strikes(
                    loop_now(), message.strikes
                )
            case _:
                self._handle_other_message(message)

    def _handle_other_message(
        self, message: PartsReported | OriginsFromSide | FromWatcher
    ) -> None:
        match message:
            case PartsReported():
                self._apply_part_reports(message)
            case OriginFound():
                self._resolve_lookup(message)
            case OriginsConfirmed():
                self._confirm(message.permit_ids)
            case VersionsListed():
                self._merge_versions(message)
            case _:
                self._state.view_receiver.take(self._ip, message)

    def _apply_report(self, message: SideReport) -> None:
        self.entries = message.entries
        self._state.apply_report(self.received_seconds, self._ip, message)

    def _resolve_lookup(self, message: OriginFound) -> None:
        origin = None
        if message.pool:
            origin = StreamOrigin(message.pool, message.version)
        self._lookups.resolve(message.request_id, origin)

    def _confirm(self, permit_ids: Iterable[str]) -> None:
        for permit_id in permit_ids:
            listener = self._unconfirmed.pop(permit_id, None)
            if listener is not None:
                listener.confirmed(side_knows=True)

    def _merge_versions(self, message: VersionsListed) -> None:
        """Apply a side's versions, and tell it those that it lacks.

        A side that has restarted knows none.
        """
        now, versions = boot_clock(), self._state.versions
        self.keeps_origins = True
        versions.merge(now, message.ages)
        known = versions.ages(now)
        if versions.differ(now) and len(known) > len(message.ages):
            self.send(VersionsListed(known))

    def _apply_part_reports(self, message: PartsReported) -> None:
        """Apply a side's reports, and send it those that it lacks.

        A side that has restarted has none.
        """
        listener = self._state.part_listener
        self.keeps_parts = True
        now = self.received_seconds
        listener.parts_reported(now, message.reports)
        if message.is_complete:
            lacking = listener.reports_beyond(now, message.reports)
            if lacking:
                self.send(PartsReported(tuple(lacking)))

    def find_origin(self, request_id: str, lookup: OriginLookup) -> None:
        """Ask the side what began a stream."""
        self._lookups.add(request_id, lookup)
        self.send(FindOrigin(request_id))

    def _resolve(self, message: PermitGranted | PermitRefused) -> None:
        waiting = self._pending.pop(message.permit_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    async def request_permit(
        self,
        ask: PermitRequest,
        timeout_seconds: float,
    ) -> PermitResponse:
        """Request a permit and wait for the response.

        :return: ``None`` when the side disconnects or times out.
        """
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[PermitResponse] = loop.create_future()
        self._pending[ask.permit_id] = waiting
        self.send(ask)
        timer = loop.call_later(timeout_seconds, _give_up, waiting)
        try:
            response = await waiting
        except asyncio.CancelledError:
            self.send(Ended(ask.permit_id))
            raise
        finally:
            timer.cancel()
            self._pending.pop(ask.permit_id, None)
        if response is None:
            self.send(Ended(ask.permit_id))
        return response

    def begun(
        self, permit_id: str, server: BackendServer, listener: OriginListener
    ) -> None:
        """Report that the first event of the response has arrived.

        :param server: that sent it.
        :param listener: told once the start of the server is certain.
        """
        if server.started_milliseconds is None:
            self.send(Begun(permit_id, server.pool, server.version))
            listener.confirmed(side_knows=self.keeps_origins and self.live)
            return
        start_hash = server.start.start_hash
        self.send(Begun(permit_id, server.pool, server.version, start_hash))
        self._unconfirmed[permit_id] = listener

    def ended(self, permit_id: str, *, is_complete: bool = False) -> None:
        """Release the permit.

        :param is_complete: whether the caller has received the complete
            response.
        """
        self._unconfirmed.pop(permit_id, None)
        self.send(Ended(permit_id, is_complete))


def _give_up(waiting: asyncio.Future[PermitResponse]) -> None:
    if not waiting.done():
        waiting.set_result(None)
