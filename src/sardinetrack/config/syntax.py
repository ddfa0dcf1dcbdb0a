"""Read JSON with comments; a mistake comes with its line and column."""

from __future__ import annotations

import re
from typing import Any, Final

import pyjson5

from sardinetrack.errors.problem import Problem

_OFFSET: Final = re.compile(r'\s*\b(?:near|starting near) (\d+),?')
_CODE_POINT: Final = re.compile(r'U\+([0-9a-fA-F]{4,6})')
_BYTES: Final = re.compile(r"b'(\w+)'")
_HEXADECIMAL: Final = 16


class SyntaxProblemError(Exception):
    """The text is no JSON."""

    def __init__(self, problem: Problem) -> None:
        """Remember the place and the reason."""
        super().__init__(str(problem))
        self.problem = problem


def parse_text(text: str) -> Any:
    """Read JSON with comments.

    :param text: a whole file.
    :return: its content, not yet validated.
    :raises SyntaxProblemError: with line and column.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        problem = _locate(text, error.args[0], error.args[2] or '')
        raise SyntaxProblemError(problem) from error


def _locate(text: str, message: str, character: str) -> Problem:
    found = _OFFSET.search(message)
    start = max(int(found.group(1)) - 1, 0) if found else 0
    # The library points before the white space that leads to the character.
    offset = max(text.find(character, start), start)
    before = text[:offset]
    line = before.count('\n') + 1
    column = offset - before.rfind('\n')
    return Problem(f'line {line}, column {column}', _reason(message))


def _reason(message: str) -> str:
    plain = _OFFSET.sub('', message)
    plain = _BYTES.sub(r'\1', plain).replace('JSON5Value', 'a value')
    plain = _CODE_POINT.sub(_character, plain)
    return plain[:1].lower() + plain[1:]


def _character(found: re.Match[str]) -> str:
    return repr(chr(int(found.group(1), _HEXADECIMAL)))
