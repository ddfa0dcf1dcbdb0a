"""Log lines: a short message with fields, under a component's prefix."""

from __future__ import annotations

from sardinetrack.logs.configure import LogFormat, configure
from sardinetrack.logs.lines import (
    ComponentLogger,
    DecisionRecord,
    LogComponent,
)

__all__ = [
    'DecisionRecord',
    'LogFormat',
    'LogComponent',
    'ComponentLogger',
    'configure',
]
