"""Answers of a side's endpoints."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from sardinetrack.errors.api import AnsweredError
from sardinetrack.errors.table import answer_for
from sardinetrack.http.asgi import Exchange
from sardinetrack.http.client import StreamedReply
from sardinetrack.messages.run import RESULT_HEADER, Fate, RunResult
from sardinetrack.messages.run_codec import (
    SERVER_HEADERS_HEADER,
    result_text,
    server_headers_text,
)

_STATUS_OF_FATE: Final = MappingProxyType(
    {
        Fate.FAILED: HTTPStatus.BAD_GATEWAY,
        Fate.STOPPED: HTTPStatus.BAD_GATEWAY,
        Fate.NOT_STARTED: HTTPStatus.CONFLICT,
    },
)


class ErrorAnswer(Struct, frozen=True):
    """Body of a refused call."""

    code: str
    message: str


async def answer_error(exchange: Exchange, error: AnsweredError) -> None:
    """Answer with the error's row of the table."""
    row = answer_for(error.kind)
    content = ErrorAnswer(error.kind.value, error.detail or row.message)
    await exchange.answer_json(row.status, content)


async def answer_result(
    exchange: Exchange,
    run_result: RunResult,
    status: int | None = None,
) -> None:
    """Answer an order that brings no answer of the backend server.

    :param status: ``None`` for the usual one of the result's fate.
    """
    await exchange.answer(
        status or _STATUS_OF_FATE.get(run_result.fate, HTTPStatus.CONFLICT),
        headers=[(RESULT_HEADER, result_text(run_result))],
    )


async def start_answer(
    exchange: Exchange,
    run_result: RunResult,
    reply: StreamedReply,
) -> None:
    """Begin to pass on an answer of the backend server."""
    await exchange.start(
        HTTPStatus.OK,
        [
            (RESULT_HEADER, result_text(run_result)),
            (SERVER_HEADERS_HEADER, server_headers_text(reply.headers)),
        ],
    )
