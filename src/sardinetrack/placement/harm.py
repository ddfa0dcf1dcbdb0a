"""The cost of the running streams that a prompt would make late."""

from __future__ import annotations

from typing import Final

from sardinetrack.placement.load import EstimatedLoad

LATE_STREAM_SECONDS: Final = 0.1
"""Cost of one stream that is late, in seconds of waiting.

A full engine of 30 streams costs more than any wait within an objective to the
first event.
"""
MAX_PAUSE_FRACTION: Final = 0.9
"""Fraction of a pause objective from which a predicted pause counts as late."""


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
