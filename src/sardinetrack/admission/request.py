"""A request for a permit to use a model engine, and the decision on it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final, Self

_OUTPUT_WEIGHT: Final = 2.0
"""The platform's documentation counts generated tokens twice."""
_MIN_RETRY_SECONDS: Final = 0.25
OWED_FRACTION: Final = 0.8
"""Below this fraction of the most served workspace's service a workspace may
queue at a further server, which computes its shared prefix once more.

Its home servers are full of its own requests then, while others are served more
elsewhere. With a higher fraction workspaces that are served alike would spread
their prefixes over all servers.
"""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request for a permit to send one request to the engine."""

    permit_id: str
    workspace: str
    prefill_tokens: int
    """Prompt tokens that the engine would have to prefill."""
    kv_cache_tokens: int
    """Tokens that it adds to the engine's KV cache, generated ones included."""
    output_tokens: int
    max_wait_seconds: float
    """Maximum wait for the permit."""
    priority: int = 0
    entry: str = ''
    served_tokens: float = 0
    """Service that the workspace recently received through this entry, at all
    servers."""
    shared_prefix: str = ''
    """Shared prefix that the engine caches once it has prefilled the request.
    """
    first_event_due_seconds: float = math.inf
    """From now to the moment after which its first event is late."""
    until_deadline_seconds: float = math.inf
    """From now to its caller's deadline."""
    fingerprint: str = ''
    """Stays the same when the caller sends the request again."""
    since_refusal_seconds: float = 0
    """Time since the request was first refused, as far as the entry knows."""
    event_gap_seconds: float = math.inf
    """Objective for the longest pause between two events of its stream."""
    is_trial: bool = False
    """Whether a part of its prompt is suspected of crashing engines."""
    cached_tokens: int = 0
    """Prompt tokens that the engine caches and need not prefill."""
    short_seconds: float = 0
    """How long its entry has refused requests of the workspace, without a
    break; 0 if it has not."""

    @property
    def is_past_objective(self) -> bool:
        """Whether its first event is late already.

        The caller has retried after a refusal and is still waiting.
        """
        return self.first_event_due_seconds <= 0

    @property
    def is_continuation(self) -> bool:
        """Whether its stream continues here from a copy of its KV cache."""
        return not self.prefill_tokens and not self.output_tokens

    @property
    def cost(self) -> float:
        """Service that it receives, in tokens.

        Cached tokens count in full: a workspace's share is promised in tokens,
        and must not depend on what others have left in the caches.
        """
        prompt_tokens = self.prefill_tokens + self.cached_tokens
        return prompt_tokens + _OUTPUT_WEIGHT * self.output_tokens


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now."""

    permit_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be served in time; it must not be sent."""

    permit_id: str
    retry_after_seconds: float
    waited_seconds: float
    ahead_tokens: int
    """Prompt tokens to prefill before it."""
    service_fraction: float = 1
    """Service of its workspace as a fraction of the most that any workspace has
    received that lately waited there."""

    @classmethod
    def for_wait(
        cls,
        permit_id: str,
        wait_seconds: float,
        waited_seconds: float,
        rate_tokens: float,
        service_fraction: float = 1,
    ) -> Self:
        """Refuse a request that would wait for so long.

        :param rate_tokens: prompt tokens that the engine prefills a second.
        """
        return cls(
            permit_id,
            max(_MIN_RETRY_SECONDS, wait_seconds),
            waited_seconds,
            int(wait_seconds * rate_tokens),
            service_fraction,
        )


AdmissionDecision = Granted | Refused
