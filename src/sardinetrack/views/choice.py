"""Selects the neighbour that watches the store for an instance; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from sardinetrack.placement.rendezvous import rendezvous_order

MIN_ENTRIES_PER_WATCHER: Final = 8
"""Subscribers from which a failure domain has a watcher of its own.

It saves the traffic of every change between the domains, some 20 KB for each
subscriber, and costs 1.5 calls a second to the store.
"""
_EVERYWHERE: Final = '*'


def ranked_neighbours(
    failure_domain: str,
    entries: int,
    domains: Mapping[str, str],
) -> list[str]:
    """Order neighbours so that all instances of a domain prefer the same one.

    :param failure_domain: of the subscribing instance.
    :param entries: number of entries in the fleet.
    :param domains: failure domains of the neighbours, by name.
    :return: names, the preferred neighbour first.
    """
    near = [name for name, where in domains.items() if where == failure_domain]
    far = [name for name in domains if name not in near]
    if entries >= MIN_ENTRIES_PER_WATCHER * len(set(domains.values())):
        return rendezvous_order(failure_domain, near) + rendezvous_order(
            _EVERYWHERE, far
        )
    return rendezvous_order(_EVERYWHERE, domains)
