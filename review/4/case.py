"""An entry of another writer can't be read; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '4' / 'standins'))

from fleet import (  # noqa: E402
    BROKEN, HELD, NO_CONNECTION, TROUBLE, CannotRun, Client, Engine, Fleet,
    Record, Store, route, run, server_spec,
)

VALUE_BYTES = 1_048_576
RENEW_S = 1.2
"""heartbeatMs: how often whoever registers writes its entry."""
TIMEOUT_MS = 800
LATE_S = 0.5
DEADLINE_MS = 1500
BEFORE_S = 5.0
WRITING_S = 20.0
ENTRIES = (1, 2)
SIDES = (11, 12)
CLIENTS = 40


def note(number: int) -> bytes:
    """Return an entry that names no engine, below valueBytes.

    A table of empty rows; its text is cut within an emoji, as in review/1.
    """
    text = b'cut \\ud83d' if TROUBLE else b'whole \\ud83d\\ude00'
    head = b'{"note":"%b","number":%d,"rows":[' % (text, number)
    rows = (VALUE_BYTES - len(head) - 100) // 3
    return head + b'[],' * rows + b'[]]}'


async def case(fleet: Fleet, record: Record) -> int:
    block = fleet.block
    store = Store(record)
    await store.start(f'{block}.9', 8781)
    for number in range(4):
        engine = Engine(record, f'i-{number}', f'{block}.{100 + number}', 8443)
        await engine.start()
        store.put('servers', engine.name, server_spec(
            'desk', f'{engine.ip}:{engine.port}', 'zone-a'))
    for host in SIDES:
        engine = Engine(record, f'llm-{host}', f'{block}.{host}', 8782)
        await engine.start()
        store.put('servers', engine.name, server_spec(
            'writer', f'{engine.ip}:8782', 'zone-a', 64))
    store.put('config', 'main', {
        'version': 1,
        'routes': [
            route('order', '/order/', 'non_idempotent', 'desk',
                  timeoutMs=TIMEOUT_MS, targetLatencyMs=100),
            route('llm', '/llm/', 'streaming', 'writer',
                  sessionAffinity=True),
        ],
        'services': [
            {'name': 'desk', 'maxConnections': 96},
            {'name': 'writer', 'maxConnections': 360,
             'engine': {'slots': 64, 'kvCapacity': 500000}},
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    })
    for host in SIDES:
        await fleet.start('side', host, memory_mb=232,
                          app=f'{block}.{host}:8782')
    for host in ENTRIES:
        await fleet.start('entry', host, memory_mb=300)
    for host in ENTRIES:
        await fleet.wait_ready(host)
    await asyncio.sleep(2)

    stop = asyncio.Event()
    took: list[tuple[float, float, int]] = []
    misses = {host: 0 for host in ENTRIES}
    asked = {host: 0 for host in ENTRIES}

    async def client(number: int) -> None:
        one = Client(f'{block}.{ENTRIES[number % len(ENTRIES)]}')
        await asyncio.sleep(number * 0.01)
        count = 0
        while not stop.is_set():
            began = record.now()
            status, text = await one.send(
                'POST', '/order/a', f'r-{number}-{count}', b'x',
                deadline_ms=DEADLINE_MS)
            count += 1
            took.append((began, record.now() - began, status))
            record.line(f'r-{number}-{count}, sent {began:.3f} s: {status}'
                        f' {text[:60]} after {took[-1][1]:.3f} s')
            await asyncio.sleep(0.3)

    async def balancer(host: int) -> None:
        while not stop.is_set():
            asked[host] += 1
            if not await fleet.is_ready(host):
                misses[host] += 1
                record.line(f'entry-{host} misses a health check')
            await asyncio.sleep(1)

    tasks = [asyncio.create_task(client(one)) for one in range(CLIENTS)]
    tasks += [asyncio.create_task(balancer(host)) for host in ENTRIES]
    await asyncio.sleep(BEFORE_S)
    began = record.now()
    written = 0
    while record.now() < began + WRITING_S:
        revision = store.put('servers', 'note-of-another-writer', note(written))
        record.line(f'another writer renews its entry, revision {revision}')
        written += 1
        await asyncio.sleep(RENEW_S)
    stop.set()
    await asyncio.gather(*tasks)

    calm = [one for at, one, status in took if at < began and status == 200]
    if len(calm) < 100:
        raise CannotRun('too few requests were served before')
    since = [
        (one, status) for at, one, status in took
        if at >= began and status != NO_CONNECTION
    ]
    open_then = [one for one, _ in since if one > TIMEOUT_MS / 1000]
    late = [one for one in open_then if one > TIMEOUT_MS / 1000 + LATE_S]
    served = sum(status == 200 for _, status in since)
    record.both(
        f'{written} writes of one entry; {len(since)} requests since then,'
        f' {served} served; unanswered at timeoutMs: {len(open_then)}, of these'
        f' without an answer half a second later: {len(late)}; health checks'
        f' missed: {sum(misses.values())} of {sum(asked.values())}'
    )
    broken = len(late) >= 8 and len(late) > len(open_then) / 4
    return BROKEN if broken else HELD


sys.exit(run(case, HERE))
