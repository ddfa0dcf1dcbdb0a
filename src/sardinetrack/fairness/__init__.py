"""Fair queueing between workspaces: the service ledger and its tags."""

from __future__ import annotations
