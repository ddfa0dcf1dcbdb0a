"""Field types for addresses: only IP addresses and plain HTTP URLs."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator


def _check_ip(text: str) -> str:
    try:
        return str(ip_address(text))
    except ValueError as error:
        raise ValueError(
            'an IP address is required, not a host name'
        ) from error


def _check_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != 'http':
        raise ValueError('a URL that starts with http:// is required')
    if parts.username is not None or parts.query or parts.fragment:
        raise ValueError('a URL without user, query and fragment is required')
    _check_ip(parts.hostname or '')
    if parts.port == 0:
        raise ValueError('port 0 is not allowed')
    return text.rstrip('/')


IpNumber = Annotated[str, AfterValidator(_check_ip)]
HttpUrl = Annotated[str, AfterValidator(_check_url)]
