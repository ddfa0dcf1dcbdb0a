"""The side daemon: the one process that hands requests to its server."""

from __future__ import annotations
