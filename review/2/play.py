"""After the last API key is taken away, every key is accepted, and none too.

A caller whose key was revoked goes on being served, and so is one with a key
that never was. A configuration that has workspaces, but no key, is taken for
one that has no workspaces.
"""

from __future__ import annotations

import asyncio
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

KEYS = ('k7b2ex5wa5xwyhks8nbk', 'asnmgkcuyj8pjbvk9m68')
NEVER_HELD = 'zz00never00held00key'
REQUESTS_A_SECOND = 5
"""Of each kind: with each key, with a key that never was, without a key."""
REVOKE_GAP_SECONDS = 1.5
AFTER_SECONDS = 12.0


async def play(fleet: Fleet, record: list, trouble: bool) -> bool:
    """Play; return whether a rule was broken."""
    await fleet.start_store()
    await put(fleet.store, 'config/main', _configuration(7, KEYS))
    for number in range(3):
        fleet.start_server(f'i-desk-{number}', 'desk')
    fleet.start_server(
        'i-model-0', 'models', model=True, slots=64,
        texts=['ice'], events=10, gap_ms=50,
    )
    await fleet.registered()
    for number in range(2):
        fleet.start_entry(f'entry-{number}')
    await fleet.ready()
    await asyncio.sleep(4)
    answers: list = []
    traffic = asyncio.create_task(_send(fleet, answers))
    await asyncio.sleep(4)
    fleet.check_alive()
    taken: dict[str, float] = {}
    if trouble:
        left = list(KEYS)
        for version, key in enumerate(KEYS, start=8):
            left.remove(key)
            spec = _configuration(version, tuple(left))
            taken[key] = await put(fleet.store, 'config/main', spec)
            record.append((taken[key], f'CHECK: version {version} takes {key} away'))
            await asyncio.sleep(REVOKE_GAP_SECONDS)
    await asyncio.sleep(fleet.bounds['revokeMs'] / 1000 + AFTER_SECONDS)
    fleet.check_alive()
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    return _judge(fleet, record, answers, taken)


def _configuration(version: int, keys: tuple[str, ...]) -> dict:
    tenants = [{'name': 'pilots', 'apiKeys': list(keys), 'priority': 1}]
    return configuration(
        version, [STREAM_ROUTE, ONCE_ROUTE], [MODEL_SERVICE, PLAIN_SERVICE], tenants
    )


def _judge(
    fleet: Fleet, record: list, answers: list, taken: dict[str, float]
) -> bool:
    """CONFIG and ROUTE of the API keys, with the bound of the first."""
    runs = {one['id']: one for one in fleet.runs() if one['what'] == 'run'}
    revoked = [
        one for one in answers
        if one.id in runs and one.key in taken
        and one.sent > taken[one.key] + fleet.bounds['revokeMs'] / 1000
    ]
    foreign = [
        one for one in answers if one.id in runs and one.key not in KEYS
    ]
    now = time.monotonic()
    record.append((now, (
        f'RULE CONFIG: {len(revoked)} requests ran that were sent with a key '
        f'later than {fleet.bounds["revokeMs"]} ms after it was taken away'
    )))
    never = sum(one.key == NEVER_HELD for one in foreign)
    record.append((now, (
        f'RULE ROUTE: {never} requests ran whose key no configuration held'
    )))
    record.append((now, (
        f'SEEN: {len(foreign) - never} requests ran that had no key'
    )))
    tenants = sorted({str(runs[one.id]['tenant']) for one in [*revoked, *foreign]})
    if tenants:
        record.append((now, f'SEEN: their X-Sardinetrack-Tenant: {tenants}'))
    last = max(taken.values(), default=now)
    for key in (*KEYS, NEVER_HELD, None):
        for label, chosen in (('before', False), ('after', True)):
            statuses: dict[int, int] = {}
            for one in answers:
                if one.key == key and (one.sent > last) is chosen:
                    statuses[one.status] = statuses.get(one.status, 0) + 1
            if statuses:
                text = f'SEEN: key {key}, {label} the last change: {statuses}'
                record.append((now, text))
    for one in answers:
        record.append((one.sent, f'sent {one.id} to {one.entry} with key {one.key}'))
        text = f'answer {one.id} {one.status} {one.error}'.rstrip()
        record.append((one.ended, text))
    for one in fleet.runs():
        record.append((one['t'], (
            f"{one['what']} {one.get('id', '')} at {one['server']}"
            f" tenant {one.get('tenant')}"
        )))
    return bool(revoked or never)


async def _send(fleet: Fleet, answers: list) -> None:
    """Send non-idempotent requests to both entries in turn."""
    entries = list(fleet.entries.items())
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            for key in (*KEYS, NEVER_HELD, None):
                number += 1
                entry = entries[number // 4 % len(entries)]
                group.create_task(_one(entry, answers, number, key))
            await asyncio.sleep(1 / REQUESTS_A_SECOND)


async def _one(
    entry: tuple[str, str], answers: list, number: int, key: str | None
) -> None:
    body = f'position {number}'.encode()
    answers.append(
        await ask(entry, '/report/7', body, key=key, seconds=1.5)
    )


if __name__ == '__main__':
    sys.exit(run_case(CASE, play, trouble=wants_trouble()))
