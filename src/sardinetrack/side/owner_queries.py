"""Queries to the owner task."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.side.events import SideEvent, SideEvents

Answer = TypeVar('Answer')


async def query_owner(
    owner: SideEvents,
    build_event: Callable[[MemoryObjectSendStream[Answer]], SideEvent],
) -> Answer:
    """Send a query event to the owner task and wait for the response.

    :param build_event: builds the event around the stream for its response.
    :raises RequestError: the owner task has ended.
    """
    sender, receiver = anyio.create_memory_object_stream[Answer](1)
    with receiver:
        try:
            await owner.send(build_event(sender))
            return await receiver.receive()
        except (anyio.BrokenResourceError, anyio.EndOfStream) as error:
            raise RequestError(ErrorKind.INTERNAL, 'closing') from error
