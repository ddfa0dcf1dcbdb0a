"""The entry daemon: the router process that callers connect to."""

from __future__ import annotations
