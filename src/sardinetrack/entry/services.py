"""Requests to plain services: their path, and whether they are repeatable."""

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
    """The service that a request is for, and the path below it."""

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
    """Return whether a request may safely run twice.

    :param calls: the repeatable methods and paths of the catalogue.
    :param method: in capitals.
    :param path: path and query at the backend server.
    :return: ``False`` whenever the path is ambiguous.
    """
    bare = path.partition('?')[0]
    # ``/lookup/../bill`` starts with a repeatable prefix, but a server that
    # normalizes it would run ``/bill``, perhaps twice.
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
