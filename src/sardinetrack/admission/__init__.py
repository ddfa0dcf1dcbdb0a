"""Decisions of a side: which waiting request starts next. No I/O."""

from __future__ import annotations
