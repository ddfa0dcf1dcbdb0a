"""Steps for requests from end to end."""

from __future__ import annotations

from functools import partial
from hashlib import sha256

from behave import given, then, when

from support.caller import Caller
from support.fleet import Fleet, eventually
from support.standard import (
    ENTRIES,
    TOKEN,
    completion,
    start_standard,
    words,
)

_NEW_TOKEN = 'agent-token'
_ACTIVE_WITHIN_SECONDS = 4.0
_SERVICE_TARGET = '/services/chart-api/a/b?status=207'


@given('a fleet with two engines, one service and two entries')
def given_fleet(context):
    context.fleet = Fleet()
    start_standard(context.fleet)
    context.caller = Caller(TOKEN)


@when('callers send a plain completion through each entry')
def when_plain(context):
    context.responses = {
        entry: context.caller.chat(context.fleet.url(entry), completion(entry))
        for entry in ENTRIES
    }


@then('each caller gets exactly its own complete response')
def then_plain(context):
    for entry, response in context.responses.items():
        assert response.status == 200, response
        text = response.json()['choices'][0]['message']['content']
        assert text.split() == words(entry), text


@when('callers stream a completion through each entry')
def when_stream(context):
    context.streams = {
        entry: context.caller.stream(
            context.fleet.url(entry), completion(entry)
        )
        for entry in ENTRIES
    }


@then('each caller gets exactly its own complete stream')
def then_stream(context):
    for entry, stream in context.streams.items():
        assert stream.status == 200, stream
        assert stream.complete, stream
        assert stream.text.split() == words(entry), stream.text


@when('callers use the service through each entry')
def when_service(context):
    context.responses = {
        entry: context.caller.call(
            'PATCH',
            context.fleet.url(entry) + _SERVICE_TARGET,
            entry.encode(),
        )
        for entry in ENTRIES
    }


@then("the service's responses are passed on unchanged")
def then_service(context):
    for entry, response in context.responses.items():
        assert response.status == 207, response
        content = response.json()
        assert content['method'] == 'PATCH', content
        assert '/a/b?status=207' in response.body.decode(), content
        assert sha256(entry.encode()).hexdigest() in response.body.decode()


@when('an operator adds a workspace with a new token')
def when_added(context):
    context.fleet.workspace('agent', _NEW_TOKEN)


@when('an operator replaces the token')
def when_replaced(context):
    context.fleet.workspace('agent', 'another-token')


@then('both entries accept the token within 4 s')
def then_accepted(context):
    _expect_status(context, 200)


@then('both entries reject the token within 4 s')
def then_rejected(context):
    _expect_status(context, 401)


def _expect_status(context, status: int) -> None:
    caller = Caller(_NEW_TOKEN)
    for entry in ENTRIES:
        url = context.fleet.url(entry)
        eventually(
            partial(_responds_with, caller, url, status),
            within_seconds=_ACTIVE_WITHIN_SECONDS,
        )


def _responds_with(caller: Caller, url: str, status: int) -> bool:
    return caller.call('GET', f'{url}/v1/models').status == status
