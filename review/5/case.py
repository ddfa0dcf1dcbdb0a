"""Many callers upload bodies within the limits at once; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / '4' / 'standins'))

from fleet import (  # noqa: E402
    BROKEN, HELD, TROUBLE, CannotRun, Client, Engine, Fleet, Record, Store,
    resident_mb, route, run, server_spec,
)

MEMORY_MB = 150
LIMIT_MB = 150 * 1.048576
"""The limit, read as generously as its unit allows."""
MAX_BODY = 4_194_304
USUAL = 6
TIMES = 9.0
"""How many times its usual the hot tenant sends: the site's largest dose."""
PACE = 1_500_000
"""Bytes a second of one uploading client: 12 Mbit/s."""
VICTIMS = 40
WORK_S = 0.11
"""The longest work of the site's requests."""
CONTACT_S = 3.0


async def case(fleet: Fleet, record: Record) -> int:
    block = fleet.block
    store = Store(record)
    await store.start(f'{block}.9', 8781)
    engines: dict[str, Engine] = {}
    for number in range(4):
        engine = Engine(record, f'i-{number}', f'{block}.{100 + number}', 8443)
        engine.work_s = WORK_S
        await engine.start()
        engines[engine.name] = engine
        store.put('servers', engine.name, server_spec(
            'docs', f'{engine.ip}:{engine.port}', 'zone-a'))
    store.put('config', 'main', {
        'version': 1,
        'routes': [
            route('upload', '/upload/', 'non_idempotent', 'docs'),
            route('report', '/report/', 'non_idempotent', 'docs'),
        ],
        'services': [{'name': 'docs', 'maxConnections': 96}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': MAX_BODY,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    })
    entry = await fleet.start('entry', 1, memory_mb=MEMORY_MB)
    await fleet.wait_ready(1)
    began = record.now()

    answers: dict[str, tuple[int, str]] = {}
    sent: dict[str, float] = {}
    kept: set[str] = set()
    killed_s: list[float] = []
    peak = 0.0
    stop = asyncio.Event()

    async def platform() -> None:
        """Kill the process at its limit of memory, as the platform does."""
        nonlocal peak
        while not stop.is_set():
            used = resident_mb(entry.pid)
            peak = max(peak, used)
            if used > LIMIT_MB and not killed_s:
                killed_s.append(record.now())
                entry.kill()
                record.line(f'the platform kills the entry at {used:.0f} MB')
                return
            await asyncio.sleep(0.02)

    async def request(client: Client, name: str, path: str, size: int,
                      pace: int = 0) -> None:
        sent[name] = record.now()
        if client.used:
            kept.add(name)
        answers[name] = await client.send(
            'POST', path, name, b'x' * size, pace=pace)
        status, text = answers[name]
        record.line(f'{name} ({size} B): {status} {text[:60]}')

    async def victim(number: int) -> None:
        """A caller of another tenant: small requests on a kept connection."""
        client = Client(f'{block}.1')
        count = 0
        # Callers are not in step.
        await asyncio.sleep(number * (WORK_S + 0.05) / VICTIMS)
        while not stop.is_set():
            await request(client, f'report-{number}-{count}', '/report/a', 600)
            count += 1
            if killed_s:
                return
            await asyncio.sleep(0.05)

    async def uploader(number: int) -> None:
        client = Client(f'{block}.1')
        await request(client, f'small-{number}', '/report/a', 600)
        await upload_at.wait()
        await request(client, f'upload-{number}', '/upload/a', MAX_BODY, PACE)

    upload_at = asyncio.Event()
    count = int(USUAL * TIMES) if TROUBLE else USUAL
    tasks = [asyncio.create_task(platform())]
    victims = [asyncio.create_task(victim(one)) for one in range(VICTIMS)]
    uploaders = [asyncio.create_task(uploader(one)) for one in range(count)]
    await asyncio.sleep(CONTACT_S + 1.5)
    record.line(f'{count} clients of one tenant upload {MAX_BODY} B each')
    upload_at.set()
    await asyncio.gather(*uploaders)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*victims, *tasks)

    passed_on = {
        name: when for engine in engines.values()
        for when, name, _ in engine.arrived
    }
    lost = [
        name for name in passed_on
        if name in kept and sent[name] > began + CONTACT_S
        and answers[name][0] == 0
    ]
    for name in sorted(lost):
        record.line(f'lost: {name}, sent {sent[name]:.3f} s, reached its'
                    f' engine {passed_on[name]:.3f} s, {answers[name][1]}')
    if not any(name.startswith('report') for name in passed_on):
        raise CannotRun('no request was served')
    record.both(
        f'{len(answers)} requests, {len(passed_on)} reached an engine; memory'
        f' {peak:.0f} MB of {MEMORY_MB}; killed: {bool(killed_s)};'
        f' passed on from kept connections and closed without an answer:'
        f' {len(lost)} (allowed 3)'
    )
    return BROKEN if len(lost) > 3 else HELD


sys.exit(run(case, HERE))
