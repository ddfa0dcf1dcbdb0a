"""Typed messages between entries and sides, and their JSON codecs."""

from __future__ import annotations
