"""State charts as JSON files, and the small interpreter over them."""

from __future__ import annotations
