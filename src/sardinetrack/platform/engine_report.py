"""Decodes what a model engine reports of itself."""

from __future__ import annotations

from typing import Final

import msgspec

from sardinetrack.admission.engine_report import EngineReport, EngineRun
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.platform.counts import MAX_COUNT, Count
from sardinetrack.platform.errors import TranslationError

REPORT_PATH: Final = '/v1/report'
_MILLISECONDS: Final = 1000


class _Run(msgspec.Struct, array_like=True):
    request_id: str
    tokens: Count
    events: Count
    priority: int


class _Report(msgspec.Struct, rename='camel'):
    """The fields that are read; other fields may be missing.

    They get no default: without ``queued`` an engine that prefills would count
    as one that only decodes, and its steps as slow.
    """

    queued: Count
    active: Count
    runs: list[_Run]
    born: Count | msgspec.UnsetType = msgspec.UNSET
    leaves_ms: object = msgspec.field(name='leaves_ms', default=None)
    """A report whose time can't be read is used for the rest."""


_REPORTS: Final = JsonDecoder[_Report](_Report)


def decode_report(body: bytes) -> EngineReport:
    """Decode the report of an engine.

    :raises TranslationError: a field is missing or of another type.
    """
    try:
        decoded = _REPORTS.decode(body)
    except UnreadableError as error:
        raise TranslationError(f'report of an engine: {error}') from error
    return EngineReport(
        started_milliseconds=None
        if decoded.born is msgspec.UNSET
        else decoded.born,
        queued=decoded.queued,
        active=decoded.active,
        runs=tuple(
            EngineRun(run.request_id, run.tokens, run.events)
            for run in decoded.runs
        ),
        leaves_seconds=_parse_seconds(decoded.leaves_ms),
    )


def _parse_seconds(milliseconds: object) -> float | None:
    if isinstance(milliseconds, bool) or not isinstance(
        milliseconds, int | float
    ):
        return None
    # An integer may be too large for a float.
    return min(milliseconds, MAX_COUNT) / _MILLISECONDS
