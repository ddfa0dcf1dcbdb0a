"""The side of one model engine: it grants permits to the entries."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

from sardinetrack.admission.request import (
    AdmissionDecision,
    AdmissionRequest,
    Granted,
)
from sardinetrack.logs.events import Event, EventLog
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.crash_records import CrashRecords
from sardinetrack.turns.driver import AdmissionDriver
from sardinetrack.turns.engine_monitor import (
    EngineListener,
    EngineMonitor,
    EngineSource,
)
from sardinetrack.turns.engine_start import EngineStarts, StartUpdate
from sardinetrack.turns.entry_connection import EntryConnection, EntryListener
from sardinetrack.turns.load_report import (
    LoadReporter,
    report_regularly,
)
from sardinetrack.turns.messages import (
    Hello,
    PermitGranted,
    PermitRefused,
    PermitRequest,
    ServerStarted,
)
from sardinetrack.turns.refused import RefusedRequests
from sardinetrack.turns.stream_records import StreamRecords
from sardinetrack.turns.usage_log import UsageLog
from sardinetrack.views.watcher import Watcher

COUNT_ENTRIES_SECONDS: Final = 2.0
"""After its start a side reports no number of entries for so long.

A side that is back after a power failure sees the first entry before the
others. Told that it is alone, that entry would send a cold engine all that the
engine handles, and so would each of the next ones.
"""
_DIGITS: Final = 3


class SideServer(AdmissionDriver, EngineListener):
    """Owns the admission to one engine, and the entries' connections."""

    def __init__(
        self,
        address: tuple[str, int],
        watcher: Watcher,
        log: EventLog,
        engine: EngineSource | None = None,
    ) -> None:
        """Start without entries; listens once it is entered.

        :param address: where entries connect.
        :param watcher: watches the store for entries that subscribe.
        :param engine: polled for its reports; ``None`` to poll nothing.
        """
        super().__init__()
        self.watcher = watcher
        self._listener = EntryListener(self, address, log)
        self._log = log
        self.entry_connections: set[EntryConnection] = set()
        self._owners: dict[str, EntryConnection] = {}
        self.engine_starts = EngineStarts()
        self.usage = UsageLog(log)
        self.decisions: Counter[str] = Counter()
        self._requests: dict[str, PermitRequest] = {}
        self._refused = RefusedRequests()
        self._load = LoadReporter(self.admission, self.engine_starts)
        self.crashes = CrashRecords()
        self.streams = StreamRecords(confirms=engine is not None)
        self.monitor = EngineMonitor(engine, self, log) if engine else None
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Listen for entries and start to send load reports."""
        await self._stack.enter_async_context(self._listener)
        self._stack.enter_context(self.watcher)
        loop = asyncio.get_running_loop()
        self._report_task = loop.create_task(
            report_regularly(self._report_load, self._log)
        )
        self._stack.callback(self._report_task.cancel)
        if self.monitor is not None:
            await self._stack.enter_async_context(self.monitor)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and disconnect the entries."""
        for entry in list(self.entry_connections):
            entry.abort()
        await self._stack.aclose()

    @property
    def port(self) -> int:
        """The port that entries connect to."""
        return self._listener.port

    @property
    def has_running_requests(self) -> bool:
        """Whether requests with a permit run at the engine."""
        return self.admission.running > 0

    @property
    def is_spacing(self) -> bool:
        """Whether prompts may have to wait for the spacing."""
        return self.admission.is_spacing(loop_now())

    @property
    def entries(self) -> int:
        """Number of connected entries."""
        return len(self.entry_connections)

    @property
    def reported_entries(self) -> int:
        """Number of entries to report; 0 while not all may be connected."""
        listened_seconds = loop_now() - self._listener.opened_seconds
        return self.entries if listened_seconds > COUNT_ENTRIES_SECONDS else 0

    def add_entry(self, entry: EntryConnection) -> None:
        """Add a connection."""
        self.entry_connections.add(entry)

    def handle_hello(self, entry: EntryConnection, hello: Hello) -> None:
        """Set the engine's size, and send the entry all records."""
        self.admission.resize(hello.slots, hello.memory_tokens)
        self.crashes.connected(entry)
        self.streams.connected(entry)
        self._log.write(
            Event.ENTRY_CONNECTED,
            entry=hello.entry,
            slots=hello.slots,
            memory_tokens=hello.memory_tokens,
        )

    def handle_start(
        self,
        sender: EntryConnection,
        message: ServerStarted,
    ) -> None:
        """Apply an entry's report of the engine's start.

        The entries' views of the store differ by seconds. An entry with a
        stale view is sent the current start. On a restart all permits are
        released: counting those of the former start would leave an idle
        engine without work until all of these requests have ended.
        """
        now = loop_now()
        outcome = self.engine_starts.update(now, message)
        if outcome is StartUpdate.BEHIND:
            sender.send(self.engine_starts.message(now))
            return
        # Before waiting requests are granted: the new start may be cold.
        self.set_cold_period(self.engine_starts.cold)
        if outcome is StartUpdate.RENEWED:
            self._handle_restart(sender, message)

    def _handle_restart(
        self,
        sender: EntryConnection,
        message: ServerStarted,
    ) -> None:
        self._log.write(
            Event.SERVER_RESTARTED,
            server=message.instance,
            started_milliseconds=message.started_milliseconds,
            revision=message.revision,
            told_by=sender.entry,
            running=self.admission.running,
            waiting=self.admission.waiting,
            starts_in_a_row=self.engine_starts.consecutive_cold_starts,
            granted_last_second=self.engine_starts.permits_last_second,
            cold_seconds=round(
                self.engine_starts.cold.left_seconds(loop_now()),
                _DIGITS,
            ),
        )
        self._load.new_prefixes.clear()
        for entry in self.entry_connections - {sender}:
            entry.send(message)
        self.reset()

    def remove_entry(self, entry: EntryConnection) -> None:
        """Release the permits of a disconnected entry.

        Its requests may still run at the engine, but their ends will never
        be reported.
        """
        self.entry_connections.discard(entry)
        self.watcher.leave(entry)
        self._log.write(
            Event.ENTRY_LOST,
            entry=entry.entry,
            requests=len(entry.permit_ids),
        )
        for permit_id in entry.permit_ids:
            self.handle_end(permit_id)

    def handle_request(
        self, entry: EntryConnection, message: PermitRequest
    ) -> None:
        """Handle an entry's request for a permit."""
        if message.is_trial and not self.trials.begin(message.permit_id):
            entry.permit_ids.discard(message.permit_id)
            entry.send(
                PermitRefused(message.permit_id, 0, 0, 0, trial_runs=True)
            )
            return
        self._owners[message.permit_id] = entry
        now = loop_now()
        self._requests[message.permit_id] = message
        self.admission.update_served_tokens(
            now, entry.entry, message.other_workspaces
        )
        # What another side reported is subtracted from the due time already.
        returned_seconds = self._returned_seconds(now, message)
        more_seconds = max(0, returned_seconds - message.since_refusal_seconds)
        request = AdmissionRequest(
            message.permit_id,
            message.workspace,
            message.prefill_tokens,
            message.kv_cache_tokens,
            message.output_tokens,
            message.max_wait_seconds,
            message.priority,
            entry.entry,
            message.served_tokens,
            message.shared_prefix,
            message.first_event_due_seconds - more_seconds,
            message.left_seconds,
            event_gap_seconds=message.gap_objective_seconds,
            cached_tokens=message.cached_tokens,
            short_seconds=message.short_seconds,
        )
        self.request(request)

    def _returned_seconds(self, now: float, message: PermitRequest) -> float:
        if not message.fingerprint:
            return 0
        return self._refused.waited_seconds(now, message.fingerprint)

    def engine_polled(self) -> None:
        """Note which streams have begun before a poll."""
        self.streams.engine_polled()

    def start_reported(self, started_milliseconds: int | None) -> None:
        """Confirm the streams that the start has begun."""
        start_hash = self.engine_starts.hash_of(started_milliseconds)
        self.streams.engine_reported(start_hash)

    def handle_end(self, permit_id: str, *, is_complete: bool = False) -> None:
        """Release a permit, or remove a request that still waits for one.

        :param is_complete: whether the caller has received the complete
            response.
        """
        self._owners.pop(permit_id, None)
        self._requests.pop(permit_id, None)
        self.release_permit(permit_id, is_complete=is_complete)

    def deliver(self, decision: AdmissionDecision) -> None:
        """Send a decision to the entry that requested the permit."""
        owner = self._owners.get(decision.permit_id)
        if owner is None:
            self.release_permit(decision.permit_id)
        else:
            self._send_decision(owner, decision)

    def _send_decision(
        self,
        owner: EntryConnection,
        decision: AdmissionDecision,
    ) -> None:
        message = self._requests.pop(decision.permit_id)
        self.decisions[type(decision).__name__.lower()] += 1
        if isinstance(decision, Granted):
            self.engine_starts.record_permit(loop_now())
            if message.shared_prefix:
                self._load.new_prefixes.add(message.shared_prefix)
            owner.send(PermitGranted(decision.permit_id))
            return
        self._owners.pop(decision.permit_id, None)
        owner.permit_ids.discard(decision.permit_id)
        now = loop_now()
        returned_seconds = self._returned_seconds(now, message)
        if message.fingerprint:
            requested_seconds = now - decision.waited_seconds
            self._refused.record(requested_seconds, message.fingerprint)
        owner.send(
            PermitRefused(
                decision.permit_id,
                round(decision.retry_after_seconds, _DIGITS),
                round(decision.waited_seconds, _DIGITS),
                decision.ahead_tokens,
                round(returned_seconds, _DIGITS),
                service_fraction=round(decision.service_fraction, _DIGITS),
            ),
        )
        queued = self.admission.queued_workspace(now, message.workspace)
        self._log.write(
            Event.REFUSED,
            request=decision.permit_id,
            entry=owner.entry,
            workspace=message.workspace,
            service_tokens=int(queued.service_tokens),
            lifted_tokens=int(queued.lifted_tokens),
            own_waiting=queued.waiting,
            waited_seconds=round(decision.waited_seconds, _DIGITS),
            returned_seconds=round(returned_seconds, _DIGITS),
            ahead_tokens=decision.ahead_tokens,
            rate_tokens=int(self.admission.rate_tokens),
            running=self.admission.running,
            waiting=self.admission.waiting,
        )

    def _report_load(self) -> None:
        now = loop_now()
        self.usage.log_if_due(now, self.admission)
        report = self._load.next_report(now, self.reported_entries)
        if report is not None:
            for entry in self.entry_connections:
                entry.send(report)
