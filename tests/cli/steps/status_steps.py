"""Steps for the status of the fleet."""

from __future__ import annotations

import json
import re

import msgspec
from behave import given, then, when
from behave.runner import Context
from pages import add_instance

from sardinetrack.entry.status import (
    EntryStatus,
    PoolStatus,
    RejectedStatus,
    SideStatus,
)
from sardinetrack.messages.api import ConfigDigest, SideLoad, SidePhase
from sardinetrack.side.events import SideStatusPage as SidePage

_HEADED_CELL = re.compile(r'([A-Z ]+) (.*)')
_GAP = re.compile('  +')


def _entry_page(
    name: str,
    revision: int = 1,
    pools: tuple[PoolStatus, ...] = (),
    rejected: tuple[RejectedStatus, ...] = (),
) -> str:
    page = EntryStatus(
        instance=name,
        role='entry',
        incarnation='i',
        failure_domain='galata',
        version='0',
        not_ready=(),
        draining=False,
        open_requests=0,
        revision=revision,
        digest=f'd{revision}',
        pools=pools,
        entries=(),
        rejected=rejected,
    )
    return msgspec.json.encode(page).decode()


@given(
    'the entry "{name}" at revision {revision:d} with {waiting:d} waiting and '
    '{running:d} running requests in pool "{pool}"',
)
def step_entry(
    context: Context,
    name: str,
    revision: int,
    waiting: int,
    pool: str,
    running: int,
) -> None:
    side = SideStatus(
        side='side-1',
        backend_server='engine-1',
        failure_domain='galata',
        in_use=False,
        phase='serving',
        limit=8,
        running=2,
        free=6,
    )
    pools = (PoolStatus(pool, waiting, running, (side,)),)
    add_instance(context, name, _entry_page(name, revision, pools))


@given(
    'the entry "{name}" that rejects "{key}" because "{reason}"',
)
def step_rejecting(context: Context, name: str, key: str, reason: str) -> None:
    rejected = (RejectedStatus(key, 5, (reason,)),)
    add_instance(context, name, _entry_page(name, rejected=rejected))


@given(
    'the side "{name}" at revision {revision:d} with {running:d} of '
    '{limit:d} slots in use',
)
def step_side(
    context: Context,
    name: str,
    revision: int,
    running: int,
    limit: int,
) -> None:
    free = limit - running
    load = SideLoad('i', SidePhase.SERVING, limit, running, free, 0)
    page = SidePage(
        instance=name,
        incarnation='i',
        pool='ice-llm',
        backend_server='engine-1',
        failure_domain='galata',
        ready=True,
        load=load,
        configuration=ConfigDigest(revision, f'd{revision}'),
        links=(),
    )
    text = msgspec.json.encode(page).decode()
    add_instance(context, name, text, role='side')


@given('the listed instance "{name}" that responds with "{text}"')
def step_listed(context: Context, name: str, text: str) -> None:
    add_instance(context, name, text, role='side')


@given('the listed instance "{name}" that has crashed')
def step_crashed(context: Context, name: str) -> None:
    context.execute_steps('Given a closed port')
    address = f'127.0.0.1:{context.port}'
    add_instance(context, name, '', role='side', address=address)


@when('the status of "{name}" alone is read')
def step_alone(context: Context, name: str) -> None:
    url = f'http://{context.addresses[name]}'
    context.execute_steps(f'When "sardinetrack status --url {url}" is run')


@then('the output has the rows')
def step_rows(context: Context) -> None:
    expected = [context.table.headings, *(row.cells for row in context.table)]
    pairs = [
        [_HEADED_CELL.fullmatch(cell).groups() for cell in row]
        for row in expected
    ]
    titles = [title for title, _ in pairs[0]]
    rows = [[cell for _, cell in row] for row in pairs]
    tables = [_cells(table) for table in context.output.split('\n\n')]
    assert [titles, *rows] in tables, context.output


def _cells(table: str) -> list[list[str]]:
    return [_GAP.split(line.strip()) for line in table.strip().split('\n')]


@then('the output lists "{name}" with a page at revision {revision:d}')
def step_page_listed(context: Context, name: str, revision: int) -> None:
    row = _listed(context, name)
    assert row['page']['revision'] == revision
    assert not row['problem']


@then('the output lists "{name}" with the problem "{problem}"')
def step_problem_listed(context: Context, name: str, problem: str) -> None:
    row = _listed(context, name)
    assert row['page'] is None
    assert row['problem'].startswith(problem), row


def _listed(context: Context, name: str) -> dict[str, object]:
    rows = json.loads(context.output)
    found = [row for row in rows if row['instance'] == name]
    assert len(found) == 1, rows
    return found[0]
