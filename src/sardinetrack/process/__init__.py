"""What both daemons need of their process: signals, ids, the ready line."""

from __future__ import annotations
