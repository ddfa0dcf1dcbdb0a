"""Typed messages between entries and sides, and their JSON codec."""

from __future__ import annotations
