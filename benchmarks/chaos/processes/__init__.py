"""All daemons as real processes on loopback, connected through proxies."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[3] / 'tests'))
