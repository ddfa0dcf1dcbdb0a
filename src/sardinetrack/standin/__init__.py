"""Stand-ins for the outside systems, for tests and ``local``."""

from __future__ import annotations
