"""Control links between processes: WebSockets that carry typed messages."""

from __future__ import annotations
