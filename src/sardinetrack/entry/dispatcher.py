"""The one owner of the entry's routing decisions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import anyio

from sardinetrack.entry.log import (
    log_dispatch,
    log_end,
    log_held,
    log_reject,
)
from sardinetrack.entry.metrics import EntryMetrics
from sardinetrack.entry.ticket import Ticket
from sardinetrack.messages.api import Bids, Decline, ServiceReport, Strike
from sardinetrack.routing.api import (
    AttemptEnd,
    Dispatch,
    EntryEffect,
    Held,
    Reject,
    Routing,
    SendToEntries,
    SendToSide,
    Work,
)

Effects = Sequence[EntryEffect]


class Outbox(ABC):
    """Where messages of the decisions go; posting never blocks."""

    @abstractmethod
    def backend_server(self, side: str) -> str:
        """Name the backend server of a linked side, for the log."""

    @abstractmethod
    def to_side(self, side: str, message: Bids | Decline) -> None:
        """Post to the link of a side; dropped when it is down."""

    @abstractmethod
    def to_entries(self, message: ServiceReport | Strike) -> None:
        """Post to the links of all other entries."""


class Dispatcher:
    """Feeds events to the routing decisions and carries out their effects.

    All methods are plain functions, called on the event loop. Nothing is
    awaited between a change of the decisions' state and its effects, so no
    other task can see one without the other, and messages leave in the order
    of the decisions. Effects only post to streams; none calls back in.
    """

    def __init__(
        self,
        routing: Routing,
        outbox: Outbox,
        metrics: EntryMetrics,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Own the decisions.

        :param clock: monotonic seconds.
        """
        self.routing = routing
        self.clock = clock
        self._outbox = outbox
        self._metrics = metrics
        self._tickets: dict[str, Ticket] = {}

    def open_requests(self) -> int:
        """Count the requests that wait or run."""
        return len(self._tickets)

    def tickets(self) -> tuple[Ticket, ...]:
        """List the requests that wait or run."""
        return tuple(self._tickets.values())

    @contextmanager
    def submitted(self, work: Work) -> Iterator[Ticket]:
        """Hand in a request; on leaving it is forgotten.

        :param work: the request; its id is unique at this entry.
        :return: the ticket that receives the decisions about it.
        """
        ticket = Ticket(work)
        self._tickets[work.request_id] = ticket
        try:
            self.carry_out(self.routing.submit(self.clock(), work))
            yield ticket
        finally:
            self._forget(ticket)

    def ended(
        self,
        dispatch: Dispatch,
        end: AttemptEnd,
        *,
        cost: float = 0,
        answered: bool = False,
    ) -> None:
        """Settle an attempt; a new decision may go to the ticket."""
        ticket = self._tickets.get(dispatch.request_id)
        if ticket is not None:
            ticket.settled(dispatch)
            self._metrics.ended(ticket.work.pool, end, cost)
        server = self._outbox.backend_server(dispatch.side)
        log_end(dispatch, end, server, cost)
        self.carry_out(
            self.routing.ended(
                self.clock(),
                dispatch.attempt_id,
                end,
                cost=cost,
                answered=answered,
            ),
        )

    def progress(self, dispatch: Dispatch, cost: float) -> None:
        """True up the charge of a running attempt."""
        now = self.clock()
        self.carry_out(self.routing.progress(now, dispatch.attempt_id, cost))

    def tick(self) -> None:
        """Expire deadlines; send bids and reports that are due."""
        self.carry_out(self.routing.tick(self.clock()))

    def carry_out(self, effects: Effects) -> None:
        """Carry out effects at once and in order."""
        pending = deque(effects)
        while pending:
            pending.extend(self._one(pending.popleft()))

    def _one(self, effect: EntryEffect) -> Effects:
        match effect:
            case Dispatch():
                return self._dispatch(effect)
            case Reject():
                return self._reject(effect)
            case SendToSide():
                self._outbox.to_side(effect.side, effect.message)
            case SendToEntries():
                self._outbox.to_entries(effect.message)
            case Held():
                self._held(effect)
        return ()

    def _dispatch(self, dispatch: Dispatch) -> Effects:
        ticket = self._tickets.get(dispatch.request_id)
        if ticket is None:
            return self.routing.ended(
                self.clock(),
                dispatch.attempt_id,
                AttemptEnd.ABANDONED,
                cost=0,
                answered=False,
            )
        server = self._outbox.backend_server(dispatch.side)
        log_dispatch(ticket, dispatch, server)
        ticket.decide(dispatch)
        return ()

    def _reject(self, reject: Reject) -> Effects:
        ticket = self._tickets.get(reject.request_id)
        if ticket is None:
            return ()
        if reject.strike:
            return self.routing.answer(self.clock(), reject)
        log_reject(ticket, reject)
        ticket.decide(reject)
        return ()

    def _held(self, held: Held) -> None:
        ticket = self._tickets.get(held.request_id)
        if ticket is None:
            return
        log_held(ticket, held)
        self._metrics.held(ticket.work.pool, held.reason)

    def _forget(self, ticket: Ticket) -> None:
        # A dispatch that was decided but never settled would hold its slot
        # and charge for ever: its task was cancelled by a vanished caller.
        for dispatch in ticket.unsettled():
            self.ended(dispatch, AttemptEnd.ABANDONED)
        request_id = ticket.work.request_id
        self._tickets.pop(request_id, None)
        if not ticket.over:
            self.carry_out(self.routing.cancel(self.clock(), request_id))
        ticket.close()
