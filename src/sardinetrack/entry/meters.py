"""Computes the cost of a response while it is relayed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from sardinetrack.catalogue.api import PoolClass
from sardinetrack.entry.call import Call
from sardinetrack.entry.completions import usage_cost
from sardinetrack.entry.sse import EventReader

_MAX_COPIED_BYTES: Final = 1_048_576


class Meter(ABC):
    """Parses a response to compute its cost and detect its end."""

    @abstractmethod
    def feed(self, chunk: bytes) -> bytes:
        """Parse a chunk; return the data that may be sent to the caller now."""

    def remainder(self) -> bytes:
        """Return the data buffered so far, at a regular end of the response."""
        return b''

    @property
    def has_terminal(self) -> bool:
        """Whether the end marker of the response's format was received."""
        return False

    @property
    def needs_terminal(self) -> bool:
        """Whether a regular end of the connection is not sufficient."""
        return False

    @abstractmethod
    def cost(self) -> float:
        """Return the cost units so far."""


class StreamMeter(Meter):
    """A model's server-sent events, complete only with ``[DONE]``."""

    def __init__(self, call: Call) -> None:
        self._reader = EventReader()
        self._prompt_cost = call.prompt_cost
        self._token_cost = call.pool.prompt_token_cost

    def feed(self, chunk: bytes) -> bytes:
        """Return complete events only."""
        return self._reader.feed(chunk)

    def remainder(self) -> bytes:
        """Return an event without its blank line."""
        return self._reader.remainder()

    @property
    def has_terminal(self) -> bool:
        """Whether ``data: [DONE]`` was received."""
        return self._reader.done

    @property
    def needs_terminal(self) -> bool:
        """Always true: without ``[DONE]`` a stream is truncated."""
        return True

    def cost(self) -> float:
        """Count events until the usage is received."""
        reported = usage_cost(self._reader.usage_event, self._token_cost)
        if reported is None:
            return self._prompt_cost + self._reader.events
        return reported


class PlainMeter(Meter):
    """A model's response in one body, which contains the usage."""

    def __init__(self, call: Call) -> None:
        self._body = bytearray()
        self._prompt_cost = call.prompt_cost
        self._token_cost = call.pool.prompt_token_cost

    def feed(self, chunk: bytes) -> bytes:
        """Keep a copy of limited size."""
        if len(self._body) < _MAX_COPIED_BYTES:
            self._body += chunk
        return chunk

    def cost(self) -> float:
        """Return the cost from the usage, or that of the prompt alone."""
        reported = usage_cost(bytes(self._body), self._token_cost)
        return self._prompt_cost if reported is None else reported


class ServiceMeter(Meter):
    """A plain service's response; its cost is the seconds that it took."""

    def __init__(self, clock: Callable[[], float], began: float) -> None:
        """Set the start of the run.

        :param clock: monotonic seconds.
        :param began: when the run request was sent, on that clock.
        """
        self._clock = clock
        self._began = began

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk unchanged."""
        return chunk

    def cost(self) -> float:
        """Return the seconds since the run request was sent."""
        return self._clock() - self._began


def meter_for(
    call: Call,
    content_type: str,
    clock: Callable[[], float],
    began: float,
) -> Meter:
    """Create the meter for a response.

    :param call: the request.
    :param content_type: of the response.
    :param clock: monotonic seconds.
    :param began: when the run request was sent.
    :return: a new meter.
    """
    if call.pool.pool_class is PoolClass.SERVICE:
        return ServiceMeter(clock, began)
    if content_type.partition(';')[0].strip() == 'text/event-stream':
        return StreamMeter(call)
    return PlainMeter(call)
