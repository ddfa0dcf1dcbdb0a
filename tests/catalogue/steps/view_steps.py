"""Steps for the configuration that one instance knows."""

from __future__ import annotations

import random

from behave import given, step, then, when
from histories import (
    active_in,
    config_object,
    deletion,
    random_history,
    reference,
    token_hash,
)
from worlds import World

from sardinetrack.catalogue.coverage import complete_update, sorted_changes
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.messages.api import ConfigUpdate

_MAX_BATCH = 7
_MAX_HISTORY = 40


def _workspace(name, version, **fields):
    return config_object(f'catalogue/workspace/{name}', version, **fields)


def _pool(name, version, **fields):
    return config_object(f'catalogue/pool/{name}', version, **fields)


def _list(context, *rows):
    revision = max(one.version for one in rows)
    context.changed = context.view.apply(complete_update(0, revision, rows))


def _watch(context, one):
    after = context.view.revision
    update = complete_update(after, one.version, [one])
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


@step('a watch returns workspace "{name}" of "{owner}" at {version:d}')
def watch_owned(context, name, owner, version):
    _watch(context, _workspace(name, version, owner=owner))


@step('a watch returns the deletion of workspace "{name}" at {version:d}')
def watch_deletion(context, name, version):
    _watch(context, deletion(f'catalogue/workspace/{name}', version))


@step('a watch returns an invalid workspace "{name}" at {version:d}')
def watch_invalid(context, name, version):
    _watch(context, _workspace(name, version, owner='', limits={'weight': -1}))


@when(
    'a watch returns workspace "{name}" at {version:d}'
    ' with the token of "{other}"'
)
def watch_token_claim(context, name, version, other):
    _watch(context, _workspace(name, version, token_hashes=[token_hash(other)]))


@when(
    'a watch returns pool "{name}" at {version:d} with the model of "{other}"'
)
def watch_model_claim(context, name, version, other):
    _watch(context, _pool(name, version, models=[other]))


@when('a peer sends workspace "{name}" of "{owner}" at {version:d}')
def peer_sends(context, name, owner, version):
    rows = (_workspace(name, version, owner=owner),)
    context.changed = context.view.apply(ConfigUpdate(version, rows))


@when('a peer sends the changes between {after:d} and {revision:d}')
def peer_sends_changes(context, after, revision):
    one = _workspace('late', revision)
    context.view.apply(complete_update(after, revision, [one]))


@then('the view is complete only up to {revision:d}')
def is_complete(context, revision):
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


@then('no active catalogue entry changed')
def active_unchanged(context):
    assert context.changed is False


@then('workspace "{name}" belongs to "{owner}"')
def belongs(context, name, owner):
    owners = {one.name: one.owner for one in context.view.workspaces()}
    assert owners[name] == owner, owners


@then('no workspace is active')
def none_active(context):
    assert not context.view.workspaces()


@then('only workspace "{name}" is active')
def only_active(context, name):
    assert [one.name for one in context.view.workspaces()] == [name]


@then('"{key}" is rejected at {version:d} for "{one}" and "{other}"')
def rejected(context, key, version, one, other):
    rejections = {
        rejection.key: rejection for rejection in context.view.rejected()
    }
    text = ' '.join(rejections[key].reasons)
    assert rejections[key].version == version, rejections
    assert one in text, text
    assert other in text, text


@then('nothing is rejected')
def none_rejected(context):
    assert not context.view.rejected()


@given(
    'a peer that listed {count:d} catalogue entries at revision {revision:d}'
)
def peer(context, count, revision):
    rows = [_workspace(f'w{one}', one) for one in range(1, count + 1)]
    context.peer = CatalogueView(kept_deletions=20)
    context.peer.apply(complete_update(0, revision, rows))
    context.view.apply(complete_update(0, revision, rows))


@given('{edits:d} edits and deletions that the peer missed')
def edits(context, edits):
    lagging = context.view
    context.view = context.peer
    context.peer = lagging
    first = context.view.revision + 1
    for version in range(first, first + edits):
        number = version - first + 1
        key = f'catalogue/workspace/w{number}'
        is_deletion = version % 2
        one = (
            deletion(key, version)
            if is_deletion
            else config_object(key, version)
        )
        _watch(context, one)


@when('both views send each other what they lack')
def exchange(context):
    update = context.view.update_for(context.peer.digest())
    context.update_changes = len(sorted_changes(update))
    assert context.peer.update_for(context.view.digest()) is None
    context.peer.apply(update)


@when('the peer and an empty view send each other what they lack')
def exchange_with_empty(context):
    context.view = CatalogueView()
    context.view.apply(context.peer.update_for(context.view.digest()))


@then('both views are equal')
def equal(context):
    assert context.view.digest() == context.peer.digest()
    assert active_in(context.view) == active_in(context.peer)
    assert context.view.update_for(context.peer.digest()) is None


@then('the update contains {rows} changes')
def update_contains(context, rows):
    live = len(context.view.workspaces())
    if rows == 'all':
        assert context.update_changes >= live, context.update_changes
    else:
        assert context.update_changes == int(rows), context.update_changes


@given(
    '{count:d} random histories of 12 keys'
    ' with valid, invalid and deleted objects'
)
def histories(context, count):
    context.histories = []
    for seed in range(count):
        rng = random.Random(seed)
        history = random_history(rng, rng.randint(5, _MAX_HISTORY))
        context.histories.append((rng, history))


@when('each is delivered shuffled, twice and in batches to three instances')
def deliver(context):
    context.instances = []
    for rng, history in context.histories:
        instances = [CatalogueView() for _ in range(3)]
        for instance in instances:
            _deliver(rng, history, instance)
        context.instances.append((instances, history))


def _deliver(rng, history, instance):
    rows = history * 2
    rng.shuffle(rows)
    delivered = []
    while rows:
        size = rng.randint(1, _MAX_BATCH)
        batch, rows = rows[:size], rows[size:]
        delivered += batch
        before = active_in(instance)
        changed = instance.apply(ConfigUpdate(0, tuple(batch)))
        assert active_in(instance) == reference(delivered), delivered
        assert changed == (active_in(instance) != before)


@then('each instance has the same content as a reference in version order')
def matches_reference(context):
    for instances, history in context.instances:
        for instance in instances:
            assert active_in(instance) == reference(history), history


@then('the digests of the instances are equal')
def digests(context):
    for instances, _ in context.instances:
        assert len({instance.digest().digest for instance in instances}) == 1


@when('instances list, watch and gossip at random moments')
def gossip(context):
    context.worlds = []
    for rng, history in context.histories:
        world = World(rng, history)
        for _ in range(60):
            world.step()
        context.worlds.append(world)


@then('after a last round of gossip all instances are equal to the platform')
def converged(context):
    for world in context.worlds:
        world.finish()
