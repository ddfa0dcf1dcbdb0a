"""Steps on single catalogue entries and on asking instances."""

from __future__ import annotations

import json

import anyio
from behave import given, then, when

from sardinetrack.catalogue.ask import (
    StatusClient,
    listed_addresses,
)
from sardinetrack.catalogue.parse import parse_entry, read_entry
from sardinetrack.http.asgi import Exchange
from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import bind, serving
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.store.api import InstanceState, ListedInstance
from sardinetrack.store.in_process import MemoryPlatform

_SECRET_HEADER = 'test-peer-secret'


@when('this entry is read')
def read_text(context):
    written = read_entry(context.text)
    context.entry = parse_entry(written.key, written.value)


@when('a workspace of class "{name}" with only concurrency 3 is read')
def read_class(context, name):
    entry = {'kind': 'workspace', 'name': 'w', 'owner': 'o', 'class': name}
    value = json.dumps(entry | {'limits': {'concurrency': 3}}).encode()
    context.entry = parse_entry('catalogue/workspace/w', value)


@then(
    'its limits are weight {weight:g}, concurrency {concurrency:d},'
    ' rate {rate:g} and waiting {waiting:d}'
)
def limits_are(context, weight, concurrency, rate, waiting):
    limits = context.entry.limits
    assert (limits.weight, limits.concurrency) == (weight, concurrency)
    assert (limits.rate_per_second, limits.waiting) == (rate, waiting)


@then('it belongs to "{owner}" with {count:d} token')
def belongs_to(context, owner, count):
    assert context.entry.owner == owner
    assert len(context.entry.token_hashes) == count


@then(
    'it is a pool of {slots:d} slots for "{model}" that may repeat'
    ' {method} "{path}"'
)
def is_pool(context, slots, model, method, path):
    pool = context.entry
    assert (pool.slots_per_server, pool.models) == (slots, (model,))
    assert pool.max_run_seconds == 600
    assert pool.checks_fencing == {'engine-1'}
    call = pool.repeatable[0]
    assert (call.method, call.path_prefix) == (method, path)


class _Instance:
    """An instance that tells its configuration to peers only."""

    def __init__(self, secret):
        """Remember the secret."""
        self.secret = secret

    async def __call__(self, scope, receive, send):
        """Answer one call."""
        exchange = Exchange(scope, receive, send)
        known = exchange.header(_SECRET_HEADER) == self.secret
        if known and exchange.path == STATUS_PATH:
            refused = {'key': 'k', 'version': 5, 'reasons': ['reason']}
            page = {'instance': 'e1', 'revision': 7, 'digest': 'digest'}
            page = {**page, 'rejected': [refused]}
            await exchange.answer_json(200, page)
        else:
            await exchange.answer(403)


@given('an instance that answers peers with the secret "{secret}"')
def instance(context, secret):
    context.instance = _Instance(secret)


@when('a listed instance and one that is not there are asked with "{secret}"')
def ask(context, secret):
    context.answers = anyio.run(_ask, context.instance, secret)


async def _ask(application, secret):
    async with (
        HttpClient() as http,
        serving(application, '127.0.0.1', 0) as server,
    ):
        platform = MemoryPlatform()
        platform.set_instance(_listed('e1', server.address))
        platform.set_instance(_listed('e2', 'x', InstanceState.LEAVING))
        addresses = await listed_addresses(platform)
        client = StatusClient(http, ((_SECRET_HEADER, secret),))
        listed = [await client.ask(address) for address in addresses]
        return [*listed, await client.ask(_unused_address())]


def _unused_address():
    with bind('127.0.0.1', 0) as listener:
        port = listener.getsockname()[1]
    return f'127.0.0.1:{port}'


def _listed(name, address, state=InstanceState.LIVE):
    return ListedInstance(name, 'entry', address, 'galata', state=state)


@then('the first answers revision {revision:d} and the other nothing')
def answered(context, revision):
    first, other = context.answers
    assert (first.revision, first.rejected) == (revision, {'k': ('reason',)})
    assert other is None


@then('neither answers')
def unanswered(context):
    assert context.answers == [None, None]
