"""Ask the owner task a question and wait for its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.side.events import SideEvent, SideEvents

Answer = TypeVar('Answer')


async def ask_owner(
    owner: SideEvents,
    question: Callable[[MemoryObjectSendStream[Answer]], SideEvent],
) -> Answer:
    """Send a question with a stream for one answer.

    :param question: builds the event around the stream.
    :raises AnsweredError: the owner task has ended.
    """
    answered, answers = anyio.create_memory_object_stream[Answer](1)
    with answers:
        try:
            await owner.send(question(answered))
            return await answers.receive()
        except (anyio.BrokenResourceError, anyio.EndOfStream) as error:
            raise AnsweredError(ErrorKind.INTERNAL, 'closing') from error
