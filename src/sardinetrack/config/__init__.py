"""Settings of a process: a JSON file with comments, validated as a whole."""

from __future__ import annotations
