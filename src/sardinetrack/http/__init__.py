"""HTTP plumbing over uvicorn (servers) and httpcore (clients)."""

from __future__ import annotations
