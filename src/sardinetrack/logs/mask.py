"""Keep secrets out of log lines, whatever a caller of the logger passes."""

from __future__ import annotations

import re
from typing import Final

MASK: Final = '***'

_BEARER: Final = re.compile(r'(bearer[\s:=]+)[^\s"\'\\,;]+', re.IGNORECASE)
_SECRET_NAMES: Final = frozenset(
    ('authorization', 'token', 'secret', 'peer_secret', 'password'),
)


def mask_text(text: str) -> str:
    """Mask bearer tokens.

    The parts pass no tokens to the logger. This is the second safeguard: a
    header that slips into a sentence or a traceback would let any reader of
    the logs act as that caller. Every line passes here as its last step.

    :param text: a finished log line.
    :return: the line without what follows the word ``Bearer``.
    """
    return _BEARER.sub(rf'\1{MASK}', text)


def names_secret(field: str) -> bool:
    """Tell whether a field's name says that its value is secret."""
    return field.lower() in _SECRET_NAMES
