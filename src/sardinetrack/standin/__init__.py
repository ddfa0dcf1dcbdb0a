"""Stand-ins for backend servers and the platform, for tests and ``local``."""

from __future__ import annotations
