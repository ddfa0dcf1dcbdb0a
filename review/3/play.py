"""A stream whose text contains ``id:`` goes on at the wrong event.

A caller gets a complete bulletin in which events are missing, or come twice.
An engine crashes in the middle of its streams; the entry continues them at
another engine, after the number that it found in the text of the last event in
place of that event's id.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / '1' / 'standins'))

from fleet import (  # noqa: E402
    MODEL_SERVICE,
    ONCE_ROUTE,
    PLAIN_SERVICE,
    STREAM_ROUTE,
    Fleet,
    ask,
    configuration,
    put,
    run_case,
    wants_trouble,
)

KEY = 'k7b2ex5wa5xwyhks8nbk'
ENGINES = 6
"""One of six that crashes, or leaves with VARIANT=moves, is a share of 0.167."""
STREAMS = 96
EVENTS = 60
GAP_MS = 50
TEXTS = (
    'floe id: 40',
    'class 3, ridged, drifting SW',
    'seen from Varna roads at 0410',
    'next grid: 43 N 28 E',
)
"""What a tagging model may write, one piece an event."""
CRASHING = 'i-model-0'


async def play(fleet: Fleet, record: list, trouble: bool) -> bool:
    """Play; return whether the rule was broken."""
    await fleet.start_store()
    tenants = [{'name': 'pilots', 'apiKeys': [KEY]}]
    moves = os.environ.get('VARIANT') == 'moves'
    engine = {**MODEL_SERVICE['engine'], 'moves': moves, 'handleTtlS': 5.0}
    models = {**MODEL_SERVICE, 'engine': engine}
    spec = configuration(
        7, [STREAM_ROUTE, ONCE_ROUTE], [models, PLAIN_SERVICE], tenants
    )
    await put(fleet.store, 'config/main', spec)
    for number in range(ENGINES):
        fleet.start_server(
            f'i-model-{number}', 'models', model=True, slots=64,
            texts=TEXTS, events=EVENTS, gap_ms=GAP_MS, moves=moves,
        )
    await fleet.registered()
    for number in range(2):
        fleet.start_entry(f'entry-{number}')
    await fleet.ready()
    await asyncio.sleep(5)
    fleet.check_alive()
    entries = list(fleet.entries.items())
    streams = []
    for number in range(STREAMS):
        streams.append(asyncio.create_task(_stream(entries[number % 2], number)))
        await asyncio.sleep(0.015)
    await asyncio.sleep(1.0)
    if trouble and moves:
        # Its streams move 1 s after it has said that it leaves.
        fleet.signal(CRASHING, 15)
        record.append((time.monotonic(), f'CHECK: {CRASHING} leaves as planned'))
    elif trouble:
        fleet.signal(CRASHING, 9)
        record.append((time.monotonic(), f'CHECK: {CRASHING} crashes'))
    answers = await asyncio.gather(*streams)
    fleet.check_alive(but=(CRASHING,))
    return _judge(fleet, record, answers)


def _judge(fleet: Fleet, record: list, answers: list) -> bool:
    """ORDER: no piece is missing, or comes twice."""
    runs: dict[str, list[dict]] = {}
    for one in fleet.runs():
        if one['what'] == 'run':
            runs.setdefault(one['id'], []).append(one)
        record.append((one['t'], (
            f"{one['what']} {one.get('id', '')} at {one['server']}"
            f" after {one.get('after')}"
        )))
    broken = 0
    continued = 0
    for one in answers:
        numbers = _numbers(one.body)
        state = 'complete' if one.complete else f'cut ({one.error})'
        record.append((one.sent, f'sent {one.id} to {one.entry}'))
        record.append((one.ended, f'answer {one.id} {one.status} {state}'))
        continued += len(runs.get(one.id, ())) > 1
        wanted = list(range(1, EVENTS + 1))
        if not one.complete:
            wanted = wanted[: len(numbers)]
        if one.status == 200 and numbers != wanted:
            broken += 1
            missing = [n for n in wanted if n not in numbers]
            twice = sorted({n for n in numbers if numbers.count(n) > 1})
            record.append((one.ended, (
                f'SEEN: {one.id} is {state}; missing {missing}; twice {twice}; '
                f"runs: {[(r['server'], r['after']) for r in runs[one.id]]}"
            )))
    now = time.monotonic()
    served = sum(one.status == 200 and one.complete for one in answers)
    record.append((now, (
        f'SEEN: {served} of {len(answers)} streams are complete, '
        f'{continued} were continued at another engine'
    )))
    record.append((now, (
        f'RULE ORDER: in {broken} streams a piece is missing or comes twice'
    )))
    return broken > 0


def _numbers(body: bytes) -> list[int]:
    """Return the ids of the events: the field that begins a line."""
    return [
        int(line[3:])
        for line in body.split(b'\n')
        if line.startswith(b'id:')
    ]


async def _stream(entry: tuple[str, str], number: int):
    part = f'{random.getrandbits(32):08x}'
    headers = (
        ('X-Sardinetrack-Model', 'm'),
        ('X-Sardinetrack-Token-Count', f'300,{6 * EVENTS}'),
        ('X-Sardinetrack-Prefix-Hash', f'{part}:300'),
    )
    body = f'tag the floes of pass {number}'.encode()
    return await ask(
        entry, '/bulletin/3', body, key=KEY, seconds=15, headers=headers
    )


if __name__ == '__main__':
    sys.exit(run_case(CASE, play, trouble=wants_trouble()))
