"""Which headers travel on, and which belong to one hop."""

from __future__ import annotations

import re
import uuid
from collections.abc import Iterable
from typing import Final

from sardinetrack.entry.answers import REQUEST_ID_HEADER

Pairs = list[tuple[str, str]]

_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_OWN_PREFIX: Final = 'sardinetrack-'
_REQUEST_ONLY: Final = frozenset(
    ('authorization', 'host', 'content-length', 'expect', REQUEST_ID_HEADER),
)
_REQUEST_ID: Final = re.compile('[A-Za-z0-9._:-]{1,128}')
_CONNECTION: Final = 'connection'


def forwarded_request(pairs: Pairs, request_id: str) -> Pairs:
    """Choose the caller's headers that the backend server receives.

    The bearer token stays here: it is a secret between the caller and us.

    :param pairs: the caller's headers.
    :param request_id: sent on, so that the server's logs can be matched.
    :return: the headers to send.
    """
    kept = [pair for pair in _end_to_end(pairs) if pair[0] not in _REQUEST_ONLY]
    kept.append((REQUEST_ID_HEADER, request_id))
    return kept


def forwarded_answer(pairs: Iterable[tuple[str, str]]) -> Pairs:
    """Choose the backend server's headers that the caller receives.

    :param pairs: the headers of the side's answer.
    :return: the headers to send.
    """
    return [
        pair
        for pair in _end_to_end(list(pairs))
        if pair[0] != REQUEST_ID_HEADER
    ]


def caller_request_id(given: str | None) -> str:
    """Take the caller's own request id, or make one.

    :param given: the caller's header.
    :return: a bounded id without special characters.
    """
    if given is not None and _REQUEST_ID.fullmatch(given):
        return given
    return uuid.uuid4().hex


def _end_to_end(pairs: Pairs) -> Pairs:
    dropped = _HOP_BY_HOP | _named_by_connection(pairs)
    return [
        pair
        for pair in pairs
        if pair[0] not in dropped and not pair[0].startswith(_OWN_PREFIX)
    ]


def _named_by_connection(pairs: Pairs) -> set[str]:
    named: set[str] = set()
    for name, text in pairs:
        if name == _CONNECTION:
            named.update(word.strip().lower() for word in text.split(','))
    # A client must not make us drop a header that frames the message.
    return named - {'content-length', 'content-type', 'host'}
