"""Start one process of an instance from a checkout: ``start.py ROLE``."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'src'))

from sardinetrack.process.caught_signals import CaughtSignals  # noqa: E402

signals = CaughtSignals()
signals.catch()

# Loading the rest takes most of a start.
from sardinetrack.compose.node import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main(sys.argv[1:], signals))
