"""Commands of the command line, one module each."""

from __future__ import annotations
