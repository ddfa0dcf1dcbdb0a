"""Steps for the plain service."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream
from behave import given, then, when
from standin_steps import (
    MAX_WAIT_SECONDS,
    call,
    counts,
    host,
    wait_until,
)

from sardinetrack.http.client import EXCHANGE_HEADER, ConnectionBrokenError
from sardinetrack.standin.service import Service
from sardinetrack.standin.settings import ServiceSettings


async def send_and_disconnect(context: Any, key: str, seconds: float) -> None:
    with anyio.move_on_after(seconds):
        await context.http.call(
            'POST',
            f'{context.url}/render',
            headers=(('x-standin-key', key),),
        )


@given('a plain service')
def service(context: Any) -> None:
    host(context, lambda: Service(ServiceSettings()))


@when('it is sent {method} "{target}" with "{body}"')
def send(context: Any, method: str, target: str, body: str) -> None:
    context.sent = (method, target)
    context.interrupted = False
    try:
        context.reply = call(context, method, target, body.encode())
    except ConnectionBrokenError:
        context.interrupted = True


@when('it is sent {method} "{target}" with ""')
def send_bodiless(context: Any, method: str, target: str) -> None:
    send(context, method, target, '')


@then('the status is {status:d} and the header "{name}" is "{text}"')
def status_and_header(context: Any, status: int, name: str, text: str) -> None:
    assert context.reply.status == status, context.reply
    assert context.reply.header(name) == text, context.reply


@then('the status is {status:d} and the response has no header "{name}"')
def status_without_header(context: Any, status: int, name: str) -> None:
    assert context.reply.status == status, context.reply
    assert context.reply.header(name) is None, context.reply


@then('the echo has the method, target and digest of "{body}"')
def echoed(context: Any, body: str) -> None:
    echo = json.loads(context.reply.body)
    assert (echo['method'], echo['target']) == context.sent, echo
    digest = hashlib.sha256(body.encode()).hexdigest()
    assert echo['body_sha256'] == digest, echo


@then('the looked up title is "{title}"')
def looked_up(context: Any, title: str) -> None:
    echo = json.loads(context.reply.body)
    assert echo['lookup']['title'] == title, echo


@when('the render "{key}" is sent twice')
def render_twice(context: Any, key: str) -> None:
    headers = (('x-standin-key', key),)
    call(context, 'POST', '/render', b'', headers)
    body = json.dumps({'key': key}).encode()
    context.reply = call(context, 'POST', '/render', body)


@then('the second response reports execution {ordinal:d}')
def execution_ordinal(context: Any, ordinal: int) -> None:
    assert json.loads(context.reply.body)['execution'] == ordinal


@then('the service counted {number:d} executions of "{key}"')
def executions(context: Any, number: int, key: str) -> None:
    found = counts(context, key)
    assert found['started'] == found['finished'] == number, found


async def read_responses(
    url: str, target: str, exchange_id: str, count: int
) -> list[tuple[bytes, bytes]]:
    host, port = url.removeprefix('http://').split(':')
    request = (
        f'GET {target} HTTP/1.1\r\nhost: service\r\n'
        f'{EXCHANGE_HEADER}: {exchange_id}\r\n\r\n'
    )
    responses = []
    with anyio.fail_after(MAX_WAIT_SECONDS):
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(request.encode())
            reader = BufferedByteReceiveStream(stream)
            for _ in range(count):
                head = await reader.receive_until(b'\r\n\r\n', 10_000)
                length = re.search(rb'content-length: (\d+)', head)
                assert length is not None, head
                body = await reader.receive_exactly(int(length[1]))
                responses.append((head, body))
    return responses


@when(
    'a connection sends GET "{target}" with exchange id "{exchange_id}"'
    ' and reads {count:d} responses'
)
def send_and_read(
    context: Any, target: str, exchange_id: str, count: int
) -> None:
    context.responses = context.portal.call(
        read_responses, context.url, target, exchange_id, count
    )


@then('both responses are the same and have exchange id "{exchange_id}"')
def same_responses(context: Any, exchange_id: str) -> None:
    line = f'{EXCHANGE_HEADER}: {exchange_id}'.encode()
    (first_head, first_body), (second_head, second_body) = context.responses
    assert line in first_head, first_head
    assert line in second_head, second_head
    assert first_body == second_body, context.responses


@then('the body has {size:d} bytes')
def body_size(context: Any, size: int) -> None:
    assert not context.interrupted
    assert len(context.reply.body) == size


@then('the response was interrupted')
def response_interrupted(context: Any) -> None:
    assert context.interrupted


@when('the render "{key}" is sent and given up after {seconds:g} seconds')
def give_up(context: Any, key: str, seconds: float) -> None:
    context.portal.call(send_and_disconnect, context, key, seconds)
    assert counts(context, key)['started'] == 0


@then('the service soon counts 1 finished execution of "{key}"')
def finished_soon(context: Any, key: str) -> None:
    wait_until(lambda: counts(context, key)['finished'] == 1)
