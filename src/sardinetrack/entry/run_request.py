"""The run request that an attempt sends to a side."""

from __future__ import annotations

from sardinetrack.entry.call import Call
from sardinetrack.entry.side_directory import SideDirectory, SideEndpoint
from sardinetrack.messages.api import Bids
from sardinetrack.messages.run import RUN_HEADER, RunRequest
from sardinetrack.messages.run_codec import encode_run_request
from sardinetrack.routing.api import Dispatch


def run_request_headers(
    call: Call,
    dispatch: Dispatch,
    side: SideEndpoint,
    sides: SideDirectory,
    bids: Bids,
) -> list[tuple[str, str]]:
    """Build the headers of a run request; its body is the call's.

    :param call: the request to run.
    :param dispatch: the attempt.
    :param side: the side that the request is sent to.
    :param sides: holds this entry's name and the secret shared by the peers.
    :param bids: this entry's other queued requests for the side's slots.
    :return: pairs of header name and value.
    """
    request = RunRequest(
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
        (RUN_HEADER, encode_run_request(request)),
        ('content-type', 'application/octet-stream'),
    ]
