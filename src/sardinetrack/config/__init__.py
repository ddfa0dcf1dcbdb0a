"""Settings of a process: a JSON file with comments, checked as a whole."""

from __future__ import annotations
