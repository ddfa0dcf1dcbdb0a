"""An entry of another writer stops the list of servers at every process.

A caller sees a request to a server that leaves, seconds after the store has
acknowledged it. One record of kind ``servers`` holds text that was cut within
an emoji, a lone surrogate. A server then drains as planned; the entries never
learn of it.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE / 'standins'))

from fleet import (  # noqa: E402
    MODEL_SERVICE,
    ONCE_ROUTE,
    PLAIN_SERVICE,
    PROZORKO_BOUNDS,
    STREAM_ROUTE,
    CannotRunError,
    Fleet,
    ask,
    configuration,
    put,
    run_case,
    wants_trouble,
)

KEY = 'k7b2ex5wa5xwyhks8nbk'
PLAIN_SERVERS = 7
"""One of seven that leaves is a share of 0.143."""
REQUESTS_A_SECOND = 20
FOREIGN_BEAT_SECONDS = 1.2
CUT_NOTE = {'owner': 'night shift', 'note': 'moved to hall B \ud83d'}
"""No field of a server, and a note that was cut within an emoji."""
WHOLE_NOTE = {'owner': 'night shift', 'note': 'moved to hall B \U0001f69a'}
"""For comparison (VARIANT=whole): the programs pass over it."""
NESTED = {'owner': 'night shift', 'note': []}
"""VARIANT=nested: a value that is nested more deeply than the programs read."""
NESTED_LEVELS = 1200
LEAVING = 'i-desk-0'
WINDOW_SECONDS = 4.0


async def play(fleet: Fleet, record: list, trouble: bool) -> bool:
    """Play; return whether the rule was broken."""
    await fleet.start_store()
    tenants = [{'name': 'pilots', 'apiKeys': [KEY]}]
    once = {**ONCE_ROUTE, 'timeoutMs': 3000, 'targetLatencyMs': 400}
    plain = {**PLAIN_SERVICE, 'maxConnections': 200}
    spec = configuration(
        7, [STREAM_ROUTE, once], [MODEL_SERVICE, plain], tenants
    )
    await put(fleet.store, 'config/main', spec)
    for number in range(PLAIN_SERVERS):
        fleet.start_server(f'i-desk-{number}', 'desk', work_ms=90)
    for number in range(2):
        fleet.start_server(
            f'i-model-{number}', 'models', model=True, slots=64,
            texts=['ice'], events=10, gap_ms=50,
        )
    await fleet.registered()
    for number in range(2):
        fleet.start_entry(f'entry-{number}')
    await fleet.ready()
    await asyncio.sleep(4)
    answers: list = []
    traffic = asyncio.create_task(_send(fleet, answers))
    others: list[asyncio.Task] = []
    await asyncio.sleep(3)
    fleet.check_alive()
    if trouble:
        at = await put(fleet.store, 'servers/x-relocation', _foreign())
        record.append((at, 'another writer: servers/x-relocation acknowledged'))
        others.append(asyncio.create_task(_beat(fleet)))
    await asyncio.sleep(2)
    fleet.signal(LEAVING, 15)
    record.append((time.monotonic(), f'{LEAVING} is told to leave'))
    await asyncio.sleep(12)
    fleet.check_alive(but=(LEAVING,))
    broken = _judge(fleet, record, answers)
    # For the record only: the entries are stopped and started in turn.
    for name in list(fleet.entries):
        fleet.signal(name, 15)
        await asyncio.to_thread(fleet.processes[name].wait, 10)
        fleet.start_entry(name)
        record.append((time.monotonic(), f'{name} ended after a SIGTERM and starts'))
        await asyncio.sleep(1)
    try:
        await fleet.ready()
    except CannotRunError as error:
        record.append((time.monotonic(), f'SEEN: {error}'))
    late_from = time.monotonic() + fleet.bounds['recoverS']
    await asyncio.sleep(fleet.bounds['recoverS'] + WINDOW_SECONDS)
    for task in (traffic, *others):
        task.cancel()
    await asyncio.gather(traffic, *others, return_exceptions=True)
    late = [one for one in answers if one.sent > late_from]
    served = sum(one.status == 200 for one in late)
    record.append((time.monotonic(), (
        f'SEEN: {served} of {len(late)} requests were served that were sent later '
        f'than recoverS after both entries were back and ready'
    )))
    _describe(fleet, record, answers)
    return broken


def _judge(fleet: Fleet, record: list, answers: list) -> bool:
    """DRAIN, with its bound: drainMs after the acknowledgement."""
    runs = fleet.runs()
    acknowledged = next(
        one['t'] for one in runs
        if one['server'] == LEAVING and one['what'] == 'draining acknowledged'
    )
    sent = {one.id: one for one in answers}
    bound = acknowledged + fleet.bounds['drainMs'] / 1000
    late = [
        one for one in runs
        if one['server'] == LEAVING and one['what'] == 'run' and one['t'] > bound
    ]
    record.append((acknowledged, f'CHECK: {LEAVING} drains, acknowledged by the store'))
    now = time.monotonic()
    own = sum(one['id'] in sent for one in late)
    record.append((now, (
        f'RULE DRAIN: {len(late)} requests reached {LEAVING} later than '
        f'{fleet.bounds["drainMs"]} ms after the acknowledgement ({own} answered by now)'
    )))
    lost = sum(
        one['id'] in sent and sent[one['id']].status != 200 for one in late
    )
    if late:
        record.append((now, f'SEEN: {lost} of them got no answer of a server'))
        last = late[-1]['t'] - acknowledged
        record.append((now, f'SEEN: the last of them {last:.1f} s after it'))
    return bool(late)


async def _send(fleet: Fleet, answers: list) -> None:
    """Send non-idempotent requests to both entries in turn."""
    entries = list(fleet.entries.items())
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            entry = entries[number % len(entries)]
            number += 1
            group.create_task(_one(entry, answers, number))
            await asyncio.sleep(1 / REQUESTS_A_SECOND)


async def _one(entry: tuple[str, str], answers: list, number: int) -> None:
    body = f'position {number}'.encode()
    answers.append(
        await ask(entry, '/report/7', body, key=KEY, seconds=3)
    )


def _foreign() -> dict:
    variant = os.environ.get('VARIANT', 'cut')
    if variant == 'whole':
        return WHOLE_NOTE
    if variant == 'cut':
        return CUT_NOTE
    note: list = []
    for _ in range(NESTED_LEVELS):
        note = [note]
    return {**NESTED, 'note': note}


async def _beat(fleet: Fleet) -> None:
    """The other writer renews its record, as servers do."""
    while True:
        await asyncio.sleep(FOREIGN_BEAT_SECONDS)
        await put(fleet.store, 'servers/x-relocation', _foreign())


def _describe(fleet: Fleet, record: list, answers: list) -> None:
    for one in answers:
        record.append((one.sent, f'sent {one.id} to {one.entry}'))
        text = f'answer {one.id} {one.status} {one.error}'.rstrip()
        record.append((one.ended, text))
    for one in fleet.runs():
        record.append((one['t'], f"{one['what']} {one.get('id', '')} at {one['server']}"))


if __name__ == '__main__':
    code = run_case(
        CASE, play, trouble=wants_trouble(), bounds=PROZORKO_BOUNDS, born=True
    )
    sys.exit(code)
