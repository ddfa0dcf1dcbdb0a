"""An entry's estimate of the load of one backend server."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.placement.step_pace import StepPace

FIRST_RATE: Final = 40_000.0
"""Prompt tokens a second assumed for a server without measurements.

Current engines prefill 57 and 125 tokens a millisecond when they do nothing
else; in a full batch a third goes to decoding (platform's documentation).
"""
HOME_RATE_TOLERANCE: Final = 1.25
"""Factor by which a rate may differ from the one that home servers go by.

The estimate for an engine whose machine is slower by 2.5 for a third of each
0.6 s varied from 0.81 to 1.11 of its median in a simulation. If homes followed
it, they would move with each load report.
"""
SLOWNESS_VALID_SECONDS: Final = 0.3
"""How long a server's figure of its slowness counts in full.

It changes many times a second. A server that is sent nothing any more reports
none, so that an old figure must not keep requests away from it.
"""
SLOWNESS_FADE_SECONDS: Final = 0.3
"""Time after that in which the figure loses its weight."""


@dataclass(slots=True)
class EstimatedLoad:
    """Load of one server: its side's last report, and what was added since."""

    reported_wait_seconds: float = 0
    """Wait for prefill or a slot, at the time of the report."""
    rate_tokens: float = FIRST_RATE
    """Prompt tokens that it prefills a second."""
    added_tokens: int = 0
    """Tokens to prefill, sent there by this entry since the last report."""
    running: int = 0
    """Requests of this entry at the server."""
    reported_running: int = 0
    """Requests there by the server's own last response."""

    pace: StepPace = StepPace()
    """Of the engine's steps, by the side's last report."""
    streams: int = 0
    """Requests that run at the engine, by the side's last report."""
    recent_pause_seconds: float = 0
    """Longest pause that prefill there caused lately, by the last report."""
    reported_slowness: float = 1
    """Factor by which work takes longer, by the server's last response."""
    slowness_reported_seconds: float = -math.inf
    """When that response arrived, by the caller's clock."""
    home_rate_tokens: float = field(init=False)
    """The rate by which home servers are chosen; ignores small changes."""

    def __post_init__(self) -> None:
        """Choose home servers by the given rate at first."""
        self.home_rate_tokens = self.rate_tokens

    def wait_seconds(self) -> float:
        """Estimate how long a request that is sent now waits."""
        return self.reported_wait_seconds + self.added_tokens / self.rate_tokens

    def reset(self) -> None:
        """Reset the estimates: the server has restarted and is idle."""
        self.update(0, FIRST_RATE)
        self.home_rate_tokens = FIRST_RATE
        self.reported_running = 0
        self.reported_slowness = 1
        self.pace = StepPace()
        self.streams = 0
        self.recent_pause_seconds = 0

    def report_slowness(self, now: float, slowness: float) -> None:
        """Apply what a response of the server says of its slowness."""
        self.reported_slowness = slowness
        self.slowness_reported_seconds = now

    def slowness(self, now: float) -> float:
        """Return the factor by which work is expected to take longer.

        A figure below 1 counts as 1: a server that reports one by mistake would
        get nearly all requests.
        """
        age_seconds = now - self.slowness_reported_seconds
        faded = (age_seconds - SLOWNESS_VALID_SECONDS) / SLOWNESS_FADE_SECONDS
        weight = min(1, max(0, 1 - faded))
        return 1 + max(0, self.reported_slowness - 1) * weight

    def update(
        self,
        wait_seconds: float,
        rate_tokens: float,
    ) -> None:
        """Apply a load report of the side."""
        self.reported_wait_seconds = wait_seconds
        self.rate_tokens = rate_tokens
        self.added_tokens = 0
        if self.home_rate_tokens == FIRST_RATE:
            # A measured rate replaces the assumed one, or entries that started
            # at different times would choose different home servers.
            self.home_rate_tokens = rate_tokens
        self.home_rate_tokens = min(
            max(self.home_rate_tokens, rate_tokens / HOME_RATE_TOLERANCE),
            rate_tokens * HOME_RATE_TOLERANCE,
        )
