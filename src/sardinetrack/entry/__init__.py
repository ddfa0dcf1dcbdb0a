"""The entry daemon: callers on one side, peers on the other."""

from __future__ import annotations
