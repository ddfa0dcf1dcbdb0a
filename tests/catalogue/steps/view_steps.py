"""Steps on the configuration that one node knows."""

from __future__ import annotations

import random

from behave import given, step, then, when
from histories import deletion, naive, random_history, row, seen_in, token_hash
from worlds import World

from sardinetrack.catalogue.coverage import changes_in, covering
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigUpdate

_PARTS = 7
_LENGTH = 40


def _workspace(name, version, **fields):
    return row(f'catalogue/workspace/{name}', version, **fields)


def _pool(name, version, **fields):
    return row(f'catalogue/pool/{name}', version, **fields)


def _list(context, *rows):
    revision = max(one.version for one in rows)
    context.changed = context.view.apply(covering(0, revision, rows))


def _watch(context, one):
    after = context.view.revision
    update = covering(after, one.version, [one])
    context.changed = context.view.apply(update)


@given('an empty view')
def empty_view(context):
    context.view = CatalogueView()


@step(
    'the platform lists workspace "{name}" at 1, pool "{pool}" at 2'
    ' and service "{service}" at 3'
)
def list_three(context, name, pool, service):
    fields = {'class': 'service', 'models': []}
    plain = _pool(service, 3, **fields)
    _list(context, _workspace(name, 1), _pool(pool, 2), plain)


@step('the platform lists workspace "{name}" of "{owner}" at {version:d}')
def list_owned(context, name, owner, version):
    _list(context, _workspace(name, version, owner=owner))


@step('the platform lists only workspace "{name}" at {version:d}')
def list_one(context, name, version):
    _list(context, _workspace(name, version))


@step('a watch brings workspace "{name}" of "{owner}" at {version:d}')
def watch_owned(context, name, owner, version):
    _watch(context, _workspace(name, version, owner=owner))


@step('a watch brings the deletion of workspace "{name}" at {version:d}')
def watch_deletion(context, name, version):
    _watch(context, deletion(f'catalogue/workspace/{name}', version))


@step('a watch brings a bad workspace "{name}" at {version:d}')
def watch_bad(context, name, version):
    _watch(context, _workspace(name, version, owner='', limits={'weight': -1}))


@when(
    'a watch brings workspace "{name}" at {version:d}'
    ' with the token of "{other}"'
)
def watch_thief(context, name, version, other):
    _watch(context, _workspace(name, version, token_hashes=[token_hash(other)]))


@when('a watch brings pool "{name}" at {version:d} with the model of "{other}"')
def watch_copy(context, name, version, other):
    _watch(context, _pool(name, version, models=[other]))


@when('a neighbour passes on workspace "{name}" of "{owner}" at {version:d}')
def neighbour(context, name, owner, version):
    rows = (_workspace(name, version, owner=owner),)
    context.changed = context.view.apply(ConfigUpdate(version, rows))


@when('a neighbour passes on what changed between {after:d} and {revision:d}')
def neighbour_part(context, after, revision):
    one = _workspace('late', revision)
    context.view.apply(covering(after, revision, [one]))


@then('the view knows everything up to {revision:d} only')
def knows(context, revision):
    assert context.view.revision == revision, context.view.revision


@then('workspace "{name}" is found by its token')
def found_by_token(context, name):
    assert context.view.workspace_by_token_hash(token_hash(name)).name == name


@then('workspace "{name}" is found by the token of "{other}"')
def found_by_other(context, name, other):
    assert context.view.workspace_by_token_hash(token_hash(other)).name == name


@then('pool "{name}" is found by its model')
def found_by_model(context, name):
    assert context.view.pool_by_model(name).name == name


@then('pool "{name}" is found as a service and pool "{other}" is not')
def found_as_service(context, name, other):
    assert context.view.pool_by_service(name).name == name
    assert context.view.pool_by_service(other) is None


@then('nothing in force changed')
def unchanged(context):
    assert context.changed is False


@then('workspace "{name}" belongs to "{owner}"')
def belongs(context, name, owner):
    owners = {one.name: one.owner for one in context.view.workspaces()}
    assert owners[name] == owner, owners


@then('no workspace is in force')
def none_in_force(context):
    assert not context.view.workspaces()


@then('only workspace "{name}" is in force')
def only_in_force(context, name):
    assert [one.name for one in context.view.workspaces()] == [name]


@then('"{key}" is rejected at {version:d} for "{one}" and "{other}"')
def rejected(context, key, version, one, other):
    rows = {row.key: row for row in context.view.rejected()}
    text = ' '.join(rows[key].reasons)
    assert rows[key].version == version, rows
    assert one in text, text
    assert other in text, text


@then('nothing is rejected')
def none_rejected(context):
    assert not context.view.rejected()


@given('a peer that listed {count:d} entries at revision {revision:d}')
def peer(context, count, revision):
    rows = [_workspace(f'w{one}', one) for one in range(1, count + 1)]
    context.peer = CatalogueView(kept_deletions=20)
    context.peer.apply(covering(0, revision, rows))
    context.view.apply(covering(0, revision, rows))


@given('{edits:d} edits and deletions that the peer missed')
def edits(context, edits):
    behind = context.view
    context.view = context.peer
    context.peer = behind
    first = context.view.revision + 1
    for version in range(first, first + edits):
        number = version - first + 1
        key = f'catalogue/workspace/w{number}'
        gone = version % 2
        one = deletion(key, version) if gone else row(key, version)
        _watch(context, one)


@when('both views tell each other what they lack')
def tell(context):
    update = context.view.update_for(context.peer.digest())
    context.update_rows = len(changes_in(update))
    assert context.peer.update_for(context.view.digest()) is None
    context.peer.apply(update)


@when('the peer and an empty view tell each other what they lack')
def tell_empty(context):
    context.view = CatalogueView()
    context.view.apply(context.peer.update_for(context.view.digest()))


@then('both views are equal')
def equal(context):
    assert context.view.digest() == context.peer.digest()
    assert seen_in(context.view) == seen_in(context.peer)
    assert context.view.update_for(context.peer.digest()) is None


@then('the update held {rows} changes')
def update_held(context, rows):
    live = len(context.view.workspaces())
    if rows == 'all':
        assert context.update_rows >= live, context.update_rows
    else:
        assert context.update_rows == int(rows), context.update_rows


@given(
    '{count:d} random histories of 12 keys with good, bad and deleted entries'
)
def histories(context, count):
    context.histories = []
    for seed in range(count):
        chance = random.Random(seed)
        history = random_history(chance, chance.randint(5, _LENGTH))
        context.histories.append((chance, history))


@when('each is delivered shuffled, twice and in parts to three nodes')
def deliver(context):
    context.nodes = []
    for chance, history in context.histories:
        nodes = [CatalogueView() for _ in range(3)]
        for node in nodes:
            _deliver(chance, history, node)
        context.nodes.append((nodes, history))


def _deliver(chance, history, node):
    rows = history * 2
    chance.shuffle(rows)
    delivered = []
    while rows:
        size = chance.randint(1, _PARTS)
        part, rows = rows[:size], rows[size:]
        delivered += part
        before = seen_in(node)
        changed = node.apply(ConfigUpdate(0, tuple(part)))
        assert seen_in(node) == naive(delivered), delivered
        assert changed == (seen_in(node) != before)


@then('each node holds what a naive view in version order holds')
def holds(context):
    for nodes, history in context.nodes:
        for node in nodes:
            assert seen_in(node) == naive(history), history


@then('the digests of the nodes are equal')
def digests(context):
    for nodes, _ in context.nodes:
        assert len({node.digest().digest for node in nodes}) == 1


@when('nodes list, watch and gossip at random moments')
def gossip(context):
    context.worlds = []
    for chance, history in context.histories:
        world = World(chance, history)
        for _ in range(60):
            world.step()
        context.worlds.append(world)


@then('after a last round of gossip all nodes are equal to the platform')
def converged(context):
    for world in context.worlds:
        world.finish()
