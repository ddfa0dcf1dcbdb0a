"""Run the command line with ``python -m sardinetrack``."""

from __future__ import annotations

import sys

from sardinetrack.run import main

if __name__ == '__main__':
    sys.exit(main())
