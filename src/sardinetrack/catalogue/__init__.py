"""The catalogue: workspaces and pools as the operators describe them."""

from __future__ import annotations
