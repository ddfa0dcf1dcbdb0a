"""Decisions of an entry: where a request goes and when. No I/O."""

from __future__ import annotations
