"""How much an engine may prefill before a stream pauses for too long."""

from __future__ import annotations

from dataclasses import dataclass

from sardinetrack.placement.step_pace import StepPace


@dataclass(frozen=True, slots=True)
class PauseLimit:
    """How much an engine may prefill without a break."""

    pace: StepPace
    limit_seconds: float
    """Longest pause allowed."""
    rate_tokens: float
    """Prompt tokens prefilled a second."""

    @property
    def binds(self) -> bool:
        """Whether any amount of prefill causes a pause that is too long."""
        longest = self.pace.event_tokens * self.pace.prefill_step_seconds
        return self.pace.is_known and longest > self.limit_seconds

    def allows(self, tokens: float) -> bool:
        """Whether so many tokens may be prefilled without a break."""
        return self.pause_seconds(tokens) <= self.limit_seconds

    def pause_seconds(self, tokens: float) -> float:
        """Predict the pause from so many tokens without a break."""
        return self.pace.longest_pause_seconds(tokens, self.rate_tokens)

    @property
    def run_tokens(self) -> float:
        """The most tokens that may be prefilled without a break."""
        return (
            self._run_steps * self.rate_tokens * self.pace.prefill_step_seconds
        )

    def break_seconds(self, tokens: float) -> float:
        """Return how long an engine only decodes before a prompt.

        No event may contain more than the allowed number of steps with
        prefill, so the steps of an event less these are enough between two
        runs of prefill. A prompt that is too long alone comes a whole event
        after the others.
        """
        steps = self.pace.event_tokens
        if self.allows(tokens):
            steps -= self._run_steps
        return steps * self.pace.decode_step_seconds

    @property
    def _run_steps(self) -> int:
        decode_seconds = self.pace.decode_step_seconds
        more_seconds = self.pace.prefill_step_seconds - decode_seconds
        decode_only = self.pace.event_tokens * decode_seconds
        if more_seconds <= 0:
            return 0
        fits = (self.limit_seconds - decode_only) / more_seconds
        return int(min(max(0, fits), self.pace.event_tokens))
