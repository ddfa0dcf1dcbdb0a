"""The side daemon: the sidecar process of a backend server.

It admits requests to its backend server: no request reaches the server but
through the side.
"""

from __future__ import annotations
