"""Settings as the platform writes them."""

from __future__ import annotations

SETTINGS = """
nodeName = "edge-galata-1"
ip = "10.1.0.33"
zone = "galata"
internalPortRange = [7400,7415]
bootstrap = true
[listenAddresses]
frontend = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[bounds]
graceS = 8
failClosed = true
revokeMs = 5000
retrySlack = 58
[platform]
address = "10.200.1.7:8781"
"""
