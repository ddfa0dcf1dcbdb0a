"""Steps for home servers of engines with different rates."""

from __future__ import annotations

from random import Random

import xxhash
from behave import given, then, when

from sardinetrack.placement.choice import rank_by_prefix
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prompt import Prompt, PromptBlock
from sardinetrack.topology.servers import BackendServer

_PREFIXES = 2000


@given(
    '{fast:d} engines that prefill {fast_rate:d} tokens a second '
    'and {slow:d} that prefill {slow_rate:d}'
)
def open_unequal(context, fast, fast_rate, slow, slow_rate):
    context.fast = {f'i-{number}' for number in range(fast)}
    context.servers = [
        BackendServer(
            f'i-{one}', 'm', f'10.0.0.{one}', 80, 'a', 64, leaving=False
        )
        for one in range(fast + slow)
    ]
    names = [server.instance for server in context.servers]
    context.loads = {
        name: EstimatedLoad(
            rate_tokens=fast_rate if name in context.fast else slow_rate
        )
        for name in names
    }
    context.homes = _homes(context)


def _order(context, prefix):
    """Rank so many shared tokens that no other term changes the order."""
    blocks = (PromptBlock(prefix, 50_000), PromptBlock('own', 0))
    found = rank_by_prefix(
        Prompt(blocks, 50_000, 50), context.servers, context.loads
    )
    return [one.server.instance for one in found]


def _homes(context, count=_PREFIXES):
    names = [f'part-{number}' for number in range(count)]
    return {name: _order(context, name)[0] for name in names}


@then(
    'between {low:d} and {high:d} percent of {count:d} prefixes '
    'have a home server of the first kind'
)
def share_of_fast(context, low, high, count):
    context.homes = _homes(context, count)
    fast = sum(home in context.fast for home in context.homes.values())
    assert low <= 100 * fast / count <= high, fast


@then('each engine is the home server of some')
def all_have_some(context):
    assert set(context.homes.values()) == set(context.loads)


@then('the order for {count:d} prefixes is that of the hashes alone')
def order_of_hashes(context, count):
    """Check the first five; behind them all ranks cost the same."""
    for number in range(count):
        key = f'part-{number}'
        hashes = {
            name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())
            for name in context.loads
        }
        for load in context.loads.values():
            load.rate_tokens = 90_000
        expected = sorted(hashes, key=hashes.__getitem__, reverse=True)
        found = _order(context, key)
        assert found[:5] == expected[:5], (key, found, expected)


@then(
    'with {count:d} reports of rates up to {percent:d} percent off '
    'no home server moves'
)
def no_home_moves(context, count, percent):
    rng = Random(1)
    rates = {name: one.rate_tokens for name, one in context.loads.items()}
    for _ in range(count):
        for name, load in context.loads.items():
            factor = 1 + rng.uniform(-percent, percent) / 100
            load.update(0, rates[name] * factor)
        assert _homes(context, 50).items() <= context.homes.items()
    assert _homes(context) == context.homes


@when('engine {number:d} becomes slower by a factor of {factor:d}')
def slow_down(context, number, factor):
    context.slowed = f'i-{number}'
    load = context.loads[context.slowed]
    load.update(0, load.rate_tokens / factor)


@when('it becomes faster by a factor of {factor:d}')
def speed_up(context, factor):
    load = context.loads[context.slowed]
    load.update(0, load.rate_tokens * factor)


@then('only prefixes with that home server have another one')
def only_its_own(context):
    context.now = _homes(context)
    for prefix, home in context.homes.items():
        assert context.now[prefix] == home or home == context.slowed


@then('it has kept between {low:d} and {high:d} percent of them')
def has_kept(context, low, high):
    own = list(context.homes.values()).count(context.slowed)
    kept = list(context.now.values()).count(context.slowed)
    assert low <= 100 * kept / own <= high, (kept, own)


@when('another entry gets the first report of each engine')
def start_entry(context):
    rates = {name: one.rate_tokens for name, one in context.loads.items()}
    context.loads = {name: EstimatedLoad() for name in rates}
    for name, load in context.loads.items():
        load.update(0, rates[name])


@then('it has the same home servers')
def same_homes(context):
    assert _homes(context) == context.homes
