"""JSON codec of the messages."""

from __future__ import annotations

import msgspec

from sardinetrack.messages.api import LinkMessage

_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[LinkMessage] = msgspec.json.Decoder(LinkMessage)


def encode(message: LinkMessage) -> bytes:
    """Write a message as one line of JSON.

    :param message: any message of a control link.
    :return: UTF-8 text.
    """
    return _ENCODER.encode(message)


def decode(text: bytes | str) -> LinkMessage:
    """Read and validate a message.

    :param text: one frame of a control link.
    :return: the message.
    :raises msgspec.DecodeError: the frame is no valid message.
    """
    return _DECODER.decode(text)
