"""Decodes addresses of the form IP:PORT."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Final

_PORT: Final = re.compile('[0-9]{1,5}')
MAX_PORT: Final = 65_535


def parse_endpoint(address: str) -> tuple[str, int]:
    """Decode an address to which connections can be opened.

    :raises ValueError: it is not an IPv4 address and a port.
    """
    ip, _, port = address.rpartition(':')
    number = int(port) if _PORT.fullmatch(port) else 0
    try:
        host = str(IPv4Address(ip))
    except ValueError:
        host = ''
    if not host or not 0 < number <= MAX_PORT:
        raise ValueError(f'{address!r} is not IP:PORT')
    return host, number
