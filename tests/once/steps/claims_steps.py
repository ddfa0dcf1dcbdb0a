"""Steps for the claims of idempotency keys."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
from behave import given, step, then, when
from claims_world import ClaimsWorld
from random_run import run_seed

from sardinetrack.entry.keyed import KeyedRuns
from sardinetrack.errors.api import AnsweredError
from sardinetrack.once.record import Head, head_key, segment_key
from sardinetrack.store.api import UncertainError


@given('entry "{name}"')
def given_entry(context: Any, name: str) -> None:
    context.world.start(name)


@given('entries "{first}" and "{second}"')
def given_entries(context: Any, first: str, second: str) -> None:
    context.world.start(first)
    context.world.start(second)


@given('entry "{name}" with {count:d} shard')
@given('entry "{name}" with {count:d} shards')
def given_shards(context: Any, name: str, count: int) -> None:
    context.world.shards = count
    context.world.start(name)


@given('heads are sealed at {size:d} bytes')
def given_head_bytes(context: Any, size: int) -> None:
    context.world.head_bytes = size
    for name in tuple(context.world.tasks):
        context.world.kill(name)
        context.world.start(name)


@given('the next write of "{name}" loses its reply')
def given_lost_reply(context: Any, name: str) -> None:
    context.world.claim(name, 'warm')
    context.world.answers.clear()
    lose_next_reply(context.world, name)


@given('"{name}" has claimed "{key}"')
def given_claimed(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key)
    context.calls_before = context.world.road.calls.copy()


@given(
    'the next write of "{name}" is late by {late:g} s '
    'and its way is cut for {cut:g} s'
)
def given_late(context: Any, name: str, late: float, cut: float) -> None:
    context.late = []
    write_late(context, name, late, cut)


@given('a segment that no head lists')
def given_orphan(context: Any) -> None:
    store = context.world.road.store
    store.put(0, segment_key(0, 1), b'[]', 0)


@when('"{name}" claims "{key}"')
def when_claims(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key)


@when('"{name}" claims "{key}" for another request')
def when_claims_other(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key, body='another')


@when('"{key}" is claimed through "{first}" and "{second}" at the same instant')
def when_both(context: Any, key: str, first: str, second: str) -> None:
    context.world.claim_all([(first, key), (second, key)])


@when('"{name}" claims {count:d} keys at the same instant')
def when_many(context: Any, name: str, count: int) -> None:
    wishes = [(name, f'many-{number}') for number in range(count)]
    context.world.claim_all(wishes)


@when('"{name}" claims {count:d} keys one after the other')
def when_sequence(context: Any, name: str, count: int) -> None:
    for number in range(count):
        context.world.claim(name, f'row-{number}')


@when('"{name}" claims the first of them')
def when_first(context: Any, name: str) -> None:
    context.world.claim(name, 'row-0')


@when('the claim of "{key}" through "{name}" is {word}')
def when_ended(context: Any, key: str, name: str, word: str) -> None:
    context.world.end(name, key, word)


@when('a caller of "{name}" hangs up while "{key}" is claimed')
def when_hung_up(context: Any, name: str, key: str) -> None:
    async def main() -> None:
        with anyio.move_on_after(0.022):
            await context.world.claim_once(name, key)

    context.world.claim(name, 'warm')
    context.world.answers.clear()
    context.world.run(main())


@when('"{name}" is killed')
def when_killed(context: Any, name: str) -> None:
    context.world.kill(name)


@step('{seconds:g} s pass')
@step('{seconds:g} s passes')
def when_time_passes(context: Any, seconds: float) -> None:
    context.world.pass_time(seconds)


@when('"{name}" claims "{key}" and is about to order after {late:g} s')
def when_order_late(context: Any, name: str, key: str, late: float) -> None:
    context.ordered = False
    keyed = KeyedRuns(context.world.entries[name], wait_seconds=60)
    call = SimpleNamespace(
        workspace=SimpleNamespace(name='pilot'),
        work=SimpleNamespace(fingerprint='body'),
        pool=SimpleNamespace(max_run_seconds=600),
    )

    async def order(note_may_have_run: Callable[[bool], None]) -> None:
        await anyio.sleep(late)
        note_may_have_run(True)
        context.ordered = True

    async def main() -> None:
        with suppress(AnsweredError):
            await keyed.run(call, key, order)
        await anyio.sleep(1)

    context.world.run(main())


@when('the platform goes down')
def when_down(context: Any) -> None:
    context.world.road.outage = True


@when('the platform comes back')
def when_back(context: Any) -> None:
    context.world.road.outage = False


@when('{callers:d} callers come to {entries:d} entries with seed {seed:d}')
def when_random(context: Any, callers: int, entries: int, seed: int) -> None:
    context.run = run_seed(seed, callers, entries)


@then('the answers are "{names}"')
def then_answers(context: Any, names: str) -> None:
    assert ', '.join(context.world.answers) == names, context.world.answers


@then('the answers are "{names}" in any order')
def then_sorted(context: Any, names: str) -> None:
    found = ', '.join(sorted(context.world.answers))
    assert found == names, found


@then('the last answer is "{name}"')
@then('it is "{name}"')
def then_last(context: Any, name: str) -> None:
    assert context.world.answers[-1] == name, context.world.answers


@then('the order {leaves} and "{name}" is told "{answer}"')
def then_order(context: Any, leaves: str, name: str, answer: str) -> None:
    assert context.ordered is (leaves == 'leaves')
    assert context.world.answers == [answer], context.world.answers


@then('late writes took no effect')
def then_late_in_vain(context: Any) -> None:
    assert context.late == ['in vain'], context.late


@then('the caller is told when to come back')
def then_retry_after(context: Any) -> None:
    assert context.world.errors, 'no error'


@then('{count:d} write was made')
def then_writes(context: Any, count: int) -> None:
    calls = context.world.road.calls - context.calls_before
    assert calls['put'] == count, calls


@then("no write but the claims' was made")
def then_writes_of_claims(context: Any) -> None:
    puts = context.world.road.calls['put']
    assert puts == 3, f'{puts} writes: the layout, two claims'


@then('the sealed segments hold most of them')
def then_sealed(context: Any) -> None:
    head = _head(context)
    assert len(head.segments) > 3, head.segments
    assert len(head.records) < 30, len(head.records)


@then('the platform holds the layout, one head and {count:d} segments')
def then_objects(context: Any, count: int) -> None:
    keys = [row.key for row in context.world.road.store.list('').objects]
    assert len(keys) == 2 + count, keys


@then('the head holds {count:d} records')
def then_records(context: Any, count: int) -> None:
    assert len(_head(context).records) == count


@then('the naive dictionary never saw a key claimed twice')
def then_never_twice(context: Any) -> None:
    assert context.run.naive.seen['Claimed'] > 20, context.run.naive.seen


@then('every kind of answer was given')
def then_every_kind(context: Any) -> None:
    seen = context.run.naive.seen
    kinds = (
        'Claimed',
        'AlreadyRunning',
        'AlreadyFinished',
        'OutcomeLost',
        'Mismatch',
        'not claimed',
        'crash',
    )
    assert all(seen[kind] for kind in kinds), seen


def lose_next_reply(world: ClaimsWorld, name: str) -> None:
    """Let the next write of an entry take effect without a reply."""
    platform = world.platforms[name]
    put = platform.put

    async def lossy(*positional: Any, **named: Any) -> Any:
        platform.put = put  # type: ignore[method-assign]
        await put(*positional, **named)
        raise UncertainError('reply lost')

    platform.put = lossy  # type: ignore[method-assign]


def write_late(context: Any, name: str, late: float, cut: float) -> None:
    """Let the next write of an entry arrive late, and cut its way."""
    platform = context.world.platforms[name]
    store = context.world.road.store
    put = platform.put

    async def arrive(key: str, text: bytes, expected_version: int) -> None:
        await anyio.sleep(late)
        try:
            store.put(0, key, text, expected_version)
        except Exception:
            context.late.append('in vain')
        else:
            context.late.append('took effect')

    async def late_put(
        key: str,
        text: bytes,
        *,
        expected_version: int,
    ) -> Any:
        platform.put = put  # type: ignore[method-assign]
        platform._background.start_soon(arrive, key, text, expected_version)
        platform._background.start_soon(cut_for_a_while)
        raise UncertainError('no answer in time')

    async def cut_for_a_while() -> None:
        platform.cut = True
        await anyio.sleep(cut)
        platform.cut = False

    platform.put = late_put  # type: ignore[method-assign]


def _head(context: Any) -> Head:
    stored = context.world.road.store.get(head_key(0))
    return msgspec.json.decode(stored.value, type=Head)
