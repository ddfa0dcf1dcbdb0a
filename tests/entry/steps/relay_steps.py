"""Steps for answers that are passed on."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from entry_world import MODEL
from fake_side import Script

COMPLETIONS = '/v1/chat/completions'
DONE = b'data: [DONE]\n\n'
EVENTS = (('content-type', 'text/event-stream'),)
JSON = (('content-type', 'application/json'),)


def event(number: int) -> bytes:
    content = {'choices': [{'delta': {'content': f'ice {number}'}}]}
    return b'data: %b\n\n' % json.dumps(content).encode()


def completion(*, stream: bool, **more: Any) -> bytes:
    messages = [{'role': 'user', 'content': 'Where is the ice?'}]
    content = {'model': MODEL, 'messages': messages, 'stream': stream, **more}
    return json.dumps(content).encode()


@given('side "{name}" of pool "{pool}"')
def start_side(context: Any, name: str, pool: str) -> None:
    context.world.side(name, pool)


@given('an entry')
def start_entry(context: Any) -> None:
    context.world.entry()


@given('"{name}" streams {count:d} events and the terminal')
def stream_whole(context: Any, name: str, count: int) -> None:
    chunks = (*map(event, range(count)), DONE)
    script = Script(headers=EVENTS, chunks=chunks)
    context.world.script(name, script)


@when('a caller asks for a streamed completion')
def ask_streamed(context: Any) -> None:
    context.world.call('POST', COMPLETIONS, completion(stream=True))


@then('the answer has status {status:d} and is whole')
def check_whole(context: Any, status: int) -> None:
    answer = context.world.answer
    assert answer.status == status, answer
    assert answer.whole, answer


@then("the answer's body holds {count:d} events and the terminal")
def check_events(context: Any, count: int) -> None:
    expected = b''.join(map(event, range(count))) + DONE
    assert context.world.answer.body == expected, context.world.answer.body


@then('the answer has header "{name}" of "{text}"')
def check_header(context: Any, name: str, text: str) -> None:
    headers = context.world.answer.headers
    assert headers.get(name) == text, headers
