"""An emulated model engine: prefills in FIFO order and caches prefixes."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from sardinetrack.admission.prefill import PrefillAdmission
from sardinetrack.emulator.load import LoadProfile, Request
from sardinetrack.placement.rendezvous import shared_prefix
from sardinetrack.topology.servers import BackendServer

_PORT: Final = 80


class Engine:
    """One engine with the admission of its side."""

    def __init__(self, number: int, shape: LoadProfile) -> None:
        """Build an idle engine with an empty prefix cache.

        :param number: becomes part of its name and address.
        :param shape: deployment and load.
        """
        self.server = BackendServer(
            f'i-{number}',
            'models',
            f'10.0.0.{number}',
            _PORT,
            'domain',
            shape.slots,
            leaving=False,
        )
        self.admission = PrefillAdmission(shape.slots, shape.memory_tokens)
        self.free_at_seconds = float(0)
        self.busy_seconds = float(0)
        self.unreported_prefixes: set[str] = set()
        """Prefixes that its side sends with the next load report."""
        self._shape = shape
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0

    def prefill(self, now: float, request: Request) -> tuple[float, int]:
        """Queue a prompt.

        :return: when its prefill ends, and the number of tokens of its shared
            prefix that had to be computed for it.
        """
        prefix = shared_prefix(request.prompt)
        recomputed = 0 if prefix in self._cached else request.shared_tokens
        self._insert(prefix, request.shared_tokens)
        self._insert(request.name, request.own_tokens)
        prefill_seconds = (
            request.own_tokens + recomputed
        ) / self._shape.rate_tokens
        self.busy_seconds += prefill_seconds
        self.free_at_seconds = max(now, self.free_at_seconds) + prefill_seconds
        self.unreported_prefixes.add(prefix)
        return self.free_at_seconds, recomputed

    def _insert(self, prefix: str, tokens: int) -> None:
        self._cached_tokens += tokens - self._cached.pop(prefix, 0)
        self._cached[prefix] = tokens
        while self._cached_tokens > self._shape.memory_tokens:
            self._cached_tokens -= self._cached.popitem(last=False)[1]
