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


@given('a caller waits for "{path}" to be sent')
def wait_sent(context: Any, path: str) -> None:
    context.link = context.world.connect()
    context.link.request('POST', path, b'ice')
    side = context.world.sides['side-c']
    context.world.until(lambda: bool(side.orders))


@when('an operator adds pool "{name}"')
def add_pool(context: Any, name: str) -> None:
    context.world.write(
        {'kind': 'pool', 'name': name, 'owner': 'Varna', 'class': 'service'},
    )


@then('"{name}" knows catalogue key "{key}" in time')
def check_known(context: Any, name: str, key: str) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: key in side.configuration())


@then('the entry serves service "{name}" in time')
def check_served_service(context: Any, name: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.until(
        lambda: name in {pool['pool'] for pool in _pools(context, entry)},
    )


def _pools(context: Any, entry: Any) -> Any:
    return context.world.status(entry)['pools']


@when('an entry starts that knows nothing')
def start_ignorant(context: Any) -> None:
    context.ignorant = context.world.start_entry('entry-q')


@given("the platform's catalogue can't be read")
def catalogue_down(context: Any) -> None:
    context.world.platform.catalogue_down = True


@when('entry "{name}" starts')
def start_newcomer(context: Any, name: str) -> None:
    world = context.world
    context.ignorant = world.start_entry(name)
    address = context.ignorant.peer.address
    row = ListedInstance(name, 'entry', address, 'galata')
    world.portal.call(world.platform.set_instance, row)


@then('that entry has the configuration of "{name}" in time')
def check_same(context: Any, name: str) -> None:
    world = context.world
    digest = world.status(world.entries[name])['digest']
    world.until(lambda: world.status(context.ignorant)['digest'] == digest)


@then('that entry is not ready because "{reason}"')
def check_reason(context: Any, reason: str) -> None:
    answer = context.world.operator(context.ignorant, '/readyz')
    assert answer.status == 503 and reason.encode() in answer.body, answer


@then('"{one}" and "{other}" show each other\'s revision in time')
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


@when('the platform forgets "{name}"')
def forget(context: Any, name: str) -> None:
    world = context.world
    world.portal.call(world.platform.remove_instance, name)
    reads = world.platform.instance_reads
    world.until(lambda: world.platform.instance_reads >= reads + 4)


@then('the entry uses "{name}" no more in time')
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


@when('the link of "{name}" is cut for good')
def cut_link(context: Any, name: str) -> None:
    side = context.world.sides[name]
    side.refuses_links = True
    for link in side.links:
        context.world.portal.call(link.close)


@when('the link of "{name}" breaks and comes back')
def break_link(context: Any, name: str) -> None:
    side = context.world.sides[name]
    count = len(side.links)
    for link in tuple(side.links):
        context.world.portal.call(link.close)
    context.world.until(lambda: len(side.links) > count)


@then('"{name}" was asked first without being told to stop')
def check_peeked(context: Any, name: str) -> None:
    asked = context.world.sides[name].asked
    assert [query.cancel for query in asked] == [False, True], asked


@when('"{name}" was asked {count:d} times about the attempt')
def wait_asked(context: Any, name: str, count: int) -> None:
    side = context.world.sides[name]
    context.world.until(lambda: len(side.asked) == count)
    assert not any(query.cancel for query in side.asked), side.asked


@when('somebody without the secret asks "{path}"')
def ask_peer_bare(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.answer = context.world.peer(entry, path, None)


@when('somebody with the secret asks "{path}"')
def ask_peer(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.answer = context.world.peer(entry, path, 'fleet')


@then('the status names "{name}"')
def check_status(context: Any, name: str) -> None:
    assert json.loads(context.world.answer.body)['instance'] == name


@when('an operator asks "{path}"')
def ask_operator(context: Any, path: str) -> None:
    entry = context.world.entries['entry-a']
    context.world.answer = context.world.operator(entry, path)


@then('the answer\'s body mentions "{text}"')
def check_mentions(context: Any, text: str) -> None:
    assert text.encode() in context.world.answer.body, context.world.answer


@then('the answer\'s body does not mention "{text}"')
def check_not_mentions(context: Any, text: str) -> None:
    assert text.encode() not in context.world.answer.body
