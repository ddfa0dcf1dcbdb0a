"""Responses of a side's HTTP endpoints."""

from __future__ import annotations

from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from msgspec import Struct

from sardinetrack.errors.api import RequestError
from sardinetrack.errors.table import error_response_for
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.http.client import StreamedResponse
from sardinetrack.messages.run import RESULT_HEADER, AttemptStatus, RunResult
from sardinetrack.messages.run_codec import (
    SERVER_HEADERS_HEADER,
    encode_run_result,
    encode_server_headers,
)

_STATUS_OF_FATE: Final = MappingProxyType(
    {
        AttemptStatus.FAILED: HTTPStatus.BAD_GATEWAY,
        AttemptStatus.STOPPED: HTTPStatus.BAD_GATEWAY,
        AttemptStatus.NOT_STARTED: HTTPStatus.CONFLICT,
    },
)


class PeerErrorBody(Struct, frozen=True):
    """Body of an error response."""

    code: str
    message: str


async def send_error(exchange: HttpExchange, error: RequestError) -> None:
    """Respond with the status and message of the error's kind."""
    row = error_response_for(error.kind)
    content = PeerErrorBody(error.kind.value, error.detail or row.message)
    await exchange.respond_json(row.status, content)


async def send_result(
    exchange: HttpExchange,
    run_result: RunResult,
    status: int | None = None,
) -> None:
    """Respond to a run request without a response of the backend server.

    :param status: ``None`` for the default status of the result's fate.
    """
    await exchange.respond(
        status or _STATUS_OF_FATE.get(run_result.fate, HTTPStatus.CONFLICT),
        headers=[(RESULT_HEADER, encode_run_result(run_result))],
    )


async def start_response(
    exchange: HttpExchange,
    run_result: RunResult,
    response: StreamedResponse,
) -> None:
    """Start the response that passes on that of the backend server."""
    await exchange.start(
        HTTPStatus.OK,
        [
            (RESULT_HEADER, encode_run_result(run_result)),
            (SERVER_HEADERS_HEADER, encode_server_headers(response.headers)),
        ],
    )
