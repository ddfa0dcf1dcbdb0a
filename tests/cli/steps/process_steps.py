"""Steps for commands that run as processes or call other processes."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from urllib.parse import urlsplit

from behave import given, then, when
from behave.runner import Context
from pages import serve_page

_TIMEOUT_SECONDS = 20


def _listen(context: Context) -> socket.socket:
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    context.port = listener.getsockname()[1]
    return listener


def _stop(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.communicate()


@given('a port that is in use')
def step_port_in_use(context: Context) -> None:
    _listen(context)


@given('a closed port')
def step_closed_port(context: Context) -> None:
    _listen(context).close()


@given('an operator port that responds with {status:d} and "{text}"')
def step_operator(context: Context, status: int, text: str) -> None:
    context.port = serve_page(context, status, text)


@when('the status of that port is read')
def step_status(context: Context) -> None:
    url = f'http://127.0.0.1:{context.port}'
    context.execute_steps(f'When "sardinetrack status --url {url}" is run')


@when('the process "{arguments}" is started')
def step_start(context: Context, arguments: str) -> None:
    if 'path' in context:
        arguments = arguments.replace('SETTINGS', str(context.path))
    context.process = subprocess.Popen(
        [sys.executable, '-m', 'sardinetrack', *arguments.split()],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(_stop, context.process)


@when('the process is interrupted')
def step_interrupt(context: Context) -> None:
    context.process.send_signal(signal.SIGINT)
    context.errors = context.process.communicate(timeout=_TIMEOUT_SECONDS)[1]
    context.code = context.process.returncode


@then('its first line is JSON with a URL')
def step_first_line(context: Context) -> None:
    context.url = json.loads(context.process.stdout.readline())['url']
    assert context.url.startswith('http://127.0.0.1:')


@then('a request to that URL gets a response')
def step_responds(context: Context) -> None:
    address = urlsplit(context.url).netloc
    connection = HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    connection.request('GET', '/')
    assert connection.getresponse().status
    connection.close()


@then('the output is JSON whose text "{name}" is "{text}"')
def step_json_text(context: Context, name: str, text: str) -> None:
    assert json.loads(context.output)[name] == text


def _call_repeatedly(
    context: Context,
    ready: dict[str, str],
    calls: int,
) -> None:
    connection = HTTPConnection(
        urlsplit(ready['entry_url']).netloc,
        timeout=_TIMEOUT_SECONDS,
    )
    body = json.dumps(
        {
            'model': ready['model'],
            'max_tokens': 1,
            'messages': [{'role': 'user', 'content': 'Ahoy'}],
        },
    )
    headers = {'Authorization': f'Bearer {ready["token"]}'}
    for _ in range(calls):
        connection.request('POST', '/v1/chat/completions', body, headers)
        response = connection.getresponse()
        response.read()
        context.statuses.append(response.status)
    connection.close()


@when('{calls:d} calls are sent to it over {connections:d} connections')
def step_call(context: Context, calls: int, connections: int) -> None:
    ready = json.loads(context.process.stdout.readline())
    context.statuses = []
    calls_each = calls // connections
    with ThreadPoolExecutor(connections) as pool:
        for _ in range(connections):
            pool.submit(_call_repeatedly, context, ready, calls_each)


@then('every call gets a response with status {status:d}')
def step_all(context: Context, status: int) -> None:
    assert len(context.statuses) == 300, len(context.statuses)
    assert set(context.statuses) == {status}, set(context.statuses)
