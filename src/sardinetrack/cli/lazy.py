"""Imports that only the daemons need, kept out of the other commands."""

from __future__ import annotations

from importlib import import_module
from typing import Any


def compose() -> Any:
    """Import the composition root, which pulls in every part."""
    return import_module('sardinetrack.compose')
