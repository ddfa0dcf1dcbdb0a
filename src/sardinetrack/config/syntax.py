"""Parses JSON with comments; errors are located by line and column."""

from __future__ import annotations

import re
from typing import Any, Final

import pyjson5

from sardinetrack.errors.problem import ValidationProblem

_OFFSET_PATTERN: Final = re.compile(r'\s*\b(?:near|starting near) (\d+),?')
_CODE_POINT_PATTERN: Final = re.compile(r'U\+([0-9a-fA-F]{4,6})')
_BYTES_PATTERN: Final = re.compile(r"b'(\w+)'")
_HEXADECIMAL_BASE: Final = 16


class SyntaxProblemError(Exception):
    """The text is not JSON."""

    def __init__(self, problem: ValidationProblem) -> None:
        """Create the error.

        :param problem: location and reason.
        """
        super().__init__(str(problem))
        self.problem = problem


def parse_text(text: str) -> Any:
    """Parse JSON with comments.

    :param text: the complete file.
    :return: its content, not yet validated.
    :raises SyntaxProblemError: with line and column.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        problem = _locate(text, error.args[0], error.args[2] or '')
        raise SyntaxProblemError(problem) from error


def _locate(text: str, message: str, character: str) -> ValidationProblem:
    found = _OFFSET_PATTERN.search(message)
    start = max(int(found.group(1)) - 1, 0) if found else 0
    # The library reports a position before the white space that precedes the
    # character.
    offset = max(text.find(character, start), start)
    before = text[:offset]
    line = before.count('\n') + 1
    column = offset - before.rfind('\n')
    return ValidationProblem(
        f'line {line}, column {column}', _plain_reason(message)
    )


def _plain_reason(message: str) -> str:
    plain = _OFFSET_PATTERN.sub('', message)
    plain = _BYTES_PATTERN.sub(r'\1', plain).replace('JSON5Value', 'a value')
    plain = _CODE_POINT_PATTERN.sub(_character, plain)
    return plain[:1].lower() + plain[1:]


def _character(found: re.Match[str]) -> str:
    return repr(chr(int(found.group(1), _HEXADECIMAL_BASE)))
