"""What both daemons need of their process: signals, names, the ready line."""

from __future__ import annotations
