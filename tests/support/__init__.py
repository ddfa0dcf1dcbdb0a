"""Shared pieces of the tests: processes, callers, and counting."""

from __future__ import annotations
