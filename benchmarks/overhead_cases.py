"""The processes and calls of the overhead benchmark."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Final

from benchmarks.probe.connection import ProbeRequest
from benchmarks.probe.processor import processor_seconds
from support.fleet import Fleet

TOKEN: Final = 'benchmark-token'
UNLIMITED: Final = 100_000
STREAMED_TOKENS: Final = 16
TOKEN_SECONDS: Final = 0.004
CALLERS: Final = 8
ENTRY: Final = 'entry-a'


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of call, both directly to the server and through the entry."""

    name: str
    side: str
    direct_url: str
    direct: ProbeRequest
    routed: ProbeRequest


class OverheadFleet:
    """The started processes and the cases that run through them."""

    def __init__(self, fleet: Fleet) -> None:
        """Start everything and wait until the entry uses all sides."""
        self.fleet = fleet
        fleet.start_platform()
        fleet.workspace(
            'pilot',
            TOKEN,
            rate_per_second=UNLIMITED,
            concurrency=UNLIMITED,
            waiting=UNLIMITED,
        )
        self.cases = (
            self._short_completion(),
            self._streamed_completion(),
            self._service_call(),
        )
        fleet.start_entry(ENTRY)
        fleet.wait_linked(ENTRY, len(self.cases))
        fleet.wait_ready(ENTRY, *(case.side for case in self.cases))

    def processor_seconds(self, name: str) -> float:
        """Return the processor time of one of the processes."""
        return processor_seconds(self.fleet.processes[name].pid)

    def _short_completion(self) -> Case:
        url = self._model('short', base_token_seconds=0, knee=UNLIMITED)
        request = _completion('short', 1, stream=False)
        return Case('short completion', 'side-short-0', url, request, request)

    def _streamed_completion(self) -> Case:
        url = self._model(
            'stream',
            base_token_seconds=TOKEN_SECONDS,
            knee=UNLIMITED,
        )
        request = _completion('stream', STREAMED_TOKENS, stream=True)
        name = f'stream of {STREAMED_TOKENS}'
        return Case(name, 'side-stream-0', url, request, request)

    def _service_call(self) -> Case:
        calls = [{'method': 'POST', 'path_prefix': '/'}]
        self.fleet.service_pool('charts', calls, slots_per_server=CALLERS * 2)
        url = self.fleet.start_service('charts-0')
        self.fleet.start_side('charts', 'charts-0', url)
        return Case(
            'service call',
            'side-charts-0',
            url,
            _service('/lookup/1'),
            _service('/services/charts/lookup/1'),
        )

    def _model(self, name: str, **rates: float) -> str:
        self.fleet.model_pool(name, name, slots_per_server=CALLERS * 2)
        url = self.fleet.start_engine(
            f'{name}-0',
            model=name,
            rates={'prefill_token_seconds': 0, **rates},
        )
        self.fleet.start_side(name, f'{name}-0', url)
        return url


def _completion(model: str, tokens: int, *, stream: bool) -> ProbeRequest:
    content = f'draft a bulletin tokens={tokens}'
    request = {
        'model': model,
        'messages': [{'role': 'user', 'content': content}],
        'max_tokens': tokens,
        'stream': stream,
    }
    return ProbeRequest(
        'POST',
        '/v1/chat/completions',
        json.dumps(request).encode(),
        TOKEN,
        b'w0-',
    )


def _service(path: str) -> ProbeRequest:
    return ProbeRequest('POST', path, b'{"ship": "Varna"}', TOKEN, b'{')
