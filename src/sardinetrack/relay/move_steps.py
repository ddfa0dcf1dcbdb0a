"""Performs the steps of moving one stream to another engine."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from contextlib import ExitStack
from types import MappingProxyType, TracebackType
from typing import Final, Self

from sardinetrack.errors.api import RequestError
from sardinetrack.logs.events import Event
from sardinetrack.placement.choice import Candidate
from sardinetrack.relay.api import KvMoveReply, KvMoveResult, KvSource
from sardinetrack.relay.attempt import SendOutcome, ServerAttempt
from sardinetrack.relay.kv_calls import HeldCopies, KvCalls
from sardinetrack.relay.move_reason import MoveReason
from sardinetrack.relay.move_tools import MoveTools
from sardinetrack.relay.permit import PermitRefusedError, TrialRunsError
from sardinetrack.relay.request_plan import (
    check_parts,
    check_still_allowed,
)
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.relay.stream_end import (
    StreamEndedError,
    UntilStreamEnds,
    ends_within,
    stream_end,
)
from sardinetrack.relay.stream_move import (
    PLACE_AGAIN_SECONDS,
    MoveEvent,
    MoveOutcome,
    MoveStep,
    StreamMove,
    choose_destination,
)
from sardinetrack.relay.trace import Placement

STREAM_END_SECONDS: Final = 0.4
"""Longest wait for the end of a stream whose run has stopped.

Two engines may work on one stream for no longer than this, in case a run that
seems to have stopped still continues.
"""
WATCH_SECONDS: Final = 0.4
"""A run whose stop was not confirmed continues if events come for so long."""
_POLL_SECONDS: Final = 0.05
_ASK_AGAIN_SECONDS: Final = 0.1
SILENCE_SECONDS: Final = 2.4
"""A sound engine may send nothing for so long and go on."""
_RETENTION_FRACTION: Final = 0.8
"""Fraction of the time for which a copy is kept that the wait for the source's
stream may take, with a slow caller for example."""
_DIGITS: Final = 3
_Perform = Callable[[], Awaitable[MoveEvent]]
_COPY_EVENTS: Final[Mapping[KvMoveResult, MoveEvent]] = MappingProxyType(
    {
        KvMoveResult.COPIED: MoveEvent.COPIED,
        KvMoveResult.NO_RUN: MoveEvent.NO_RUN,
        KvMoveResult.NO_ROOM: MoveEvent.NO_ROOM,
        KvMoveResult.BUSY: MoveEvent.NO_COPY,
        KvMoveResult.PENDING: MoveEvent.NO_COPY,
        KvMoveResult.FAILED: MoveEvent.NO_COPY,
        KvMoveResult.NOT_SENT: MoveEvent.NO_COPY,
    }
)
_UNDECIDED: Final = frozenset((KvMoveResult.BUSY, KvMoveResult.PENDING))
_STOPPING: Final = frozenset(
    (
        MoveStep.STOP,
        MoveStep.DRAIN,
        MoveStep.DRAIN_BACK,
        MoveStep.STOP_AGAIN,
    )
)
"""Steps that the end of the stream doesn't interrupt: it is a part of them."""


class RunningMove:
    """One move; as a context it holds the copies, a permit and a move slot.

    Whatever ends the context, a cancellation included, releases them.
    """

    def __init__(
        self,
        tools: MoveTools,
        source: Placement,
        attempt: ServerAttempt,
        reason: MoveReason,
    ) -> None:
        """Prepare a move.

        :param source: where the stream runs, with the permit there.
        :param attempt: whose stream is moved.
        """
        self.machine = StreamMove()
        self.destination: Placement | None = None
        self._tools = tools
        self._source = source
        self._attempt = attempt
        self._reason = reason
        self._calls = KvCalls(tools.state.connections, tools.adapter)
        self._copies = HeldCopies(self._calls)
        self._slot = ExitStack()
        self._cause = ''
        self._last_event: int | None = None
        self._ended = False
        self._loop = asyncio.get_running_loop()
        self._began_seconds = self._loop.time()
        self._performers: Mapping[MoveStep, _Perform] = {
            MoveStep.PLACE: self._place,
            MoveStep.WAIT: self._wait,
            MoveStep.PLACE_AGAIN: self._place,
            MoveStep.COPY: self._copy,
            MoveStep.STOP: self._stop,
            MoveStep.DRAIN: self._drain,
            MoveStep.DRAIN_BACK: self._drain,
            MoveStep.WATCH: self._watch,
            MoveStep.STOP_AGAIN: self._stop_again,
        }

    async def __aenter__(self) -> Self:
        """Hold nothing yet."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release what is held."""
        revoked = isinstance(error, RequestError)
        self.machine.end(
            MoveOutcome.REVOKED if revoked else MoveOutcome.CANCELLED
        )
        await self._finish()

    @property
    def kv_source(self) -> KvSource:
        """The copy from which the request continues, or the kept memory."""
        return self._copies.newest

    @property
    def placement(self) -> Placement:
        """Where the request is to be sent next."""
        if self.destination is None or self.machine.step is MoveStep.SEND_BACK:
            server = self._source.candidate.server
            candidate = Candidate(server, float(0), float(0), 0)
            kept = Placement(candidate, self._source.permit)
            return kept.held(self._accepted)
        return self.destination

    async def stop_source(self) -> bool:
        """Take the steps until the source's attempt has ended.

        :return: whether the request is to be sent on.
        """
        machine = self.machine
        while machine.outcome is None and not machine.sends:
            machine.apply(await self._perform(machine.step))
        self._last_event = self._attempt.last_event
        if machine.sends:
            # Nothing is copied any more. A destination that doesn't respond
            # would hold the slot until the deadline.
            self._slot.close()
            if machine.step is MoveStep.SEND_BACK:
                self._release_destination()
            return True
        await self._finish()
        await asyncio.wait({self._attempt.done})
        return False

    async def sent(self, outcome: SendOutcome | None, cause: str) -> bool:
        """Go on after the request was sent.

        :param outcome: of that attempt; ``None`` if nothing was sent.
        :param cause: of a failure, for the log.
        :return: whether the attempt proved to have run nothing.
        """
        if self.machine.outcome is not None:
            return False
        not_run = outcome in {None, SendOutcome.NOT_RUN}
        if outcome is SendOutcome.DELIVERED:
            # The run had no events left.
            self._accepted()
            return False
        self._cause = cause
        self._release_destination()
        self.machine.apply(MoveEvent.NOT_RUN if not_run else MoveEvent.REJECTED)
        if not self.machine.sends:
            await self._finish()
        return not_run

    def _accepted(self) -> None:
        """Handle the first event of the continued stream: the copy is used."""
        if not self.machine.sends:
            return
        self.machine.apply(MoveEvent.ACCEPTED)
        self._copies.use()
        if self.machine.outcome is MoveOutcome.MOVED:
            self._source.permit.release(complete=False)
        self._end()

    async def _perform(self, step: MoveStep) -> MoveEvent:
        perform = self._performers[step]
        if step in _STOPPING:
            return await perform()
        try:
            async with UntilStreamEnds(self._attempt):
                event = await perform()
        except StreamEndedError:
            return stream_end(self._attempt)
        # Both connections of a source that crashes end at the same moment.
        ended = self._attempt.done.done()
        return stream_end(self._attempt) if ended else event

    async def _place(self) -> MoveEvent:
        tools, state = self._tools, self._tools.state
        slots = state.server_states.moves.slots
        await slots.acquire()
        self._slot.callback(slots.release)
        server = choose_destination(
            self._source.candidate.server,
            tools.destinations(self._loop.time(), self._reason),
            state.server_states.loads,
            tools.call.request_id,
        )
        if server is None:
            return self._not_permitted('no destination')
        try:
            placement = await tools.placer.place_continued(tools.plan, server)
        except (PermitRefusedError, TrialRunsError) as refusal:
            return self._not_permitted(str(refusal) or 'another trial runs')
        self.destination = placement.held(self._accepted)
        return MoveEvent.PERMITTED

    def _not_permitted(self, cause: str) -> MoveEvent:
        self._cause = cause
        self._slot.close()
        return MoveEvent.NOT_PERMITTED

    async def _wait(self) -> MoveEvent:
        await asyncio.sleep(PLACE_AGAIN_SECONDS)
        return MoveEvent.WAITED

    async def _copy(self) -> MoveEvent:
        reply = await self._ask(last=False)
        return _COPY_EVENTS[reply.result]

    async def _stop(self) -> MoveEvent:
        """Stop the run, unless it is known that it could not continue."""
        assert self.destination is not None  # noqa: S101
        tools = self._tools
        try:
            check_still_allowed(tools.state, tools.plan, tools.call)
            check_parts(tools.state, tools.plan, tools.call, is_trial=False)
            tools.state.check_available(self.destination.candidate.server)
        except (RequestError, ServerUnavailableError) as error:
            self._cause = str(error) or 'not available'
            return MoveEvent.NOT_ALLOWED
        with self._attempt.stopping() as replied:
            reply = await self._ask(last=True)
            replied.set_result(reply.result)
        return _COPY_EVENTS[reply.result]

    async def _stop_again(self) -> MoveEvent:
        """Ask for what a source has kept that closed the stream.

        A stream that ended otherwise, because another server took it over for
        example, is not sent on.
        """
        if not self._attempt.interrupted_by_server:
            return MoveEvent.NO_RUN
        if not self._attempt.is_continuable:
            return MoveEvent.UNNUMBERED
        due = self._loop.time() + SILENCE_SECONDS
        reply = await self._ask(last=True)
        while reply.result in _UNDECIDED and self._loop.time() < due:
            await asyncio.sleep(_ASK_AGAIN_SECONDS)
            reply = await self._ask(last=True)
        return _COPY_EVENTS[reply.result]

    async def _ask(self, *, last: bool) -> KvMoveReply:
        assert self.destination is not None  # noqa: S101
        source = self._source.candidate.server
        reply = await self._calls.copy(
            self._tools.call.sent_id,
            source,
            self.destination.candidate.server,
            last=last,
        )
        if reply.handle is not None:
            self._copies.add(KvSource(source, reply.handle))
        if reply.result is not KvMoveResult.COPIED:
            self._cause = reply.cause
        return reply

    async def _drain(self) -> MoveEvent:
        """Read the source's stream to its end.

        If the end doesn't come, what comes later is dropped, and the engine
        that continues repeats it.
        """
        retention_seconds = self._tools.plan.pool.copy_retention_seconds
        ended = await ends_within(
            self._attempt,
            self._tools.flow,
            STREAM_END_SECONDS,
            _RETENTION_FRACTION * retention_seconds,
        )
        if not ended:
            self._attempt.abandon()
        end = stream_end(self._attempt)
        if end is MoveEvent.STREAM_BROKEN and not self._attempt.is_continuable:
            return MoveEvent.UNNUMBERED
        return end

    async def _watch(self) -> MoveEvent:
        """Find out whether a run continues whose stop was not confirmed.

        An engine that was silent may send what it had made before it reads the
        call, so the stream continues only if it does for a while. A caller that
        doesn't read hides it.
        """
        self._slot.close()
        attempt, loop = self._attempt, self._loop
        retention_seconds = self._tools.plan.pool.copy_retention_seconds
        due = loop.time() + _RETENTION_FRACTION * retention_seconds
        continues_since = loop.time()
        while loop.time() < due:
            await asyncio.sleep(_POLL_SECONDS)
            silent_seconds = self._silent_seconds()
            if silent_seconds > SILENCE_SECONDS:
                return MoveEvent.STREAM_SILENT
            if attempt.last_data_seconds - continues_since >= WATCH_SECONDS:
                break
            if silent_seconds > WATCH_SECONDS or self._tools.flow.paused:
                continues_since = loop.time()
        return MoveEvent.STREAM_CONTINUES

    def _silent_seconds(self) -> float:
        flow = self._tools.flow
        if flow.paused:
            return 0
        since = max(self._attempt.last_data_seconds, flow.resumed_seconds)
        return self._loop.time() - since

    def _release_destination(self) -> None:
        if self.destination is not None:
            self.destination.permit.release(complete=False)

    async def _finish(self) -> None:
        """Release the permit at the destination, the copies and the slot."""
        if self._ended:
            return
        self._release_destination()
        outcome = self.machine.outcome
        try:
            if outcome is not None and outcome.frees_copies:
                await self._copies.free()
        finally:
            self._end()

    def _end(self) -> None:
        """Release the slot, and report the end."""
        if self._ended:
            return
        self._ended = True
        self._slot.close()
        outcome = self.machine.outcome
        assert outcome is not None  # noqa: S101
        destination = self.destination
        if self._last_event is None:
            self._last_event = self._attempt.last_event
        fields: dict[str, object] = {
            'request': self._tools.call.request_id,
            'from': self._source.candidate.server.instance,
            'to': destination and destination.candidate.server.instance,
            'from_version': self._source.candidate.server.version,
            'to_version': destination and destination.candidate.server.version,
            'reason': self._reason.value,
            'outcome': outcome.value,
            'cause': self._cause,
            'seconds': round(self._loop.time() - self._began_seconds, _DIGITS),
            'last_event': self._last_event,
            'copies_left': len(self._copies),
        }
        state = self._tools.state
        state.server_states.moves.outcomes[outcome.value] += 1
        state.log.write(Event.STREAM_MOVED, **fields)
