"""Random histories of catalogue keys, and a reference view."""

from __future__ import annotations

import json
from hashlib import sha256

from sardinetrack.messages.api import ConfigObject

KEYS = [f'catalogue/workspace/w{number}' for number in range(8)] + [
    f'catalogue/pool/p{number}' for number in range(4)
]
_TOKENS = 'abcdef'


def token_hash(token):
    return sha256(token.encode()).hexdigest()


def config_object(key, version, **fields):
    """Build a valid catalogue entry, or an invalid one by wrong fields."""
    kind, name = key.split('/')[1:]
    content = {'kind': kind, 'name': name, 'owner': f'owner {version}'}
    if kind == 'workspace':
        content |= {'class': 'interactive', 'token_hashes': [token_hash(name)]}
    else:
        content |= {'class': 'model', 'models': [name]}
    return ConfigObject(
        key, version, json.dumps(content | fields), deleted=False
    )


def deletion(key, version):
    return ConfigObject(key, version, '', deleted=True)


def random_history(rng, length):
    """Make changes with versions 1 to ``length``; delete only live keys."""
    live = set()
    history = []
    for version in range(1, length + 1):
        key = rng.choice(KEYS)
        draw = rng.randrange(10)
        if draw < 3 and key in live:
            live.discard(key)
            history.append(deletion(key, version))
            continue
        live.add(key)
        history.append(_random_object(rng, key, version, invalid=draw >= 8))
    return history


def _random_object(rng, key, version, *, invalid):
    if invalid:
        return config_object(key, version, limits={'weight': 'heavy'})
    claims = rng.sample(_TOKENS, 2)
    if '/workspace/' in key:
        return config_object(
            key, version, token_hashes=[token_hash(one) for one in claims]
        )
    return config_object(key, version, models=claims)


def reference(changes):
    """Apply everything in the order of versions.

    :return: by key: active version and the claims that it owns.
    """
    valid = {}
    for change in sorted(changes, key=lambda one: one.version):
        if change.deleted:
            valid.pop(change.key, None)
        elif 'heavy' not in change.value:
            valid[change.key] = change
    owned = set()
    active = {}
    for change in sorted(valid.values(), key=lambda one: one.version):
        content = json.loads(change.value)
        claims = set(content.get('token_hashes') or content['models']) - owned
        owned |= claims
        active[change.key] = (change.version, frozenset(claims))
    return active


def active_in(view):
    """Convert a view to the form that ``reference`` returns."""
    by_workspace = {
        f'catalogue/workspace/{one.name}': (one.owner, one.token_hashes)
        for one in view.workspaces()
    }
    pools = {
        f'catalogue/pool/{one.name}': (one.owner, frozenset(one.models))
        for one in view.pools()
    }
    return {
        key: (int(owner.removeprefix('owner ')), claims)
        for key, (owner, claims) in (by_workspace | pools).items()
    }
