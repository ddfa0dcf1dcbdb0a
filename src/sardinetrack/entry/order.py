"""The order that an attempt sends to a side."""

from __future__ import annotations

from sardinetrack.entry.call import Call
from sardinetrack.entry.sides import KnownSide, Sides
from sardinetrack.messages.api import Bids
from sardinetrack.messages.run import RUN_HEADER, RunOrder
from sardinetrack.messages.run_codec import order_text
from sardinetrack.routing.api import Dispatch


def order_headers(
    call: Call,
    dispatch: Dispatch,
    side: KnownSide,
    sides: Sides,
    bids: Bids,
) -> list[tuple[str, str]]:
    """Build the headers of an order; its body is the call's.

    :param call: what is to run.
    :param dispatch: the attempt.
    :param side: where it goes.
    :param sides: names this entry and holds the secret between peers.
    :param bids: what else waits at this entry for the side's slots.
    :return: names and texts.
    """
    order = RunOrder(
        attempt_id=dispatch.attempt_id,
        incarnation=side.incarnation,
        entry=sides.entry,
        workspace=call.work.workspace,
        tag=dispatch.tag,
        hint_cost=call.work.hint_cost,
        grant=dispatch.grant,
        wait_seconds=dispatch.wait_seconds,
        idempotent=call.work.idempotent,
        method=call.method,
        path=call.path,
        headers=call.headers,
        fingerprint=call.work.fingerprint,
        suspect=dispatch.suspect,
        bids=tuple(
            (row.workspace, row.tag, row.waiting, row.hint_cost)
            for row in bids.rows
        ),
    )
    return [
        sides.secret.header(),
        (RUN_HEADER, order_text(order)),
        ('content-type', 'application/octet-stream'),
    ]
