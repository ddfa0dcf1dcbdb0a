"""Cost of a running stream and of each of its tokens at entry and side.

Measured in real processes, because most of a stream's memory is in tasks and
connections.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

from benchmarks.probe.connection import ProbeRequest
from benchmarks.probe.processor import processor_seconds, resident_bytes
from benchmarks.probe.table import Spread
from benchmarks.slopes.figure import Figure
from support.fleet import Fleet

STREAMS: Final = (50, 200)
TOKEN_SECONDS: Final = 0.3
TOKENS: Final = 60
RUNS: Final = 3
MEASURED_SECONDS: Final = 4.0
SETTLE_SECONDS: Final = 3.0
ENTRY: Final = 'entry-a'
SIDE: Final = 'side-engine-0'
_TOKEN: Final = 'benchmark-token'
_UNLIMITED: Final = 100_000
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Reading:
    """Processor time and memory of one process."""

    seconds: float
    memory_bytes: float


def measure() -> Iterator[Figure]:
    """Measure at two numbers of streams."""
    with Fleet() as fleet:
        _start(fleet)
        idle = {name: _read(fleet, name) for name in (ENTRY, SIDE)}
        time.sleep(MEASURED_SECONDS)
        for name, reading in idle.items():
            spent = _read(fleet, name).seconds - reading.seconds
            each = spent / MEASURED_SECONDS * _MICROSECONDS
            yield Figure(f'idle {name}', '1', 'us/s', Spread.of([each]))
            memory = Spread.of([reading.memory_bytes])
            yield Figure(f'idle {name}', '1', 'bytes resident', memory)
        for streams in STREAMS:
            yield from _measure_streams(fleet, streams, idle)


def _start(fleet: Fleet) -> None:
    fleet.start_platform()
    fleet.workspace(
        'pilot',
        _TOKEN,
        rate_per_second=_UNLIMITED,
        concurrency=_UNLIMITED,
        waiting=_UNLIMITED,
    )
    fleet.model_pool('pool', 'model', slots_per_server=max(STREAMS) * 2)
    rates = {'base_token_seconds': TOKEN_SECONDS, 'knee': _UNLIMITED}
    url = fleet.start_engine('engine-0', model='model', rates=rates)
    fleet.start_side('pool', 'engine-0', url)
    fleet.start_entry(ENTRY)
    fleet.wait_linked(ENTRY, 1)
    fleet.wait_ready(ENTRY, SIDE)


def _measure_streams(
    fleet: Fleet,
    streams: int,
    idle: dict[str, Reading],
) -> Iterator[Figure]:
    token_us: dict[str, list[float]] = {ENTRY: [], SIDE: []}
    with ExitStack() as stack:
        for _ in range(streams):
            stack.enter_context(_open_stream(fleet.url(ENTRY)))
        time.sleep(SETTLE_SECONDS)
        for _ in range(RUNS):
            _measure_tokens(fleet, streams, token_us)
        memory = {name: _read(fleet, name).memory_bytes for name in token_us}
    size = f'{streams} streams'
    for name, samples in token_us.items():
        yield Figure(f'token at {name}', size, 'us', Spread.of(samples))
        grown = (memory[name] - idle[name].memory_bytes) / streams
        each = Spread.of([grown])
        yield Figure(f'stream at {name}', size, 'bytes resident', each)
    time.sleep(SETTLE_SECONDS)


def _measure_tokens(
    fleet: Fleet,
    streams: int,
    token_us: dict[str, list[float]],
) -> None:
    before = {name: _read(fleet, name) for name in token_us}
    time.sleep(MEASURED_SECONDS)
    tokens = streams * MEASURED_SECONDS / TOKEN_SECONDS
    for name, samples in token_us.items():
        spent = _read(fleet, name).seconds - before[name].seconds
        samples.append(spent / tokens * _MICROSECONDS)


def _open_stream(url: str) -> socket.socket:
    """Request a stream whose response fits in the kernel's buffer."""
    address = url.rpartition('/')[2]
    host, _, port = address.rpartition(':')
    content = {
        'model': 'model',
        'messages': [{'role': 'user', 'content': f'x tokens={TOKENS}'}],
        'stream': True,
    }
    request = ProbeRequest(
        'POST',
        '/v1/chat/completions',
        json.dumps(content).encode(),
        _TOKEN,
        b'',
    )
    connection = socket.create_connection((host, int(port)))
    connection.sendall(request.encode(address))
    return connection


def _read(fleet: Fleet, name: str) -> Reading:
    pid = fleet.processes[name].pid
    return Reading(processor_seconds(pid), resident_bytes(pid))
