"""Concurrent callers that check whether they received their own response."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from hashlib import sha256
from types import TracebackType
from typing import Any, Final, Self

import httpcore

from support.caller import Caller, CallerResponse, CallerStream
from support.standard import SERVICE, completion, words

NOT_RUN_HEADER: Final = 'sardinetrack-not-run'
COMPLETE: Final = 'complete'
WRONG: Final = 'wrong words'
TRUNCATED: Final = 'truncated'
REFUSED: Final = 'connection refused'
BROKEN: Final = 'connection broken'


@dataclass(frozen=True)
class CallResult:
    """The result of one caller's request."""

    marker: str
    outcome: str
    """``COMPLETE``, an error code, or another of this module's constants."""
    not_run: bool = False
    codes: tuple[str, ...] = ()
    """Codes of the error events in a stream, or the error that broke it."""
    response: CallerResponse | CallerStream | None = None


def request_plain(
    caller: Caller, entry_url: str, marker: str, tokens: int = 5
) -> CallResult:
    """Request a completion that is not streamed."""
    return _guarded(
        marker,
        lambda: _plain_result(
            marker, tokens, caller.chat(entry_url, completion(marker, tokens))
        ),
    )


def request_stream(
    caller: Caller, entry_url: str, marker: str, tokens: int = 5
) -> CallResult:
    """Request a streamed completion."""
    return _guarded(
        marker,
        lambda: _stream_result(
            marker,
            tokens,
            caller.stream(entry_url, completion(marker, tokens)),
        ),
    )


def post_service(
    caller: Caller,
    entry_url: str,
    marker: str,
    query: str = '',
    method: str = 'POST',
) -> CallResult:
    """Call the service; with the default method it must not run twice."""
    url = f'{entry_url}/services/{SERVICE}/bills?{query}'
    headers = {'x-standin-key': marker}
    body = marker.encode() if method == 'POST' else None
    return _guarded(
        marker,
        lambda: _service_result(
            marker, caller.call(method, url, body, headers)
        ),
    )


class CallerPool:
    """Callers that run concurrently, each in a thread of the pool."""

    def __init__(self, max_concurrent: int = 64) -> None:
        self._threads = ThreadPoolExecutor(max_concurrent)
        self._futures: list[Future[CallResult]] = []

    def __enter__(self) -> Self:
        """Return the pool."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Drop calls that have not started and wait for the running ones."""
        self._threads.shutdown(cancel_futures=True)

    def send(
        self,
        send_request: Callable[..., CallResult],
        *arguments: Any,
    ) -> Future[CallResult]:
        """Send one more request; ``results`` includes its result."""
        future = self._threads.submit(send_request, *arguments)
        self._futures.append(future)
        return future

    def run(self, call: Callable[..., Any], *arguments: Any) -> Future[Any]:
        """Make a call concurrently; ``results`` doesn't include its result."""
        return self._threads.submit(call, *arguments)

    def results(self) -> list[CallResult]:
        """Wait for the results of all requests."""
        return [future.result() for future in self._futures]


def describe(results: Iterable[CallResult]) -> str:
    """Describe results for a failed assertion."""
    return '; '.join(
        f'{result.marker}: {result.outcome} {result.codes}'
        for result in results
    )


def _guarded(marker: str, send_request: Callable[[], CallResult]) -> CallResult:
    try:
        return send_request()
    except httpcore.ConnectError:
        return CallResult(marker, REFUSED, not_run=True)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        return CallResult(marker, BROKEN, codes=(repr(error),))


def _plain_result(
    marker: str, tokens: int, response: CallerResponse
) -> CallResult:
    if response.status != 200:
        return _error_result(marker, response)
    text = response.json()['choices'][0]['message']['content']
    is_own = text.split() == words(marker, tokens)
    return CallResult(marker, COMPLETE if is_own else WRONG, response=response)


def _stream_result(
    marker: str, tokens: int, response: CallerStream
) -> CallResult:
    if response.status != 200:
        plain = CallerResponse(
            response.status, response.headers, response.remainder
        )
        return _error_result(marker, plain)
    codes = tuple(error['code'] for error in response.errors)
    received = response.text.split()
    expected = words(marker, tokens)
    if response.complete and not response.broken:
        outcome = COMPLETE if received == expected and not codes else WRONG
    else:
        outcome = TRUNCATED if expected[: len(received)] == received else WRONG
    return CallResult(marker, outcome, codes=codes, response=response)


def _service_result(marker: str, response: CallerResponse) -> CallResult:
    if response.status != 200:
        return _error_result(marker, response)
    content = response.json()
    body = marker.encode() if content['method'] == 'POST' else b''
    is_own = sha256(body).hexdigest() == content['body_sha256']
    is_own = is_own and content['key'] == marker
    return CallResult(marker, COMPLETE if is_own else WRONG, response=response)


def _error_result(marker: str, response: CallerResponse) -> CallResult:
    not_run = response.headers.get(NOT_RUN_HEADER) == 'true'
    return CallResult(marker, response.code, not_run, response=response)
