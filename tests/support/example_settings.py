"""A settings file as the platform writes it, and settings for tests."""

from __future__ import annotations

from sardinetrack.relay.settings import InstanceSettings

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


def node_settings(ip='127.0.0.1', **changed):
    """Return settings of an entry that runs in this process, on loopback."""
    return InstanceSettings(
        **{
            'instance': 'entry-1',
            'ip': ip,
            'failure_domain': 'galata',
            'callers': (ip, 0),
            'ready': None,
            'turns_port': 1,
            'metrics_port': 0,
            'store': (ip, 1),
            'grace_seconds': 4.0,
            'drain_seconds': 3.0,
            'revoke_seconds': 5.0,
            'memory_bytes': 256_000_000,
            'max_descriptors': 4096,
            'retry_ratio': 0.2,
            'retry_window_seconds': 10.0,
            'retry_slack': 50.0,
            **changed,
        },
    )
