"""Argument types that several commands use."""

from __future__ import annotations

from argparse import ArgumentTypeError
from typing import Final, TypeVar

from pydantic import TypeAdapter, ValidationError

from sardinetrack.config.address import HttpUrl
from sardinetrack.config.model import Port
from sardinetrack.errors.problem import strip_error_prefix

Content = TypeVar('Content')

_PORT: Final = TypeAdapter[int](Port)
_URL: Final = TypeAdapter[str](HttpUrl)


def port_number(text: str) -> int:
    """Parse a port.

    :raises ArgumentTypeError: the text is not a port.
    """
    return _validate(_PORT, text)


def http_url(text: str) -> str:
    """Parse the URL of an endpoint, whose host is an IP address.

    :raises ArgumentTypeError: the text is not such a URL.
    """
    return _validate(_URL, text)


def _validate(adapter: TypeAdapter[Content], text: str) -> Content:
    try:
        return adapter.validate_python(text)
    except ValidationError as error:
        message = error.errors(include_url=False)[0]['msg']
        raise ArgumentTypeError(strip_error_prefix(message).lower()) from error
