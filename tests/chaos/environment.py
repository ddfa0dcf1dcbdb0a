"""Make the benchmarks importable."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2]))


def before_all(context):
    """Keep the expected warnings of a disturbed fleet out of the output."""
    logging.disable(logging.WARNING)
