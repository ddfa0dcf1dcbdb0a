"""As much of HTTP/1.1 as the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus


@dataclass
class Request:
    """One request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Head:
    """Status and headers of a response."""

    status: int
    headers: dict[str, str]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, headers = _parse(head)
    method, target, _ = first.split(' ', 2)
    body = b''
    if 'transfer-encoding' in headers:
        body = b''.join([piece async for piece in read_chunks(reader)])
    elif int(headers.get('content-length', '0')):
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a response."""
    first, headers = _parse(await reader.readuntil(b'\r\n\r\n'))
    return Head(int(first.split(' ')[1]), headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raise if it ends early."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        yield piece[:-2]


def response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} {HTTPStatus(status).phrase}']
    lines += [f'{name}: {content}' for name, content in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _parse(head: bytes) -> tuple[str, dict[str, str]]:
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers
