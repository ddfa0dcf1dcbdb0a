"""Steps for the streams that a prompt makes late."""

from __future__ import annotations

from random import Random

import xxhash
from behave import given, then, when

from sardinetrack.placement.choice import rank_by_prefix, with_capacity
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prompt import Prompt, PromptBlock
from sardinetrack.placement.step_pace import StepPace
from sardinetrack.topology.servers import BackendServer

_GAP_SECONDS = 0.3
_FAST = (90_000, StepPace(6, 0.0027, 0.023))
_SLOW = (36_000, StepPace(6, 0.0055, 0.058))
_STREAMS = 12


def _open(context, count):
    context.servers = [
        BackendServer(
            f'i-{one}', 'm', f'10.0.0.{one}', 80, 'a', 64, leaving=False
        )
        for one in range(count)
    ]


def _load(engine, streams=_STREAMS, wait_seconds=0):
    rate, pace = engine
    return EstimatedLoad(wait_seconds, rate, pace=pace, streams=streams)


def _rank(context, gap_seconds=_GAP_SECONDS):
    return rank_by_prefix(
        context.prompt, context.servers, context.loads, (), gap_seconds
    )


@given(
    '{fast:d} fast engines and {slow:d} slow ones with 12 running streams each'
)
def open_fleet(context, fast, slow):
    _open(context, fast + slow)
    names = [server.instance for server in context.servers]
    context.fast = set(names[:fast])
    context.slow = names[fast:]
    context.loads = {
        name: _load(_FAST if name in context.fast else _SLOW) for name in names
    }


@when('every fast engine has {seconds:g} seconds of prefill left')
def load_fast(context, seconds):
    for name in context.fast:
        context.loads[name].reported_wait_seconds = seconds


@when('one slow engine runs only {streams:d} streams')
def few_streams(context, streams):
    context.quiet = context.slow[5]
    context.loads[context.quiet].streams = streams


def _place(context, tokens):
    context.prompt = Prompt((), tokens, 50)
    context.found = _rank(context)
    return context.found[0].server.instance


@then('a prompt of {tokens:d} tokens goes to a fast engine')
def goes_to_fast(context, tokens):
    assert _place(context, tokens) in context.fast, context.found[0]


@then('without a pause objective it goes to a slow engine')
def goes_to_slow(context):
    assert _rank(context, 0)[0].server.instance in context.slow


@then('a prompt of {tokens:d} tokens goes to that one')
def goes_to_quiet(context, tokens):
    assert _place(context, tokens) == context.quiet, context.found[0]


@then(
    'of the servers that start it within {seconds:g} seconds '
    'the first is a slow engine'
)
def next_is_slow(context, seconds):
    able = next(with_capacity(context.found, seconds))
    assert able.server.instance in context.slow, able


@then(
    'a prompt of {tokens:d} tokens has the same order without a pause objective'
)
def same_order(context, tokens):
    _place(context, tokens)
    assert _names(context.found) == _names(_rank(context, 0))


def _names(candidates):
    return [one.server.instance for one in candidates]


@when('{count:d} prompts with random loads are placed without {missing}')
def place_random(context, count, missing):
    rng = Random(1)
    context.pairs = []
    for number in range(count):
        _open(context, rng.randrange(1, 25))
        rate = rng.uniform(20_000, 120_000)
        context.loads = {
            server.instance: _load(
                (
                    rate * rng.uniform(1, 1.5),
                    StepPace() if 'pace' in missing else _SLOW[1],
                ),
                0 if 'streams' in missing else rng.randrange(30),
                rng.choice((0, rng.uniform(0, 2))),
            )
            for server in context.servers
        }
        context.prompt = Prompt(
            (
                PromptBlock(f'part-{number}', 3000),
                PromptBlock('own', rng.randrange(1, 20_000)),
            ),
            23_000,
            50,
        )
        found = _rank(context, 0 if 'objective' in missing else _GAP_SECONDS)
        context.pairs.append((_names(found), _order_by_time(context)))


def _order_by_time(context):
    """Return the order before streams and rates of engines counted."""
    key = context.prompt.blocks[0].block_id
    costs = {}
    names = sorted(
        context.loads,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )
    recomputed = context.prompt.tokens - context.prompt.blocks[-1].tokens
    for rank, name in enumerate(names):
        load = context.loads[name]
        costs[name] = (
            load.reported_wait_seconds
            + 20 * bool(rank) * recomputed / load.rate_tokens
            + 0.015 * min(rank, 4)
        )
    return sorted(names, key=costs.__getitem__)


@then(
    'all orders are those of the wait, the prefix computed again and the rank'
)
def same_as_before(context):
    for found, expected in context.pairs:
        assert found == expected, (found, expected)


@when('every fast engine has caused a pause of {seconds:g} seconds lately')
def cause_pauses(context, seconds):
    for name in context.fast:
        context.loads[name].recent_pause_seconds = seconds


@when('every slow engine has {seconds:g} seconds of prefill left')
def load_slow(context, seconds):
    for name in context.slow:
        context.loads[name].reported_wait_seconds = seconds


@then(
    'a prompt of {tokens:d} tokens with {output:d} tokens to generate '
    'goes to a {kind} engine',
)
def goes_to_kind(context, tokens, output, kind):
    context.prompt = Prompt((), tokens, output)
    assert _is_fast(context, _rank(context)) is (kind == 'fast')


@then('without a pause objective it goes to a fast engine')
def goes_to_fast_without(context):
    assert _is_fast(context, _rank(context, 0))


def _is_fast(context, ranked):
    return ranked[0].server.instance in context.fast
