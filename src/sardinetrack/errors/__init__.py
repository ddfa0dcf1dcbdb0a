"""All error kinds, and the response that a caller gets for each."""

from __future__ import annotations

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import ERROR_RESPONSES, ErrorResponse, answer_for

__all__ = [
    'ERROR_RESPONSES',
    'AnsweredError',
    'ErrorResponse',
    'ErrorKind',
    'answer_for',
]
