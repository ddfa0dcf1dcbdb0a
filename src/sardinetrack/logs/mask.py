"""Mask secrets in log lines, whatever is passed to the logger."""

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

    Components pass no tokens to the logger; this is a second safeguard. A
    header that got into a message or a traceback would let any reader of the
    logs act as that caller, so every line is masked as the last step.

    :param text: a formatted log line.
    :return: the line with what follows the word ``Bearer`` masked.
    """
    return _BEARER.sub(rf'\1{MASK}', text)


def is_secret_name(field: str) -> bool:
    """Return whether a field's name marks its value as secret."""
    return field.lower() in _SECRET_NAMES
