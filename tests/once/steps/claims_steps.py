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

from sardinetrack.entry.idempotent_runs import IdempotentRuns
from sardinetrack.errors.api import RequestError
from sardinetrack.once.record import ShardHead, head_key, segment_key
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


@given('heads are sealed above {size:d} bytes')
def given_head_bytes(context: Any, size: int) -> None:
    context.world.max_head_bytes = size
    for name in tuple(context.world.tasks):
        context.world.kill(name)
        context.world.start(name)


@given('the response to the next write of "{name}" is lost')
def given_lost_response(context: Any, name: str) -> None:
    context.world.claim(name, 'warm')
    context.world.results.clear()
    lose_next_response(context.world, name)


@given('"{name}" has claimed "{key}"')
def given_claimed(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key)
    context.calls_before = context.world.shared_store.calls.copy()


@given(
    'the next write of "{name}" arrives {late:g} s late '
    'and its store is unreachable for {cut:g} s'
)
def given_late(context: Any, name: str, late: float, cut: float) -> None:
    context.late = []
    delay_next_write(context, name, late, cut)


@given('a segment that no head lists')
def given_orphan(context: Any) -> None:
    store = context.world.shared_store.store
    store.put(0, segment_key(0, 1), b'[]', 0)


@when('"{name}" claims "{key}"')
def when_claims(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key)


@when('"{name}" claims "{key}" for another request')
def when_claims_other(context: Any, name: str, key: str) -> None:
    context.world.claim(name, key, body='another')


@when('"{key}" is claimed through "{first}" and "{second}" at the same moment')
def when_both(context: Any, key: str, first: str, second: str) -> None:
    context.world.claim_all([(first, key), (second, key)])


@when('"{name}" claims {count:d} keys at the same moment')
def when_many(context: Any, name: str, count: int) -> None:
    requests = [(name, f'many-{number}') for number in range(count)]
    context.world.claim_all(requests)


@when('"{name}" claims {count:d} keys in sequence')
def when_sequence(context: Any, name: str, count: int) -> None:
    for number in range(count):
        context.world.claim(name, f'row-{number}')


@when('"{name}" claims the first of these keys')
def when_first(context: Any, name: str) -> None:
    context.world.claim(name, 'row-0')


@when('the claim of "{key}" through "{name}" is {outcome}')
def when_ended(context: Any, key: str, name: str, outcome: str) -> None:
    context.world.end_claim(name, key, outcome)


@when('a caller of "{name}" disconnects while "{key}" is claimed')
def when_caller_disconnects(context: Any, name: str, key: str) -> None:
    async def main() -> None:
        with anyio.move_on_after(0.022):
            await context.world.claim_once(name, key)

    context.world.claim(name, 'warm')
    context.world.results.clear()
    context.world.run(main())


@when('"{name}" is killed')
def when_killed(context: Any, name: str) -> None:
    context.world.kill(name)


@step('{seconds:g} s pass')
@step('{seconds:g} s passes')
def when_time_passes(context: Any, seconds: float) -> None:
    context.world.pass_time(seconds)


@when('"{name}" claims "{key}" and is ready to run it after {late:g} s')
def when_run_request_late(
    context: Any, name: str, key: str, late: float
) -> None:
    context.sent = False
    runs = IdempotentRuns(context.world.entries[name], wait_seconds=60)
    call = SimpleNamespace(
        workspace=SimpleNamespace(name='pilot'),
        work=SimpleNamespace(fingerprint='body'),
        pool=SimpleNamespace(max_run_seconds=600),
    )

    async def send_run_request(
        on_may_have_run: Callable[[bool], None],
    ) -> None:
        await anyio.sleep(late)
        on_may_have_run(True)
        context.sent = True

    async def main() -> None:
        with suppress(RequestError):
            await runs.run(call, key, send_run_request)
        await anyio.sleep(1)

    context.world.run(main())


@when('the store becomes unreachable')
def when_down(context: Any) -> None:
    context.world.shared_store.outage = True


@when('the store is reachable again')
def when_back(context: Any) -> None:
    context.world.shared_store.outage = False


@when('{callers:d} callers use {entries:d} entries with seed {seed:d}')
def when_random(context: Any, callers: int, entries: int, seed: int) -> None:
    context.run = run_seed(seed, callers, entries)


@then('the results are "{names}"')
def then_results(context: Any, names: str) -> None:
    assert ', '.join(context.world.results) == names, context.world.results


@then('the results are "{names}" in any order')
def then_sorted(context: Any, names: str) -> None:
    sorted_results = ', '.join(sorted(context.world.results))
    assert sorted_results == names, sorted_results


@then('the last result is "{name}"')
@then('the result is "{name}"')
def then_last(context: Any, name: str) -> None:
    assert context.world.results[-1] == name, context.world.results


@then('the run request is {sending} and "{name}" gets "{result}"')
def then_run_request(
    context: Any, sending: str, name: str, result: str
) -> None:
    assert context.sent is (sending == 'sent')
    assert context.world.results == [result], context.world.results


@then('late writes took no effect')
def then_late_no_effect(context: Any) -> None:
    assert context.late == ['no effect'], context.late


@then('the caller gets a retry-after time')
def then_retry_after(context: Any) -> None:
    assert context.world.errors, 'no error'


@then('{count:d} write was made')
def then_writes(context: Any, count: int) -> None:
    calls = context.world.shared_store.calls - context.calls_before
    assert calls['put'] == count, calls


@then("no write but the claims' was made")
def then_writes_of_claims(context: Any) -> None:
    puts = context.world.shared_store.calls['put']
    assert puts == 3, f'{puts} writes instead of the layout and two claims'


@then('the sealed segments hold most of the keys')
def then_sealed(context: Any) -> None:
    head = _head(context)
    assert len(head.segments) > 3, head.segments
    assert len(head.records) < 30, len(head.records)


@then('the store holds the layout, one head and {count:d} segments')
def then_objects(context: Any, count: int) -> None:
    keys = [
        row.key for row in context.world.shared_store.store.list('').objects
    ]
    assert len(keys) == 2 + count, keys


@then('the head holds {count:d} records')
def then_records(context: Any, count: int) -> None:
    assert len(_head(context).records) == count


@then('the reference model has never seen a key claimed twice')
def then_never_twice(context: Any) -> None:
    assert context.run.reference.counts['Claimed'] > 20, (
        context.run.reference.counts
    )


@then('every kind of result occurred')
def then_every_kind(context: Any) -> None:
    counts = context.run.reference.counts
    kinds = (
        'Claimed',
        'AlreadyRunning',
        'AlreadyFinished',
        'OutcomeUnknown',
        'RequestMismatch',
        'not claimed',
        'crash',
    )
    assert all(counts[kind] for kind in kinds), counts


def lose_next_response(world: ClaimsWorld, name: str) -> None:
    """Let the next write of an entry take effect without a response."""
    platform = world.platforms[name]
    put = platform.put

    async def put_without_response(*positional: Any, **named: Any) -> Any:
        platform.put = put  # type: ignore[method-assign]
        await put(*positional, **named)
        raise UncertainError('response lost')

    platform.put = put_without_response  # type: ignore[method-assign]


def delay_next_write(context: Any, name: str, late: float, cut: float) -> None:
    """Delay the next write of an entry, and make its store unreachable."""
    platform = context.world.platforms[name]
    store = context.world.shared_store.store
    put = platform.put

    async def arrive(key: str, text: bytes, expected_version: int) -> None:
        await anyio.sleep(late)
        try:
            store.put(0, key, text, expected_version)
        except Exception:
            context.late.append('no effect')
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
        platform._background.start_soon(make_unreachable)
        raise UncertainError('no response in time')

    async def make_unreachable() -> None:
        platform.cut = True
        await anyio.sleep(cut)
        platform.cut = False

    platform.put = late_put  # type: ignore[method-assign]


def _head(context: Any) -> ShardHead:
    stored = context.world.shared_store.store.get(head_key(0))
    return msgspec.json.decode(stored.value, type=ShardHead)
