"""Steps for the report of an engine."""

from __future__ import annotations

import json
from types import MappingProxyType

from behave import given, then, when

from sardinetrack.admission.engine_report import EngineRun
from sardinetrack.platform.engine_report import decode_report
from sardinetrack.platform.errors import TranslationError

_DEPTH = 100_000
_BODIES = MappingProxyType(
    {
        'empty': '',
        'deeply nested': f'{{"other":{"[" * _DEPTH}{"]" * _DEPTH}}}',
    }
)
_REPORT = """
{"phase":"both","models":["m"],"busy":false,"sequence":0,"queued":1,"active":6,
"kvUsed":4221,"kvTotal":543680,"kvHandles":0,"born":1774883034311,"pinned":0,
"held":0,"runs":[["db804bea50b6461d",713,20,5],["73ee569cf29aef6e",734,18,5]],
"next":879,"state":"ready"}
"""


@given('the report of an engine that runs 2 requests and prefills others')
def example_report(context):
    context.body = _REPORT


@given('the body {body}')
def other_body(context, body):
    context.body = _BODIES.get(body, body)


@when('the {field} of the report becomes {content}')
def change_report(context, field, content):
    report = json.loads(context.body)
    report.pop(field)
    if content != 'nothing':
        report[field] = json.loads(content)
    context.body = json.dumps(report)


@then('its start, counts and runs are decoded')
def is_decoded(context):
    report = decode_report(context.body.encode())
    assert report.started_milliseconds == 1774883034311
    assert (report.queued, report.active) == (1, 6)
    assert report.runs == (
        EngineRun('db804bea50b6461d', 713, 20),
        EngineRun('73ee569cf29aef6e', 734, 18),
    )


@then('it says that the engine prefills')
def is_prefilling(context):
    assert decode_report(context.body.encode()).is_prefilling


@then('it is decoded without a start')
def has_no_start(context):
    report = decode_report(context.body.encode())
    assert report.started_milliseconds is None
    assert len(report.runs) == 2


@then('it is unreadable')
def is_unreadable(context):
    try:
        report = decode_report(context.body.encode())
    except TranslationError:
        return
    raise AssertionError(report)
