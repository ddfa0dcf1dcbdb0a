"""Random histories of catalogue keys, and a naive view of them."""

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


def row(key, version, **fields):
    """Build a good entry, or a bad one by wrong fields."""
    kind, name = key.split('/')[1:]
    entry = {'kind': kind, 'name': name, 'owner': f'owner {version}'}
    if kind == 'workspace':
        entry |= {'class': 'interactive', 'token_hashes': [token_hash(name)]}
    else:
        entry |= {'class': 'model', 'models': [name]}
    return ConfigObject(key, version, json.dumps(entry | fields), deleted=False)


def deletion(key, version):
    return ConfigObject(key, version, '', deleted=True)


def random_history(chance, length):
    """Make changes with versions 1 to ``length``; deletions only of live."""
    live = set()
    history = []
    for version in range(1, length + 1):
        key = chance.choice(KEYS)
        turn = chance.randrange(10)
        if turn < 3 and key in live:
            live.discard(key)
            history.append(deletion(key, version))
            continue
        live.add(key)
        history.append(_random_row(chance, key, version, bad=turn >= 8))
    return history


def _random_row(chance, key, version, *, bad):
    if bad:
        return row(key, version, limits={'weight': 'heavy'})
    claims = chance.sample(_TOKENS, 2)
    if '/workspace/' in key:
        return row(
            key, version, token_hashes=[token_hash(one) for one in claims]
        )
    return row(key, version, models=claims)


def naive(changes):
    """Apply everything in the order of versions.

    :return: by key: version in force and the claims that it holds.
    """
    good = {}
    for change in sorted(changes, key=lambda one: one.version):
        if change.deleted:
            good.pop(change.key, None)
        elif 'heavy' not in change.value:
            good[change.key] = change
    owned = set()
    in_force = {}
    for change in sorted(good.values(), key=lambda one: one.version):
        entry = json.loads(change.value)
        claims = set(entry.get('token_hashes') or entry['models']) - owned
        owned |= claims
        in_force[change.key] = (change.version, frozenset(claims))
    return in_force


def seen_in(view):
    """Read a view in the form that ``naive`` gives."""
    spaces = {
        f'catalogue/workspace/{one.name}': (one.owner, one.token_hashes)
        for one in view.workspaces()
    }
    pools = {
        f'catalogue/pool/{one.name}': (one.owner, frozenset(one.models))
        for one in view.pools()
    }
    return {
        key: (int(owner.removeprefix('owner ')), claims)
        for key, (owner, claims) in (spaces | pools).items()
    }
