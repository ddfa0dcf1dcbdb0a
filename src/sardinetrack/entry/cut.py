"""Break off an answer that has begun."""

from __future__ import annotations

from sardinetrack.entry.answers import cut_event
from sardinetrack.entry.call import Call
from sardinetrack.entry.caller import Caller
from sardinetrack.http.asgi import CallerGoneError


async def cut(call: Call, caller: Caller) -> None:
    """Tell a caller once that the rest of its answer won't come.

    :param call: what it asked for; a stream ends with an error event.
    :param caller: has a part of the answer, and may be gone.
    """
    if caller.is_cut or caller.vanished:
        return
    try:
        await caller.cut(cut_event() if call.streams else b'')
    except CallerGoneError:
        caller.drop()
