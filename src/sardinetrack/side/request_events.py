"""What the owner task does about orders and questions of entries."""

from __future__ import annotations

from sardinetrack.admission.api import Arrival, RefusalReason
from sardinetrack.messages.api import BidRow, Bids
from sardinetrack.messages.run import AttemptAnswer, Fate, RunOrder, RunResult
from sardinetrack.side.core import Effects, OwnerCore
from sardinetrack.side.events import Arrived, Asked, Left
from sardinetrack.side.live import LiveAttempt


class RequestEvents:
    """Translates the events of orders into calls of the decision object."""

    def __init__(self, core: OwnerCore) -> None:
        """Work on the owner's state."""
        self._core = core

    def arrived(self, now: float, event: Arrived) -> Effects:
        """Submit an order, then the bids that it carries.

        In this order, because the order may use a slot that the bids would
        otherwise hand to other waiting work.
        """
        order = event.order
        if self._core.live.get(order.attempt_id) is not None:
            self._refuse_second(event)
            return ()
        self._core.live.add(event)
        effects = self._core.admission.arrive(now, _arrival(order))
        return [*effects, *self._carried_bids(now, order)]

    def left(self, now: float, event: Left) -> Effects:
        """Free the slot of an attempt, or keep it from ever starting."""
        attempt = self._core.live.remove(now, event)
        if attempt is None or attempt.refused:
            return ()
        if attempt.undecided:
            return self._core.admission.query(
                now,
                event.attempt_id,
                cancel=True,
            )[1]
        return self._core.admission.finished(
            now,
            event.attempt_id,
            whole=event.whole,
            cost=event.cost,
            stopped=event.stopped,
        )

    def asked(self, now: float, event: Asked) -> Effects:
        """Tell the fate of an attempt; bindingly when it is not started."""
        query = event.query
        mine = self._core.identity.incarnation
        if query.incarnation != mine:
            # The order went to a process before this one: what that process
            # started is not known here, and "not run" might be a lie.
            event.answers.send_nowait(AttemptAnswer(Fate.UNKNOWN, mine))
            return ()
        fate, effects = self._core.admission.query(
            now,
            query.attempt_id,
            cancel=query.cancel,
        )
        event.answers.send_nowait(AttemptAnswer(fate, mine))
        return effects

    def refused(
        self,
        now: float,
        attempt_id: str,
        reason: RefusalReason,
    ) -> None:
        """Carry out a refusal of the decision object."""
        fate = Fate.NOT_STARTED
        if reason is RefusalReason.DUPLICATE:
            # The first order of this id may have run.
            fate, _ = self._core.admission.query(now, attempt_id, cancel=False)
        self._core.live.refuse(attempt_id, self._result(fate, reason))

    def _refuse_second(self, event: Arrived) -> None:
        # Both orders have one id: the first one's task is still at work, and
        # this refusal must neither reach it nor claim that nothing ran.
        refusal = self._result(Fate.UNKNOWN, RefusalReason.DUPLICATE)
        second = LiveAttempt(event.order, event.verdicts)
        self._core.live.refuse_order(second, refusal)

    def _result(self, fate: Fate, reason: RefusalReason) -> RunResult:
        return RunResult(
            fate,
            self._core.identity.incarnation,
            reason=reason.value,
            free=self._core.admission.load().free,
        )

    def _carried_bids(self, now: float, order: RunOrder) -> Effects:
        if not order.bids or self._core.links.get(order.entry) is None:
            return ()
        bids = Bids(
            pool=self._core.identity.pool,
            grants_seen=self._core.grants.seen(order.entry, order.grant),
            rows=tuple(BidRow(*row) for row in order.bids),
        )
        return self._core.admission.bids(now, order.entry, bids)


def _arrival(order: RunOrder) -> Arrival:
    return Arrival(
        attempt_id=order.attempt_id,
        entry=order.entry,
        workspace=order.workspace,
        tag=order.tag,
        hint_cost=order.hint_cost,
        grant=order.grant,
        wait_seconds=order.wait_seconds,
        fingerprint=order.fingerprint,
        suspect=order.suspect,
    )
