"""Access to the platform's object store and its list of instances."""

from __future__ import annotations
