"""All error kinds, and the response that a caller gets for each."""

from __future__ import annotations

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.errors.table import (
    ERROR_RESPONSES,
    ErrorResponse,
    error_response_for,
)

__all__ = [
    'ERROR_RESPONSES',
    'RequestError',
    'ErrorResponse',
    'ErrorKind',
    'error_response_for',
]
