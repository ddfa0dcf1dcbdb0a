"""The lease of a side on its backend server, and fencing numbers."""

from __future__ import annotations
