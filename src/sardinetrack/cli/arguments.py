"""Types of arguments that several commands take."""

from __future__ import annotations

from argparse import ArgumentTypeError
from typing import Final, TypeVar

from pydantic import TypeAdapter, ValidationError

from sardinetrack.config.address import HttpUrl
from sardinetrack.config.model import Port
from sardinetrack.errors.problem import reason_of

Content = TypeVar('Content')

_PORT: Final = TypeAdapter[int](Port)
_URL: Final = TypeAdapter[str](HttpUrl)


def port_number(text: str) -> int:
    """Read a port.

    :raises ArgumentTypeError: it is none.
    """
    return _validate(_PORT, text)


def http_url(text: str) -> str:
    """Read the URL of an endpoint, with an IP number.

    :raises ArgumentTypeError: it is none.
    """
    return _validate(_URL, text)


def _validate(adapter: TypeAdapter[Content], text: str) -> Content:
    try:
        return adapter.validate_python(text)
    except ValidationError as error:
        reason = error.errors(include_url=False)[0]['msg']
        raise ArgumentTypeError(reason_of(reason).lower()) from error
