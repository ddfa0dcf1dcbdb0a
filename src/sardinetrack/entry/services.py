"""Calls of plain services: their path, and whether they may be repeated."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Self

from sardinetrack.catalogue.api import RepeatableCall

SERVICES_PATH: Final = '/services/'
_AMBIGUOUS: Final = re.compile(r'%|//|\\|/\.{1,2}(/|$)')


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """Where a call of a plain service goes."""

    name: str
    path: str
    """Path and query, as the backend server receives them."""

    @classmethod
    def parse(cls, target: str) -> Self:
        """Split a path below ``/services/``.

        :param target: the path and query as the caller sent them.
        :return: the service's name and the rest, unchanged.
        """
        path, mark, query = target[len(SERVICES_PATH) :].partition('?')
        name, _, rest = path.partition('/')
        return cls(name, f'/{rest}{mark}{query}')


def is_repeatable(
    calls: Sequence[RepeatableCall],
    method: str,
    path: str,
) -> bool:
    """Tell whether a call may safely run twice.

    :param calls: what the catalogue calls repeatable.
    :param method: in capitals.
    :param path: path and query at the backend server.
    :return: ``False`` in every case of doubt.
    """
    bare = path.partition('?')[0]
    # ``/lookup/../bill`` begins like a lookup, but a server that resolves it
    # would send the bill, perhaps twice.
    if _AMBIGUOUS.search(bare):
        return False
    return any(
        call.method == method and _below(bare, call.path_prefix)
        for call in calls
    )


def _below(path: str, prefix: str) -> bool:
    if prefix.endswith('/'):
        return path.startswith(prefix)
    return path == prefix or path.startswith(f'{prefix}/')
