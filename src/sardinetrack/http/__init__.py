"""HTTP servers on uvicorn and HTTP clients on httpcore."""

from __future__ import annotations
