"""Steps for the model engine."""

from __future__ import annotations

import json
import math
from functools import partial
from typing import Any

from behave import given, step, then, when
from standin_steps import (
    MAX_WAIT_SECONDS,
    call,
    counts,
    host,
    put_faults,
    wait_until,
)

from sardinetrack.http.client import ConnectionBrokenError, RequestNotSentError
from sardinetrack.standin.engine import Engine
from sardinetrack.standin.engine_batch import EngineRates
from sardinetrack.standin.engine_load import LoadMeter
from sardinetrack.standin.engine_prompt import expected_text
from sardinetrack.standin.settings import EngineSettings

CHAT = '/v1/chat/completions'
FAST = EngineRates(base_token_seconds=0.001, prefill_token_seconds=0)


def chat_body(text: str, *, stream: bool = False) -> bytes:
    message = {'role': 'user', 'content': text}
    content = {
        'model': 'standin-model',
        'messages': [message],
        'stream': stream,
    }
    return json.dumps(content).encode()


def send_chat(context: Any, text: str) -> Any:
    return call(context, 'POST', CHAT, chat_body(text))


async def read_stream(context: Any, text: str, received: list[bytes]) -> None:
    async with context.http.stream(
        'POST',
        f'{context.url}{CHAT}',
        body=chat_body(text, stream=True),
        read_timeout_seconds=MAX_WAIT_SECONDS,
    ) as reply:
        async for chunk in reply.chunks():
            received.append(chunk)


async def open_and_disconnect(context: Any, text: str) -> None:
    async with context.http.stream(
        'POST',
        f'{context.url}{CHAT}',
        body=chat_body(text, stream=True),
    ) as reply:
        await anext(reply.chunks())


def events(received: list[bytes]) -> list[str]:
    lines = b''.join(received).decode().split('\n\n')
    return [line.removeprefix('data: ') for line in lines if line]


def stream_text(received: list[bytes]) -> str:
    parts = [json.loads(line) for line in events(received) if line != '[DONE]']
    choices = [part['choices'][0] for part in parts if part['choices']]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


@given('a model engine')
def engine(context: Any) -> None:
    host(context, lambda: Engine(EngineSettings(rates=FAST)))


@given('a model engine that ignores fencing tokens')
def engine_unfenced(context: Any) -> None:
    settings = EngineSettings(rates=FAST, checks_fencing=False)
    host(context, lambda: Engine(settings))


@when('a stream is requested with "{text}"')
def request_stream(context: Any, text: str) -> None:
    context.received = []
    context.interrupted = False
    try:
        context.portal.call(read_stream, context, text, context.received)
    except ConnectionBrokenError:
        context.interrupted = True


@then('the stream\'s text is "{text}"')
def stream_has_text(context: Any, text: str) -> None:
    assert not context.interrupted
    assert stream_text(context.received) == text, context.received
    assert expected_text('a1', 5) == text


@then(
    'the stream opens with the role and ends with usage and the terminal event'
)
def stream_format(context: Any) -> None:
    lines = events(context.received)
    assert lines[-1] == '[DONE]', lines
    parts = [json.loads(line) for line in lines[:-1]]
    assert {part['object'] for part in parts} == {'chat.completion.chunk'}
    assert len({part['id'] for part in parts}) == 1, parts
    opening, ending = (parts[index]['choices'][0] for index in (0, -2))
    assert opening['delta']['role'] == 'assistant', parts
    assert ending['finish_reason'] == 'stop', parts
    assert not parts[-1]['choices'], parts
    assert parts[-1]['usage']['completion_tokens'] == 5, parts


@then('the stream was interrupted after the text "{text}"')
def stream_interrupted(context: Any, text: str) -> None:
    assert context.interrupted
    assert stream_text(context.received) == text, context.received
    assert '[DONE]' not in events(context.received)


@then(
    'the engine soon counts for "{key}": {started:d} started, '
    '{finished:d} finished, {cancelled:d} cancelled, {cut:d} cut'
)
def counted(
    context: Any,
    key: str,
    started: int,
    finished: int,
    cancelled: int,
    cut: int,
) -> None:
    expected = (started, finished, cancelled, cut)
    wait_until(lambda: tuple(counts(context, key).values()) == expected)


@when('"{text}" is sent')
def send_once(context: Any, text: str) -> None:
    context.interrupted = False
    try:
        context.reply = send_chat(context, text)
    except ConnectionBrokenError:
        context.interrupted = True


@when('"{text}" is sent twice')
def send_twice(context: Any, text: str) -> None:
    context.replies = [
        json.loads(send_chat(context, text).body) for _ in range(2)
    ]


@when('a prompt of {size:d} words is sent twice')
def send_long(context: Any, size: int) -> None:
    send_twice(context, ' '.join(f'word{index}' for index in range(size)))


@then('both responses have the same text of {size:d} words')
def same_text(context: Any, size: int) -> None:
    texts = [
        response['choices'][0]['message']['content']
        for response in context.replies
    ]
    assert texts[0] == texts[1], texts
    assert len(texts[0].split()) == size, texts


@then('their ids differ in the ordinal of the execution only')
def ids_differ(context: Any) -> None:
    parts = [response['id'].rpartition('-') for response in context.replies]
    assert parts[0][0] == parts[1][0], parts
    assert [part[2] for part in parts] == ['1', '2'], parts


@then('the second response reports {cached:d} cached prompt tokens')
def cached_prefix(context: Any, cached: int) -> None:
    found = [
        response['usage']['prompt_tokens_details']['cached_tokens']
        for response in context.replies
    ]
    assert found == [0, cached], found


@given('rates of {seconds:g} seconds a token with the knee at {knee:d}')
def rates(context: Any, seconds: float, knee: int) -> None:
    context.rates = EngineRates(base_token_seconds=seconds, knee=knee)


@then('with {running:d} running requests a token takes {seconds:g} seconds')
def token_time(context: Any, running: int, seconds: float) -> None:
    found = context.rates.token_seconds(running)
    assert math.isclose(found, seconds), found


@given('a load meter with a lag of {lag:d} second')
def meter(context: Any, lag: int) -> None:
    context.meter = LoadMeter(lag, 1000, 0)


@when('{requests:d} requests decode {tokens:d} tokens each at {now:g} seconds')
def decode(context: Any, requests: int, tokens: int, now: float) -> None:
    for _ in range(requests):
        context.meter.start_prefill(now, 10)
        context.meter.start_decode(now)
        for _ in range(tokens):
            context.meter.count_token(now)


@then(
    'the report at {now:g} seconds has {running:d} running and '
    '{rate:d} tokens per second'
)
def report(context: Any, now: float, running: int, rate: int) -> None:
    load = context.meter.report(now)
    assert load.running == running, load
    assert load.tokens_per_second == rate, load


@when('the caller of a stream with "{text}" disconnects after its first event')
def disconnect_stream(context: Any, text: str) -> None:
    context.portal.call(open_and_disconnect, context, text)


@when('a stream with "{text}" is running')
def running_stream(context: Any, text: str) -> None:
    context.received = []
    context.running = context.portal.start_task_soon(
        read_stream,
        context,
        text,
        context.received,
    )
    wait_until(lambda: len(context.received) > 1)


@then('both requests are interrupted')
def both_interrupted(context: Any) -> None:
    assert context.interrupted
    error = context.running.exception(MAX_WAIT_SECONDS)
    assert isinstance(error, ConnectionBrokenError), error
    assert '[DONE]' not in events(context.received)


def refuses(context: Any) -> bool:
    try:
        send_chat(context, 'id=next')
    except ConnectionBrokenError:
        return False
    except RequestNotSentError:
        return True
    raise AssertionError('the crashed engine responded')


def responds(context: Any) -> bool:
    try:
        return send_chat(context, 'id=again').status == 200
    except (ConnectionBrokenError, RequestNotSentError):
        return False


@then('the engine soon refuses connections')
def refuses_soon(context: Any) -> None:
    wait_until(lambda: refuses(context))


@then(
    'the engine object counted interrupted executions of "{one}" and of "{two}"'
)
def both_counted(context: Any, one: str, two: str) -> None:
    found = context.standin.executions.counts
    assert (found[one].started, found[one].cut) == (1, 1), found
    assert (found[two].started, found[two].cut) == (1, 1), found


@then('the engine soon responds again')
def responds_again(context: Any) -> None:
    wait_until(lambda: responds(context))


@when('"{text}" is sent without waiting')
def send_in_background(context: Any, text: str) -> None:
    context.running = context.portal.start_task_soon(
        partial(
            context.http.call,
            'POST',
            f'{context.url}{CHAT}',
            body=chat_body(text),
        ),
    )


@then('after the faults are {faults} the response is "{text}"')
def unfrozen_response(context: Any, faults: str, text: str) -> None:
    put_faults(context, faults)
    response = json.loads(context.running.result(MAX_WAIT_SECONDS).body)
    assert response['choices'][0]['message']['content'] == text, response


@then("the response's status is {status:d}")
def response_status(context: Any, status: int) -> None:
    assert context.reply.status == status, context.reply


@step('a load command with fencing token {number:d} has status {status:d}')
def send_load_command(context: Any, number: int, status: int) -> None:
    body = json.dumps({'fencing': number, 'content': {'load': 'm'}}).encode()
    reply = call(context, 'POST', '/orders', body)
    assert reply.status == status, reply


@then('a request with fencing token {number:d} has status {status:d}')
def fenced_request(context: Any, number: int, status: int) -> None:
    headers = (('sardinetrack-fencing', str(number)),)
    reply = call(context, 'POST', CHAT, chat_body('hello'), headers)
    assert reply.status == status, reply


@then('the accepted load commands have the fencing tokens {numbers}')
def accepted_commands(context: Any, numbers: str) -> None:
    orders = json.loads(call(context, 'GET', '/orders').body)
    found = [order['fencing'] for order in orders]
    assert found == [int(text) for text in numbers.split(',')], found


@then('its load report has the header "{name}"')
def load_has_header(context: Any, name: str) -> None:
    reply = call(context, 'GET', '/load')
    assert reply.status == 200, reply
    assert reply.header(name) == '1', reply
