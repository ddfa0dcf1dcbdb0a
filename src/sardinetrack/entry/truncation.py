"""Truncates a response that has started."""

from __future__ import annotations

from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.entry.error_responses import truncation_event
from sardinetrack.http.asgi import ClientDisconnectedError


async def truncate_response(call: Call, caller: Caller) -> None:
    """Truncate a response once, in a way that the caller can detect.

    :param call: the request; a stream ends with an error event.
    :param caller: has received a part of the response, and may have
        disconnected.
    """
    if caller.is_truncated or caller.disconnected:
        return
    try:
        await caller.truncate(truncation_event() if call.streams else b'')
    except ClientDisconnectedError:
        caller.abort_connection()
