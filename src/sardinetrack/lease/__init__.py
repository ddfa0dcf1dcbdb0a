"""The lease of a side on its backend server, with fencing tokens."""

from __future__ import annotations
