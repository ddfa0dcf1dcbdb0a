"""Splits JSON into its parts without decoding them.

Where one part can't be decoded, the others still can. Nothing here recurses,
whatever the depth of a text.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError

_STRING: Final = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_KEY: Final = re.compile(rb'\s*(%b)\s*:' % _STRING, re.DOTALL)
_SCALARS: Final = re.compile(rb'(?:[^\[\]{},"]++|%b)*+' % _STRING, re.DOTALL)
_BRACKETS: Final = re.compile(
    rb'(?:[^\[\]{}"]++|%b)*+([\[{]+|[\]}]+)' % _STRING, re.DOTALL
)
_UNBALANCED: Final = 'quotes or brackets are not balanced'
_OPENING: Final = b'[{'
_COMMA: Final = ord(',')
_STRINGS: Final = JsonDecoder[str](str)


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's items.

    :raises UnreadableError: it is no array.
    """
    return list(_parts(text, b'[', b']'))


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values by key.

    A value without a readable key is left out.

    :raises UnreadableError: it is no object.
    """
    members: dict[str, bytes] = {}
    for part in _parts(text, b'{', b'}'):
        key = _KEY.match(part)
        if key is None:
            raise UnreadableError('an object has a value without a key')
        try:
            name = _STRINGS.decode(key.group(1))
        except UnreadableError:
            continue
        members[name] = part[key.end() :].strip()
    return members


def _parts(text: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yield what commas separate on the outermost level."""
    stripped = text.strip()
    if not stripped.startswith(opening) or not stripped.endswith(closing):
        raise UnreadableError('neither an array nor an object')
    start = len(opening)
    position = start
    end = len(stripped) - len(closing)
    while position < end:
        if stripped[position] == _COMMA:
            yield stripped[start:position]
            position += 1
            start = position
        else:
            position = _next_comma(stripped, position, end)
    last = stripped[start:end]
    if last.strip():
        yield last


def _next_comma(text: bytes, position: int, end: int) -> int:
    """Return where the next comma is that is not nested, or the end."""
    while position < end:
        scalars = _SCALARS.match(text, position, end)
        assert scalars is not None  # noqa: S101
        position = scalars.end()
        if position == end or text[position] == _COMMA:
            return position
        position = _container_end(text, position)
    if position > end:
        raise UnreadableError(_UNBALANCED)
    return position


def _container_end(text: bytes, position: int) -> int:
    """Return where the array or object ends that begins at a position."""
    depth = 0
    if text[position] not in _OPENING:
        raise UnreadableError(_UNBALANCED)
    while True:
        brackets = _BRACKETS.match(text, position)
        if brackets is None:
            raise UnreadableError(_UNBALANCED)
        first, position = brackets.span(1)
        if text[first] in _OPENING:
            depth += position - first
        elif position - first < depth:
            depth -= position - first
        else:
            return first + depth
