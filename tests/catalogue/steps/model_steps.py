"""Steps for single catalogue entries and for querying instances."""

from __future__ import annotations

import json

import anyio
from behave import given, then, when

from sardinetrack.catalogue.parse import parse_operator_file, parse_stored_entry
from sardinetrack.catalogue.status_client import (
    StatusClient,
    live_peer_addresses,
)
from sardinetrack.http.asgi import HttpExchange
from sardinetrack.http.client import HttpClient
from sardinetrack.http.server import bind, serve
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.store.api import InstanceState, ListedInstance
from sardinetrack.store.in_process import MemoryPlatform

_SECRET_HEADER = 'test-peer-secret'


@when('this catalogue entry is parsed')
def read_text(context):
    written = parse_operator_file(context.text)
    context.catalogue_entry = parse_stored_entry(written.key, written.value)


@when('a workspace of class "{name}" with only concurrency 3 is parsed')
def read_class(context, name):
    catalogue_entry = {
        'kind': 'workspace',
        'name': 'w',
        'owner': 'o',
        'class': name,
    }
    value = json.dumps(
        catalogue_entry | {'limits': {'concurrency': 3}}
    ).encode()
    context.catalogue_entry = parse_stored_entry('catalogue/workspace/w', value)


@then(
    'its limits are weight {weight:g}, concurrency {concurrency:d},'
    ' rate {rate:g} and waiting {waiting:d}'
)
def limits_are(context, weight, concurrency, rate, waiting):
    limits = context.catalogue_entry.limits
    assert (limits.weight, limits.concurrency) == (weight, concurrency)
    assert (limits.rate_per_second, limits.waiting) == (rate, waiting)


@then('it belongs to "{owner}" with {count:d} token')
def belongs_to(context, owner, count):
    assert context.catalogue_entry.owner == owner
    assert len(context.catalogue_entry.token_hashes) == count


@then(
    'it is a pool of {slots:d} slots for "{model}" that may repeat'
    ' {method} "{path}"'
)
def is_pool(context, slots, model, method, path):
    pool = context.catalogue_entry
    assert (pool.slots_per_server, pool.models) == (slots, (model,))
    assert pool.max_run_seconds == 600
    assert pool.checks_fencing == {'engine-1'}
    call = pool.repeatable[0]
    assert (call.method, call.path_prefix) == (method, path)


class _Instance:
    """An instance that returns its configuration only to peers."""

    def __init__(self, secret):
        self.secret = secret

    async def __call__(self, scope, receive, send):
        """Respond to one call."""
        exchange = HttpExchange(scope, receive, send)
        known = exchange.header(_SECRET_HEADER) == self.secret
        if known and exchange.path == STATUS_PATH:
            rejection = {'key': 'k', 'version': 5, 'reasons': ['reason']}
            page = {'instance': 'e1', 'revision': 7, 'digest': 'digest'}
            page = {**page, 'rejected': [rejection]}
            await exchange.respond_json(200, page)
        else:
            await exchange.respond(403)


@given('an instance that responds to peers with the secret "{secret}"')
def instance(context, secret):
    context.instance = _Instance(secret)


@when(
    'a listed instance and one that is not running are queried with "{secret}"'
)
def query(context, secret):
    context.statuses = anyio.run(_query, context.instance, secret)


async def _query(application, secret):
    async with (
        HttpClient() as http,
        serve(application, '127.0.0.1', 0) as server,
    ):
        platform = MemoryPlatform()
        platform.set_instance(_listed('e1', server.address))
        platform.set_instance(_listed('e2', 'x', InstanceState.LEAVING))
        addresses = await live_peer_addresses(platform)
        client = StatusClient(http, ((_SECRET_HEADER, secret),))
        listed = [await client.fetch_status(address) for address in addresses]
        return [*listed, await client.fetch_status(_unused_address())]


def _unused_address():
    with bind('127.0.0.1', 0) as listener:
        port = listener.getsockname()[1]
    return f'127.0.0.1:{port}'


def _listed(name, address, state=InstanceState.LIVE):
    return ListedInstance(name, 'entry', address, 'galata', state=state)


@then('the first returns revision {revision:d} and the other nothing')
def first_returns_status(context, revision):
    first, other = context.statuses
    assert (first.revision, first.rejected) == (revision, {'k': ('reason',)})
    assert other is None


@then('neither returns a status')
def none_returns_status(context):
    assert context.statuses == [None, None]
