"""What an entry knows of one server by the messages of its side."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sardinetrack.messages.api import Strike
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.quarantine.api import PartReport
from sardinetrack.topology.cold import ColdEstimate
from sardinetrack.topology.freshness import boot_clock
from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.starts import UNKNOWN_START_HASH, ServerStart
from sardinetrack.turns.messages import (
    PartsReported,
    ServerStarted,
    SideReport,
    decode_pace,
    encode_start,
)
from sardinetrack.views.api import ViewReceiver


class StrikeListener(ABC):
    """Receives strikes that other entries have recorded."""

    @abstractmethod
    def add_strikes(self, now: float, strikes: Iterable[Strike]) -> None:
        """Add requests that were running when their servers crashed."""


class PartListener(ABC):
    """Receives what other processes know of parts of prompts."""

    @abstractmethod
    def parts_reported(
        self, now: float, reports: Collection[PartReport]
    ) -> None:
        """Apply reports."""

    @abstractmethod
    def reports_beyond(
        self, now: float, reports: Collection[PartReport]
    ) -> Collection[PartReport]:
        """Return what the sender of a complete list of reports lacks."""


class PartBroadcaster(ABC):
    """Sends what this process knows of parts of prompts to all entries."""

    @abstractmethod
    def broadcast_parts(self, message: PartsReported) -> None:
        """Send reports."""


class RestartListener(ABC):
    """Receives a side's report that its server has restarted."""

    @abstractmethod
    def started(self, start: ServerStart) -> None:
        """Apply the start that the side reports."""


class OriginListener(ABC):
    """Learns that the software which began a stream is certain."""

    @abstractmethod
    def confirmed(self, *, side_knows: bool) -> None:
        """Handle that the server is the start for which it was taken.

        :param side_knows: the side of the server remembers the stream.
        """


@dataclass(slots=True)
class SideState:
    """State of one server that the messages of its side update."""

    load: EstimatedLoad
    prefix_index: PrefixCacheIndex
    view_receiver: ViewReceiver
    strike_listener: StrikeListener
    part_listener: PartListener
    restart_listener: RestartListener
    versions: PoolVersions
    """Software versions that served the pools lately."""
    start: ServerStart | None = None
    """The server's start by the instance list; ``None`` until it is listed."""
    cold: ColdEstimate = ColdEstimate()
    """How long that cold start lasts."""

    def start_message(self, start: ServerStart) -> ServerStarted:
        """Encode the listed start of the server for its side."""
        return encode_start(start, boot_clock(), self.cold)

    def apply_report(self, now: float, ip: str, report: SideReport) -> None:
        """Apply a load report.

        :param now: when it arrived, by the clock of the event loop.
        :param ip: address of the server.
        """
        if not self._is_current_start(report.start_hash):
            return
        load = self.load
        load.update(report.wait_seconds, report.rate_tokens)
        load.pace = decode_pace(report)
        load.streams = report.streams
        load.recent_pause_seconds = report.recent_pause_seconds
        self.prefix_index.record(now, ip, report.prefixes)
        self.prefix_index.set_retention(ip, report.retention_seconds)

    def _is_current_start(self, start_hash: int) -> bool:
        """Whether a load report is about the listed start.

        One that was in transit while the server restarted reports load and
        cached prefixes of the former start.
        """
        if self.start is None or start_hash == UNKNOWN_START_HASH:
            return True
        return self.start.start_hash == start_hash
