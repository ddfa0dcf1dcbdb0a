"""Make the benchmarks importable from the steps."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2]))


def before_all(context):
    """Disable the warnings that the injected faults cause."""
    logging.disable(logging.WARNING)
