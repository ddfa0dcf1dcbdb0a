"""What an answer cost so far, and whether it is whole."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.entry.call import Call
from sardinetrack.entry.completions import usage_cost
from sardinetrack.entry.sse import EventReader

_MOST_READ_BYTES: Final = 1_048_576


class Meter(ABC):
    """Reads along while an answer is relayed."""

    @abstractmethod
    def feed(self, chunk: bytes) -> bytes:
        """Take in a piece; return what may go to the caller now."""

    def rest(self) -> bytes:
        """Return what is still held back at a clean end."""
        return b''

    @property
    def has_terminal(self) -> bool:
        """Whether the answer's protocol says that it is whole."""
        return False

    @property
    def needs_terminal(self) -> bool:
        """Whether a clean end of the transport isn't enough."""
        return False

    @abstractmethod
    def cost(self) -> float:
        """Cost units so far."""


class StreamMeter(Meter):
    """Server-sent events of a model: whole only with its own terminal."""

    def __init__(self, call: Call) -> None:
        """Start before the first event."""
        self._reader = EventReader()
        self._prompt_cost = call.prompt_cost
        self._token_cost = call.pool.prompt_token_cost

    def feed(self, chunk: bytes) -> bytes:
        """Release whole events only."""
        return self._reader.feed(chunk)

    def rest(self) -> bytes:
        """Return an event without its blank line."""
        return self._reader.rest()

    @property
    def has_terminal(self) -> bool:
        """Whether ``data: [DONE]`` was seen."""
        return self._reader.done

    @property
    def needs_terminal(self) -> bool:
        """Without its terminal a stream is cut."""
        return True

    def cost(self) -> float:
        """Count events until the usage is told."""
        told = usage_cost(self._reader.usage_event, self._token_cost)
        if told is None:
            return self._prompt_cost + self._reader.events
        return told


class PlainMeter(Meter):
    """A model's answer in one piece; its usage stands in the body."""

    def __init__(self, call: Call) -> None:
        """Start with no body."""
        self._body = bytearray()
        self._prompt_cost = call.prompt_cost
        self._token_cost = call.pool.prompt_token_cost

    def feed(self, chunk: bytes) -> bytes:
        """Keep a bounded copy."""
        if len(self._body) < _MOST_READ_BYTES:
            self._body += chunk
        return chunk

    def cost(self) -> float:
        """Read the usage."""
        told = usage_cost(bytes(self._body), self._token_cost)
        return self._prompt_cost if told is None else told


class ServiceMeter(Meter):
    """A plain service's answer; it costs the seconds that it took."""

    def __init__(self, clock: Callable[[], float], began: float) -> None:
        """Remember when the order was sent."""
        self._clock = clock
        self._began = began

    def feed(self, chunk: bytes) -> bytes:
        """Let everything through."""
        return chunk

    def cost(self) -> float:
        """Seconds since the order was sent."""
        return self._clock() - self._began


def meter_for(
    call: Call,
    content_type: str,
    clock: Callable[[], float],
    began: float,
) -> Meter:
    """Choose how to read an answer.

    :param call: what was asked.
    :param content_type: of the answer.
    :param clock: monotonic seconds.
    :param began: when the order was sent.
    :return: a fresh meter.
    """
    if call.pool.pool_class is PoolClass.SERVICE:
        return ServiceMeter(clock, began)
    if content_type.partition(';')[0].strip() == 'text/event-stream':
        return StreamMeter(call)
    return PlainMeter(call)
