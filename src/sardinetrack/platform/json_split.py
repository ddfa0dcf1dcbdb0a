"""Splits JSON into its parts without decoding them.

Where one part can't be decoded, the others still can. Nothing here recurses,
whatever the depth of a text, and the time grows with the length of a text only,
however many brackets it has.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final, NamedTuple

from sardinetrack.messages.json_input import JsonDecoder, UnreadableError

_STRING: Final = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_STRING_REST: Final = re.compile(rb'[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_SPACE: Final = re.compile(rb'[ \t\r\n]*+')
_KEY: Final = re.compile(rb'\s*(%b)\s*:\s*' % _STRING, re.DOTALL)
_SCALARS: Final = re.compile(rb'(?:[^\[\]{},"]++|%b)*+' % _STRING, re.DOTALL)
_BRACKETS: Final = re.compile(
    rb'(?:[^\[\]{}"]++|%b)*+([\[{]+|[\]}]+)' % _STRING, re.DOTALL
)
_RUNS: Final = re.compile(rb'\(+|\)+')
_TO_ROUND: Final = bytes.maketrans(b'[{]}', b'(())')
_BYTE_VALUES: Final = 256
_NO_BRACKETS: Final = bytes(range(_BYTE_VALUES)).translate(None, b'[]{}')
_PAIR: Final = b'()'
_OPENING: Final = b'[{'
_UNBALANCED: Final = 'quotes or brackets are not balanced'
_NAMES: Final = JsonDecoder[str](str)
_BLOCK_BYTES: Final = 4096
_FEW_PAIRS_DIVISOR: Final = 32
"""Pairs of brackets are removed from a block while that shortens it by more
than this fraction; few runs of brackets remain then."""


class JsonCursor:
    """Reads the outer levels of a text, and skips what is nested in them."""

    def __init__(self, text: bytes) -> None:
        """Start at the beginning of the text."""
        self._text = text
        self._position = 0

    def items(self) -> Iterator[None]:
        """Stop at each item of the array that begins here.

        The item must be read or skipped before the next one.

        :raises UnreadableError: no array begins here.
        """
        yield from self._parts(b'[', b']')

    def members(self) -> Iterator[str]:
        """Stop at the value of each member of the object that begins here.

        A value without a readable key is skipped.

        :return: the keys.
        :raises UnreadableError: no object begins here.
        """
        for _ in self._parts(b'{', b'}'):
            key = _KEY.match(self._text, self._position)
            if key is None:
                raise UnreadableError('an object has a value without a key')
            self._position = key.end()
            try:
                name = _NAMES.decode(key.group(1))
            except UnreadableError:
                self.skip()
            else:
                yield name

    def value(self) -> bytes:
        """Return the text of the value that begins here."""
        self._skip_space()
        start = self._position
        self.skip()
        return self._text[start : self._position].rstrip()

    def skip(self) -> None:
        """Skip up to the end of the value that begins here.

        :raises UnreadableError: it has no end.
        """
        text = self._text
        while True:
            scalars = _SCALARS.match(text, self._position)
            assert scalars is not None  # noqa: S101
            self._position = scalars.end()
            following = text[self._position : self._position + 1]
            if following and following in _OPENING:
                self._position = _container_end(text, self._position)
            elif following == b'"':
                raise UnreadableError(_UNBALANCED)
            else:
                return

    def _parts(self, opening: bytes, closing: bytes) -> Iterator[None]:
        """Stop at whatever commas separate between two brackets."""
        if not self._take(opening):
            raise UnreadableError('neither an array nor an object')
        if self._take(closing):
            return
        while True:
            start = self._position
            yield
            if self._position == start:
                # Nothing between two commas.
                self.skip()
            if self._take(closing):
                return
            if not self._take(b','):
                raise UnreadableError(_UNBALANCED)

    def _take(self, expected: bytes) -> bool:
        """Return whether a character comes next, and skip it if so."""
        self._skip_space()
        found = self._text.startswith(expected, self._position)
        self._position += found
        return found

    def _skip_space(self) -> None:
        space = _SPACE.match(self._text, self._position)
        assert space is not None  # noqa: S101
        self._position = space.end()


class _Scan(NamedTuple):
    """How far the search for the end of a container has come."""

    position: int
    depth: int
    end: int | None = None


class _Block(NamedTuple):
    """A part of a text, and where the one after it begins."""

    outside: bytes
    """What stands outside of strings."""
    end: int
    ends_inside: bool
    """Whether it ends within a string."""


def _container_end(text: bytes, position: int) -> int:
    """Return where the array or object ends that begins at a position.

    :raises UnreadableError: it does not end.
    """
    scan = _follow_runs(text, _Scan(position, 0))
    if scan.end is None:
        scan = _follow_runs(text, _skip_blocks(text, scan))
    if scan.end is None:
        raise UnreadableError(_UNBALANCED)
    return scan.end


def _follow_runs(text: bytes, scan: _Scan) -> _Scan:
    """Follow each run of brackets within a block."""
    position, depth = scan.position, scan.depth
    limit = position + _BLOCK_BYTES
    while True:
        brackets = _BRACKETS.match(text, position, limit)
        if brackets is None:
            return _Scan(position, depth)
        first, position = brackets.span(1)
        if text[first] in _OPENING:
            depth += position - first
        elif position - first < depth:
            depth -= position - first
        else:
            return _Scan(position, depth, first + depth)


def _skip_blocks(text: bytes, scan: _Scan) -> _Scan:
    """Skip the blocks in which the container does not end."""
    position, depth = scan.position, scan.depth
    inside = False
    while position < len(text):
        block = _next_block(text, position, inside=inside)
        following = _depth_after(block.outside, depth)
        if following is None:
            return _Scan(_string_end(text, position, inside=inside), depth)
        position, depth, inside = block.end, following, block.ends_inside
    return _Scan(position, depth)


def _string_end(text: bytes, position: int, *, inside: bool) -> int:
    rest = _STRING_REST.match(text, position) if inside else None
    return rest.end() if rest else position


def _next_block(text: bytes, position: int, *, inside: bool) -> _Block:
    """Return the block that begins at a position.

    :param inside: whether the position is within a string.
    :raises UnreadableError: a string does not end.
    """
    block = text[position : position + _BLOCK_BYTES]
    # No block ends within an escape sequence.
    block = block[: len(block) - _trailing_backslashes(block) % 2]
    if not block:
        raise UnreadableError(_UNBALANCED)
    unescaped = block.replace(rb'\\', b'').replace(rb'\"', b'')
    parts = unescaped.split(b'"')
    return _Block(
        outside=b''.join(parts[inside::2]),
        end=position + len(block),
        ends_inside=inside != (len(parts) % 2 == 0),
    )


def _trailing_backslashes(block: bytes) -> int:
    return len(block) - len(block.rstrip(b'\\'))


def _depth_after(outside: bytes, depth: int) -> int | None:
    """Return the depth of nesting after a block; ``None`` if it reaches 0.

    :param outside: of its strings.
    :param depth: at its beginning.
    """
    brackets = _without_pairs(outside.translate(_TO_ROUND, _NO_BRACKETS))
    for run in _RUNS.finditer(brackets):
        length = run.end() - run.start()
        if run.group().startswith(b'('):
            depth += length
        elif length < depth:
            depth -= length
        else:
            return None
    return depth


def _without_pairs(brackets: bytes) -> bytes:
    """Remove what is opened and closed at once, level by level."""
    while True:
        shorter = brackets.replace(_PAIR, b'')
        removed = len(brackets) - len(shorter)
        if removed * _FEW_PAIRS_DIVISOR <= len(brackets):
            return shorter
        brackets = shorter
