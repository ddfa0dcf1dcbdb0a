"""An emulated model engine: reads prompts in order, keeps what it has read."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from sardinetrack.admission.reading import ReadingAdmission
from sardinetrack.emulator.load import Request, Shape
from sardinetrack.placement.home import shared_part
from sardinetrack.topology.servers import BackendServer

_PORT: Final = 80


class Engine:
    """One engine with the admission of its side."""

    def __init__(self, number: int, shape: Shape) -> None:
        """Start idle, with an empty memory."""
        self.server = BackendServer(
            f'i-{number}',
            'models',
            f'10.0.0.{number}',
            _PORT,
            'domain',
            shape.slots,
            leaving=False,
        )
        self.admission = ReadingAdmission(shape.slots, shape.memory_tokens)
        self.free_at_seconds = float(0)
        self.busy_seconds = float(0)
        self.told: set[str] = set()
        """Parts that its side tells with the next word."""
        self._shape = shape
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._kept_tokens = 0

    def read(self, now: float, request: Request) -> tuple[float, int]:
        """Queue a prompt.

        :return: when it is read, and the tokens of its shared part that had
            to be read for it.
        """
        part = shared_part(request.prompt)
        again = 0 if part in self._kept else self._shape.shared_tokens
        self._keep(part, self._shape.shared_tokens)
        self._keep(request.name, request.own_tokens)
        took = (request.own_tokens + again) / self._shape.rate_tokens
        self.busy_seconds += took
        self.free_at_seconds = max(now, self.free_at_seconds) + took
        self.told.add(part)
        return self.free_at_seconds, again

    def _keep(self, part: str, tokens: int) -> None:
        self._kept_tokens += tokens - self._kept.pop(part, 0)
        self._kept[part] = tokens
        while self._kept_tokens > self._shape.memory_tokens:
            self._kept_tokens -= self._kept.popitem(last=False)[1]
