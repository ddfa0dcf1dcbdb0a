"""Steps for the docs pages that describe the errors."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

from behave import then, when
from behave.runner import Context

from sardinetrack.errors import ERROR_RESPONSES, ErrorKind, error_response_for

_DOCS = Path(__file__).parents[3] / 'docs'
_CODE = re.compile('`([a-z_]+)`')


@dataclass(frozen=True)
class _Row:
    code: str
    status: str
    not_run: str
    retry_after: str
    meaning: str


def _cells(page: str) -> list[list[str]]:
    lines = (_DOCS / page).read_text().splitlines()
    return [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in lines
        if line.startswith('| `')
    ]


def _kind(row: _Row) -> ErrorKind:
    return ErrorKind(row.code.strip('`'))


@when('the table of docs/callers.md is read')
def step_read(context: Context) -> None:
    context.rows = [_Row(*cells) for cells in _cells('callers.md')]


@then('its codes are the error kinds in their order')
def step_codes(context: Context) -> None:
    assert [_kind(row) for row in context.rows] == list(ErrorKind)


@then('each row has the HTTP status of its response')
def step_status(context: Context) -> None:
    for row in context.rows:
        assert int(row.status) == error_response_for(_kind(row)).status, row


@then('each row says "not run" exactly if its response does')
def step_not_run(context: Context) -> None:
    for row in context.rows:
        expected = 'yes' if error_response_for(_kind(row)).not_run else 'no'
        assert row.not_run == expected, row


@then("each row has its response's default for Retry-After")
def step_retry_after(context: Context) -> None:
    for row in context.rows:
        seconds = error_response_for(_kind(row)).retry_after_seconds
        expected = '-' if seconds is None else str(seconds)
        assert row.retry_after == expected, row


@then('every code in the tables of docs/operators.md is an error kind')
def step_operators(context: Context) -> None:
    # The other table whose rows begin with code lists metrics; tests/cli
    # compares each of its rows with a metric that is served.
    first_cells = [cells[0] for cells in _cells('operators.md')]
    codes = [
        code
        for cell in first_cells
        if not cell.startswith('`sardinetrack_')
        for code in _CODE.findall(cell)
    ]
    assert codes
    for code in codes:
        assert ErrorKind(code)


@then("the failures of docs/operators.md name known codes as callers' errors")
def step_failures(context: Context) -> None:
    page = (_DOCS / 'operators.md').read_text()
    table = page.partition('| Failure | Log and metrics | Callers get |')[2]
    rows = table.partition('\n\n')[0].splitlines()[2:]
    codes = [code for row in rows for code in _CODE.findall(row.split('|')[3])]
    assert len(rows) > 10 and codes
    for code in codes:
        assert ErrorKind(code)


@then('every error kind has a response')
def step_every_kind(context: Context) -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@then(
    'no message contains "not run" if the request may have run',
)
def step_words(context: Context) -> None:
    for response in ERROR_RESPONSES.values():
        assert response.not_run or 'not run' not in response.message
