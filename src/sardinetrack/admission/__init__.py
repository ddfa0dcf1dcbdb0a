"""Admission decisions of a side: which queued request starts next. No I/O.

A side is the sidecar process of a backend server, which admits requests to it.
"""

from __future__ import annotations
