"""Start one process of an instance from a checkout: ``start.py ROLE``."""

from __future__ import annotations

import os.path
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(_ROOT, 'src'))
# Where the build installs the libraries; the last place to look for them.
sys.path.append(os.path.join(_ROOT, 'target', 'deps'))

from sardinetrack.process.caught_signals import CaughtSignals  # noqa: E402

signals = CaughtSignals()
signals.catch()

# Loading the rest takes most of a start.
from sardinetrack.compose.node import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main(sys.argv[1:], signals))
