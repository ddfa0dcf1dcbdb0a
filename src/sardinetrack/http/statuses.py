"""Status codes of HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

MAX_STATUS: Final = 599


def is_status(number: int) -> bool:
    """Whether a number is a status code, of an interim response too."""
    return HTTPStatus.CONTINUE <= number <= MAX_STATUS
