"""Selects the end-to-end headers of forwarded requests and responses."""

from __future__ import annotations

import re
import uuid
from collections.abc import Iterable
from typing import Final

from sardinetrack.entry.error_responses import REQUEST_ID_HEADER

HeaderList = list[tuple[str, str]]

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


def request_headers_to_forward(
    pairs: HeaderList, request_id: str
) -> HeaderList:
    """Select the caller's headers that the backend server receives.

    The bearer token is dropped: it is a secret between the caller and the
    entry.

    :param pairs: the caller's headers.
    :param request_id: sent to the server, so that its logs can be correlated.
    :return: the headers to send.
    """
    kept = [pair for pair in _end_to_end(pairs) if pair[0] not in _REQUEST_ONLY]
    kept.append((REQUEST_ID_HEADER, request_id))
    return kept


def response_headers_to_forward(pairs: Iterable[tuple[str, str]]) -> HeaderList:
    """Select the backend server's headers that the caller receives.

    :param pairs: the headers of the side's response.
    :return: the headers to send.
    """
    return [
        pair
        for pair in _end_to_end(list(pairs))
        if pair[0] != REQUEST_ID_HEADER
    ]


def caller_request_id(given: str | None) -> str:
    """Return the caller's request id if it is safe to use, else a new one.

    :param given: the value of the caller's ``x-request-id`` header.
    :return: an id of at most 128 letters, digits and ``._:-``.
    """
    if given is not None and _REQUEST_ID.fullmatch(given):
        return given
    return uuid.uuid4().hex


def _end_to_end(pairs: HeaderList) -> HeaderList:
    dropped = _HOP_BY_HOP | _named_by_connection(pairs)
    return [
        pair
        for pair in pairs
        if pair[0] not in dropped and not pair[0].startswith(_OWN_PREFIX)
    ]


def _named_by_connection(pairs: HeaderList) -> set[str]:
    named: set[str] = set()
    for name, text in pairs:
        if name == _CONNECTION:
            named.update(word.strip().lower() for word in text.split(','))
    # A caller must not be able to remove a header that frames the message.
    return named - {'content-length', 'content-type', 'host'}
