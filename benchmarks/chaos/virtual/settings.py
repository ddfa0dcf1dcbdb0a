"""Settings of the daemons of the fake fleet."""

from __future__ import annotations

from random import Random
from typing import Any, Final

from sardinetrack.config.model import EntrySettings
from sardinetrack.entry.claims import ClaimStore
from sardinetrack.entry.dependencies import EntryDependencies
from sardinetrack.links.secret import PeerSecret
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity
from sardinetrack.store.api import Platform

WAIT_SECONDS: Final = 20.0
SECRET: Final = 'peer-secret'
_INCARNATION_BITS: Final = 64


def draw_incarnation(random: Random) -> str:
    """Draw the incarnation of one start of a process."""
    return hex(random.getrandbits(_INCARNATION_BITS))


def common_settings(name: str) -> dict[str, Any]:
    """Build the settings that entries and sides share."""
    return {
        'instance': name,
        'failure_domain': 'galata',
        'platform': {
            'url': 'http://10.0.0.2:80',
            'token': {'value': 'platform-token'},
        },
        'peer_secret': {'value': SECRET},
    }


def entry_dependencies(
    name: str,
    random: Random,
    platform: Platform,
    claims: ClaimStore,
) -> EntryDependencies:
    """Build the dependencies that an entry's composition root passes to it."""
    incarnation = draw_incarnation(random)
    bounds = {'wait_seconds': WAIT_SECONDS}
    settings = EntrySettings.model_validate(
        {**common_settings(name), 'bounds': bounds},
    )
    rng = Random(random.random())
    return EntryDependencies(
        settings=settings,
        peer_secret=PeerSecret(SECRET),
        incarnation=incarnation,
        routing=Router(ProcessIdentity(name, incarnation), rng),
        platform=platform,
        claims=claims,
    )
