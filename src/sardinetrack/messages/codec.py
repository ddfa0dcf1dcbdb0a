"""JSON codec of the control link messages."""

from __future__ import annotations

import msgspec

from sardinetrack.messages.api import LinkMessage
from sardinetrack.messages.json_input import JsonDecoder

_ENCODER = msgspec.json.Encoder()
_DECODER = JsonDecoder[LinkMessage](LinkMessage)


def encode(message: LinkMessage) -> bytes:
    """Encode a message as one line of JSON.

    :param message: any message of a control link.
    :return: UTF-8 text.
    """
    return _ENCODER.encode(message)


def decode(text: bytes | str) -> LinkMessage:
    """Decode and validate a message.

    :param text: one frame of a control link.
    :return: the message.
    :raises UnreadableError: the frame is not a valid message.
    """
    return _DECODER.decode(text)
