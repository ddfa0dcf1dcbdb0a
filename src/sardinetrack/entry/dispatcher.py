"""The single owner of the routing policy of an entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import anyio

from sardinetrack.entry.decision_log import (
    log_dispatch,
    log_end,
    log_reject,
    log_wait,
)
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.pending_request import PendingRequest
from sardinetrack.messages.api import Bids, Decline, ServiceReport, Strike
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    EntryEffect,
    Reject,
    RoutedRequest,
    RoutingPolicy,
    SendToEntries,
    SendToSide,
    WaitNotice,
)

Effects = Sequence[EntryEffect]


class Outbox(ABC):
    """Sends the messages of the routing policy; posting never blocks."""

    @abstractmethod
    def backend_server(self, side: str) -> str:
        """Return the name of a linked side's backend server, for the log."""

    @abstractmethod
    def to_side(self, side: str, message: Bids | Decline) -> None:
        """Post to the link of a side; dropped when the link is down."""

    @abstractmethod
    def to_entries(self, message: ServiceReport | Strike) -> None:
        """Post to the links of all other entries."""


class Dispatcher:
    """Passes events to the routing policy and applies the resulting effects.

    All methods are plain functions, called on the event loop. Nothing is
    awaited between a change of the policy's state and its effects, so no other
    task can observe one without the other, and messages are sent in the order
    of the decisions. Effects only post to streams; none of them calls the
    dispatcher.
    """

    def __init__(
        self,
        routing: RoutingPolicy,
        outbox: Outbox,
        metrics: EntryMetrics,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Set the policy and the receivers of its effects.

        :param routing: the routing policy of this entry.
        :param outbox: sends messages to peers.
        :param metrics: counts the decisions.
        :param clock: monotonic seconds.
        """
        self.routing = routing
        self.clock = clock
        self._outbox = outbox
        self._metrics = metrics
        self._pending: dict[str, PendingRequest] = {}

    def open_requests(self) -> int:
        """Count the requests that wait or run."""
        return len(self._pending)

    def pending_requests(self) -> tuple[PendingRequest, ...]:
        """Return the requests that wait or run."""
        return tuple(self._pending.values())

    @contextmanager
    def submitted(self, work: RoutedRequest) -> Iterator[PendingRequest]:
        """Submit a request to the routing policy while the context is open.

        :param work: the request; its id is unique at this entry.
        :return: receives the decisions about the request.
        """
        pending = PendingRequest(work)
        self._pending[work.request_id] = pending
        try:
            self.apply_effects(self.routing.submit(self.clock(), work))
            yield pending
        finally:
            self._forget(pending)

    def attempt_ended(
        self,
        dispatch: Dispatch,
        end: AttemptOutcome,
        *,
        cost: float = 0,
        answered: bool = False,
    ) -> None:
        """Report the end of an attempt; a new decision may follow."""
        pending = self._pending.get(dispatch.request_id)
        if pending is not None:
            pending.close_attempt(dispatch)
            self._metrics.count_attempt(pending.work.pool, end, cost)
        server = self._outbox.backend_server(dispatch.side)
        log_end(dispatch, end, server, cost)
        self.apply_effects(
            self.routing.settle_attempt(
                self.clock(),
                dispatch.attempt_id,
                end,
                cost=cost,
                answered=answered,
            ),
        )

    def attempt_progress(self, dispatch: Dispatch, cost: float) -> None:
        """Update the charge of a running attempt to its cost so far."""
        now = self.clock()
        self.apply_effects(
            self.routing.adjust_charge(now, dispatch.attempt_id, cost)
        )

    def tick(self) -> None:
        """Expire deadlines; send bids and reports that are due."""
        self.apply_effects(self.routing.tick(self.clock()))

    def apply_effects(self, effects: Effects) -> None:
        """Apply effects immediately and in order."""
        pending = deque(effects)
        while pending:
            pending.extend(self._apply(pending.popleft()))

    def _apply(self, effect: EntryEffect) -> Effects:
        match effect:
            case Dispatch():
                return self._dispatch(effect)
            case Reject():
                return self._reject(effect)
            case SendToSide():
                self._outbox.to_side(effect.side, effect.message)
            case SendToEntries():
                self._outbox.to_entries(effect.message)
            case WaitNotice():
                self._report_wait(effect)
        return ()

    def _dispatch(self, dispatch: Dispatch) -> Effects:
        pending = self._pending.get(dispatch.request_id)
        if pending is None:
            return self.routing.settle_attempt(
                self.clock(),
                dispatch.attempt_id,
                AttemptOutcome.ABANDONED,
                cost=0,
                answered=False,
            )
        server = self._outbox.backend_server(dispatch.side)
        log_dispatch(pending, dispatch, server)
        pending.deliver(dispatch)
        return ()

    def _reject(self, reject: Reject) -> Effects:
        pending = self._pending.get(reject.request_id)
        if pending is None:
            return ()
        if reject.strike:
            return self.routing.deliver_rejection(self.clock(), reject)
        log_reject(pending, reject)
        pending.deliver(reject)
        return ()

    def _report_wait(self, notice: WaitNotice) -> None:
        pending = self._pending.get(notice.request_id)
        if pending is None:
            return
        log_wait(pending, notice)
        self._metrics.count_wait(pending.work.pool, notice.reason)

    def _forget(self, pending: PendingRequest) -> None:
        # A dispatch whose attempt is not reported as ended, because the
        # caller's disconnect cancelled its task, would occupy its slot and be
        # charged indefinitely.
        for dispatch in pending.open_attempts():
            self.attempt_ended(dispatch, AttemptOutcome.ABANDONED)
        request_id = pending.work.request_id
        self._pending.pop(request_id, None)
        if not pending.finished:
            self.apply_effects(self.routing.cancel(self.clock(), request_id))
        pending.close()
