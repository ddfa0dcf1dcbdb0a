"""Steps for peers, the platform and operators."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from behave import given, then, when

from sardinetrack.store.api import InstanceState, ListedInstance


def _row(context: Any, name: str) -> ListedInstance:
    listed = context.world.portal.call(context.world.platform.instances)
    return next(row for row in listed if row.instance == name)


@given('a caller waits for "{path}" and the side has received it')
def wait_sent(context: Any, path: str) -> None:
    context.link = context.world.connect()
    context.link.request('POST', path, b'ice')
    side = context.world.sides['side-c']
    context.world.until(lambda: bool(side.run_requests))


@when('an operator adds pool "{name}"')
def add_pool(context: Any, name: str) -> None:
    context.world.write(
        {'kind': 'pool', 'name': name, 'owner': 'Varna', 'class': 'service'},
    )


@then('"{name}" eventually has catalogue key "{key}"')
def check_known(context: Any, name: str, key: str) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: key in side.configuration())


@then('the entry eventually serves service "{name}"')
def check_served_service(context: Any, name: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.until(
        lambda: name in {pool['pool'] for pool in _pools(context, entry)},
    )


def _pools(context: Any, entry: Any) -> Any:
    return context.world.status(entry)['pools']


@when('an entry starts without any configuration')
def start_unconfigured(context: Any) -> None:
    context.other_entry = context.world.start_entry('entry-q')


@given("the platform's catalogue can't be read")
def catalogue_down(context: Any) -> None:
    context.world.platform.catalogue_down = True


@when('entry "{name}" starts')
def start_listed(context: Any, name: str) -> None:
    world = context.world
    context.other_entry = world.start_entry(name)
    address = context.other_entry.peer.address
    row = ListedInstance(name, 'entry', address, 'galata')
    world.portal.call(world.platform.set_instance, row)


@then('that entry eventually has the configuration of "{name}"')
def check_same(context: Any, name: str) -> None:
    world = context.world
    digest = world.status(world.entries[name])['digest']
    world.until(lambda: world.status(context.other_entry)['digest'] == digest)


@then('that entry is not ready because "{reason}"')
def check_reason(context: Any, reason: str) -> None:
    response = context.world.operator(context.other_entry, '/readyz')
    assert response.status == 503 and reason.encode() in response.body, response


@then('"{one}" and "{other}" eventually show each other\'s revision')
def check_revisions(context: Any, one: str, other: str) -> None:
    context.world.until(lambda: _shown(context, one) == [other])
    context.world.until(lambda: _shown(context, other) == [one])


def _shown(context: Any, name: str) -> list[str]:
    status = context.world.status(context.world.entries[name])
    own = status['revision']
    rows = status['entries']
    return [row['instance'] for row in rows if row['revision'] == own]


@when('the platform lists "{name}" as leaving')
def list_leaving(context: Any, name: str) -> None:
    row = replace(_row(context, name), state=InstanceState.LEAVING)
    context.world.portal.call(context.world.platform.set_instance, row)


@when('the platform removes "{name}"')
def remove(context: Any, name: str) -> None:
    world = context.world
    world.portal.call(world.platform.remove_instance, name)
    reads = world.platform.instance_reads
    world.until(lambda: world.platform.instance_reads >= reads + 4)


@then('the entry eventually stops using "{name}"')
def check_unused(context: Any, name: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.until(lambda: name not in _used(context, entry))


def _used(context: Any, entry: Any) -> set[str]:
    return {
        side['side']
        for pool in _pools(context, entry)
        for side in pool['sides']
        if side['in_use']
    }


@when('the link of "{name}" is closed permanently')
def close_link(context: Any, name: str) -> None:
    side = context.world.sides[name]
    side.refuses_links = True
    for link in side.links:
        context.world.portal.call(link.close)


@when('the link of "{name}" breaks and is restored')
def break_link(context: Any, name: str) -> None:
    side = context.world.sides[name]
    count = len(side.links)
    for link in tuple(side.links):
        context.world.portal.call(link.close)
    context.world.until(lambda: len(side.links) > count)


@then('"{name}" was first queried without a cancel')
def check_first_query(context: Any, name: str) -> None:
    queries = context.world.sides[name].status_queries
    assert [query.cancel for query in queries] == [False, True], queries


@when('"{name}" has received {count:d} status queries')
def wait_for_queries(context: Any, name: str, count: int) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: len(side.status_queries) == count)
    assert not any(query.cancel for query in side.status_queries), (
        side.status_queries
    )


@when('a request without the peer secret is sent to "{path}"')
def request_peer_without_secret(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.response = context.world.peer(entry, path, None)


@when('a request with the peer secret is sent to "{path}"')
def request_peer(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.response = context.world.peer(entry, path, 'fleet')


@then('the status names "{name}"')
def check_status(context: Any, name: str) -> None:
    assert json.loads(context.world.response.body)['instance'] == name


@when('an operator requests "{path}"')
def request_operator(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.response = context.world.operator(entry, path)


@then('the response body contains "{text}"')
def check_contains(context: Any, text: str) -> None:
    assert text.encode() in context.world.response.body, context.world.response


@then('the response body does not contain "{text}"')
def check_not_contains(context: Any, text: str) -> None:
    assert text.encode() not in context.world.response.body
