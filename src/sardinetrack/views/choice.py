"""Which neighbour watches the store for an instance; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from sardinetrack.placement.home import ranked

ENTRIES_A_WATCHER: Final = 8
"""Followers from which a watcher of the own failure domain pays.

It spares the bytes between domains of every change, some 20 KB for each
follower, and costs 1.5 calls a second to the store.
"""
_EVERYWHERE: Final = '*'


def ranked_neighbours(
    failure_domain: str,
    entries: int,
    domains: Mapping[str, str],
) -> list[str]:
    """Order neighbours so that all instances of a domain ask the same one.

    :param failure_domain: of who asks.
    :param entries: how many instances there are in all.
    :param domains: of the neighbours, by name.
    :return: names, the one to ask first in front.
    """
    near = [name for name, where in domains.items() if where == failure_domain]
    far = [name for name in domains if name not in near]
    if entries >= ENTRIES_A_WATCHER * len(set(domains.values())):
        return ranked(failure_domain, near) + ranked(_EVERYWHERE, far)
    return ranked(_EVERYWHERE, domains)
