"""An entry's estimate of the load of one backend server."""

from __future__ import annotations

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
        self.pace = StepPace()
        self.streams = 0

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
