"""The composition root: the only place that wires concrete parts."""

from __future__ import annotations

from sardinetrack.compose.entry import run_entry
from sardinetrack.compose.local import run_local
from sardinetrack.compose.side import run_side

__all__ = ['run_entry', 'run_local', 'run_side']
