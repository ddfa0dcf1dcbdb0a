"""The cost of streams that are late because of long prompts beside them."""

from __future__ import annotations

from typing import Final

from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.step_pace import MAX_PAUSE_FRACTION

LATE_STREAM_SECONDS: Final = 0.1
"""Cost of one stream that is late, in seconds of waiting.

A full engine of 30 streams costs more than any wait within an objective to the
first event.
"""
RISK_SECONDS: Final = 0.5
"""Cost of beginning a long stream where prompts lately caused long pauses.

More than the usual difference in waiting between two engines, so that engines
that prefill long prompts get few streams, and long prompts go where few run.
"""
LONG_STREAM_EVENTS: Final = 20
"""Events of a stream that runs long enough to meet the next long prompt."""


def harm_seconds(
    load: EstimatedLoad,
    prefill_tokens: int,
    event_gap_seconds: float,
) -> float:
    """Return the cost of the streams at an engine that a prompt makes late.

    While the engine prefills the prompt, its running streams pause for equally
    long, so either all of them are late or none is.

    :param prefill_tokens: prompt tokens that the engine would have to prefill.
    :param event_gap_seconds: the pause objective.
    :return: 0 while the pace of the engine is unknown.
    """
    pace = load.pace
    max_pause_seconds = MAX_PAUSE_FRACTION * event_gap_seconds
    if pace.event_tokens * pace.prefill_step_seconds <= max_pause_seconds:
        # No prompt is long enough. Checked first because the prediction takes
        # most of a microsecond for each server.
        return 0
    pause_seconds = pace.longest_pause_seconds(prefill_tokens, load.rate_tokens)
    if pause_seconds <= max_pause_seconds:
        return 0
    return LATE_STREAM_SECONDS * load.streams


def has_long_pauses(load: EstimatedLoad, event_gap_seconds: float) -> bool:
    """Whether prompts lately caused pauses over the objective at an engine.

    :param event_gap_seconds: the pause objective; 0 if none is set.
    """
    if not event_gap_seconds:
        return False
    return load.recent_pause_seconds > MAX_PAUSE_FRACTION * event_gap_seconds


def is_long_stream(load: EstimatedLoad, output_tokens: int) -> bool:
    """Whether a stream runs long enough to meet the next long prompt."""
    return output_tokens >= LONG_STREAM_EVENTS * load.pace.event_tokens


def risk_seconds(
    load: EstimatedLoad,
    output_tokens: int,
    event_gap_seconds: float,
) -> float:
    """Return the cost of the pauses that a new stream may meet at an engine.

    :param output_tokens: length of its response.
    :param event_gap_seconds: the pause objective.
    :return: 0 where no prompt caused a long pause lately.
    """
    if not has_long_pauses(load, event_gap_seconds):
        return 0
    max_pause_seconds = MAX_PAUSE_FRACTION * event_gap_seconds
    excess = min(1, load.recent_pause_seconds / max_pause_seconds - 1)
    events = output_tokens / max(1, load.pace.event_tokens)
    return RISK_SECONDS * excess * min(1, events / LONG_STREAM_EVENTS)
