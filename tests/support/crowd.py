"""Many callers at once; each knows which words are due to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from hashlib import sha256
from types import TracebackType
from typing import Any, Final, Self

import httpcore

from support.caller import Answer, Caller, StreamedAnswer
from support.standard import SERVICE, completion, words

NOT_RUN_HEADER: Final = 'sardinetrack-not-run'
WHOLE: Final = 'whole'
WRONG: Final = 'wrong words'
CUT: Final = 'cut'
REFUSED: Final = 'connection refused'
BROKEN: Final = 'connection broken'


@dataclass(frozen=True)
class Told:
    """What one caller was told about its request."""

    marker: str
    verdict: str
    """``WHOLE``, the code of an error, or another of this module's words."""
    not_run: bool = False
    codes: tuple[str, ...] = ()
    """Codes of the error events inside a stream, or how it broke."""
    answer: Answer | StreamedAnswer | None = None


def ask_plain(
    caller: Caller, entry_url: str, marker: str, tokens: int = 5
) -> Told:
    """Ask for a completion that is not streamed."""
    return _guarded(
        marker,
        lambda: _told_plain(
            marker, tokens, caller.chat(entry_url, completion(marker, tokens))
        ),
    )


def ask_stream(
    caller: Caller, entry_url: str, marker: str, tokens: int = 5
) -> Told:
    """Ask for a streamed completion."""
    return _guarded(
        marker,
        lambda: _told_stream(
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
) -> Told:
    """Make a call of the service that must not run twice."""
    url = f'{entry_url}/services/{SERVICE}/bills?{query}'
    headers = {'x-standin-key': marker}
    body = marker.encode() if method == 'POST' else None
    return _guarded(
        marker,
        lambda: _told_service(marker, caller.call(method, url, body, headers)),
    )


class Crowd:
    """Callers in threads of their own."""

    def __init__(self, at_once: int = 64) -> None:
        """Start with none."""
        self._threads = ThreadPoolExecutor(at_once)
        self._futures: list[Future[Told]] = []

    def __enter__(self) -> Self:
        """Hand out the crowd."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Wait for all that still call."""
        self._threads.shutdown(cancel_futures=True)

    def send(self, ask: Callable[..., Told], *arguments: Any) -> Future[Told]:
        """Let one more caller ask."""
        future = self._threads.submit(ask, *arguments)
        self._futures.append(future)
        return future

    def run(self, call: Callable[..., Any], *arguments: Any) -> Future[Any]:
        """Let something happen beside the callers."""
        return self._threads.submit(call, *arguments)

    def told(self) -> list[Told]:
        """Wait for all answers."""
        return [future.result() for future in self._futures]


def show(rows: Iterable[Told]) -> str:
    """Describe answers for a failed assertion."""
    return '; '.join(f'{row.marker}: {row.verdict} {row.codes}' for row in rows)


def _guarded(marker: str, ask: Callable[[], Told]) -> Told:
    try:
        return ask()
    except httpcore.ConnectError:
        return Told(marker, REFUSED, not_run=True)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        return Told(marker, BROKEN, codes=(repr(error),))


def _told_plain(marker: str, tokens: int, answer: Answer) -> Told:
    if answer.status != 200:
        return _told_error(marker, answer)
    text = answer.json()['choices'][0]['message']['content']
    due = text.split() == words(marker, tokens)
    return Told(marker, WHOLE if due else WRONG, answer=answer)


def _told_stream(marker: str, tokens: int, answer: StreamedAnswer) -> Told:
    if answer.status != 200:
        plain = Answer(answer.status, answer.headers, answer.rest)
        return _told_error(marker, plain)
    codes = tuple(error['code'] for error in answer.errors)
    got = answer.text.split()
    due = words(marker, tokens)
    if answer.whole and not answer.broken:
        verdict = WHOLE if got == due and not codes else WRONG
    else:
        verdict = CUT if due[: len(got)] == got else WRONG
    return Told(marker, verdict, codes=codes, answer=answer)


def _told_service(marker: str, answer: Answer) -> Told:
    if answer.status != 200:
        return _told_error(marker, answer)
    content = answer.json()
    body = marker.encode() if content['method'] == 'POST' else b''
    due = sha256(body).hexdigest() == content['body_sha256']
    due = due and content['key'] == marker
    return Told(marker, WHOLE if due else WRONG, answer=answer)


def _told_error(marker: str, answer: Answer) -> Told:
    not_run = answer.headers.get(NOT_RUN_HEADER) == 'true'
    return Told(marker, answer.code, not_run, answer=answer)
