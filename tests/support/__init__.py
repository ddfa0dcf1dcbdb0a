"""Helpers that the tests share: processes, callers, fakes and simulations."""

from __future__ import annotations
