"""Steps for the choice of a server."""

from __future__ import annotations

import math
from collections import Counter

from behave import given, then, when

from sardinetrack.placement.choice import (
    rank_by_load,
    rank_by_prefix,
    with_capacity,
    worthwhile_wait_seconds,
)
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.placement.prefix_index import PrefixCacheIndex
from sardinetrack.placement.prompt import Prompt, PromptBlock
from sardinetrack.placement.rendezvous import rendezvous_order
from sardinetrack.topology.servers import BackendServer


def _server(number, failure_domain='galata'):
    return BackendServer(
        f'i-{number}',
        'models',
        f'10.0.0.{number}',
        80,
        failure_domain,
        64,
        leaving=False,
    )


def _prompt(shared, shared_tokens=5000, own_tokens=1000):
    return Prompt(
        (
            PromptBlock('base', 0),
            PromptBlock(shared, shared_tokens),
            PromptBlock('own', own_tokens),
        ),
        shared_tokens + own_tokens,
        50,
    )


def _idle():
    return EstimatedLoad()


@given('{count:d} idle engines')
def open_engines(context, count):
    context.servers = [_server(number) for number in range(count)]
    context.loads = {server.instance: _idle() for server in context.servers}


@given('{count:d} servers without models, one of them loaded')
def open_without_models(context, count):
    domains = ('asparuhovo', 'galata', 'galata')
    context.servers = [
        _server(number, domains[number]) for number in range(count)
    ]
    context.loads = {server.instance: _idle() for server in context.servers}
    context.loads['i-1'].reported_running = 40


@when(
    '{count:d} prompts with {prefixes:d} different shared prefixes are placed',
)
def place_prompts(context, count, prefixes):
    context.placed = [
        (
            number % prefixes,
            _best(context, _prompt(f'part-{number % prefixes}')),
        )
        for number in range(count)
    ]


@when('one engine is removed')
def remove_engine(context):
    context.before = {
        prefix: _best(context, _prompt(prefix)) for prefix in _prefixes()
    }
    context.removed = context.servers.pop(3).instance


@when('the home server has {seconds:g} seconds of prefill left')
def load_home(context, seconds):
    context.home = _best(context, _prompt('hot'))
    context.loads[context.home].reported_wait_seconds = seconds


@when('the home server has no free slot for {seconds:g} seconds')
def fill_home(context, seconds):
    context.loads = {server.instance: _idle() for server in context.servers}
    context.home = _best(context, _prompt('hot'))
    load = context.loads[context.home]
    load.update(seconds, load.rate_tokens)


@when(
    '{count:d} prompts without shared prefixes are placed between two reports',
)
def place_many(context, count):
    context.placed = []
    for _ in range(count):
        prompt = Prompt((), 2000, 50)
        best = rank_by_prefix(prompt, context.servers, context.loads)[0]
        name = best.server.instance
        context.loads[name].added_tokens += best.prefill_tokens
        context.placed.append(name)


@then('each shared prefix is at one engine')
def one_engine(context):
    homes = {}
    for prefix, name in context.placed:
        assert homes.setdefault(prefix, name) == name


@then('two entries that list the engines in another order agree')
def agree(context):
    names = [server.instance for server in context.servers]
    for prefix in _prefixes():
        assert rendezvous_order(prefix, names) == rendezvous_order(
            prefix, reversed(names)
        )


@then('only the prefixes with that home server have moved')
def only_those_moved(context):
    for prefix, name in context.before.items():
        now = _best(context, _prompt(prefix))
        assert (now == name) is (name != context.removed)


@then('a prompt with {tokens:d} shared tokens stays at its home server')
def stays(context, tokens):
    assert _best(context, _prompt('hot', tokens)) == context.home


@then('a prompt with {tokens:d} shared tokens goes to another server')
def goes_elsewhere(context, tokens):
    assert _best(context, _prompt('hot', tokens)) != context.home


@then('no engine got more than {maximum:d} of them')
def spread(context, maximum):
    counts = Counter(context.placed)
    assert max(counts.values()) <= maximum, counts


@then('a request goes to an idle one in the own failure domain')
def near_and_idle(context):
    found = rank_by_load(context.servers, context.loads, 'galata', 5, 0)
    assert found[0].server.instance == 'i-2'


def _prefixes():
    return [f'part-{number}' for number in range(200)]


def _best(context, prompt):
    found = rank_by_prefix(prompt, context.servers, context.loads)
    return found[0].server.instance


@when(
    'both servers that cache a prefix have {seconds:g} seconds of prefill left'
)
def load_caching(context, seconds):
    prompt = _prompt('hot')
    order = rank_by_prefix(prompt, context.servers, context.loads)
    context.caching = [one.server for one in order[:2]]
    for busy in context.caching:
        context.loads[busy.instance].reported_wait_seconds = seconds
    ips = {one.ip for one in context.caching}
    context.found = rank_by_prefix(prompt, context.servers, context.loads, ips)


@then('the other caching server is before the idle ones by cost')
def caching_before(context):
    first = [one.server for one in context.found[:2]]
    assert set(first) == set(context.caching)


@then('it is not among those with free capacity')
def caching_late(context):
    kept = list(with_capacity(context.found[1:], 0.4))
    assert kept
    assert all(one.server not in context.caching for one in kept)


@then('all idle ones are')
def idle_kept(context):
    kept = list(with_capacity(context.found, 0.4))
    assert len(kept) == len(context.servers) - len(context.caching)


@when('a prompt with {tokens:d} shared tokens is placed')
def place_one(context, tokens):
    prompt = _prompt('hot', tokens)
    context.found = rank_by_prefix(prompt, context.servers, context.loads)


def _worth_waiting(context, first_event_due_seconds=math.inf):
    home, *others = context.found
    other = next(with_capacity(others, 0.4), None)
    return worthwhile_wait_seconds(home, other, first_event_due_seconds)


@then(
    'it is worth waiting at its home server for less than {seconds:g} seconds'
)
def leaves_soon(context, seconds):
    assert _worth_waiting(context) < seconds, _worth_waiting(context)


@then(
    'it is worth waiting at its home server for more than {seconds:g} seconds'
)
def stays_long(context, seconds):
    assert _worth_waiting(context) > seconds, _worth_waiting(context)


@then('no server counts as computing its prefix again')
def recomputed_nowhere(context):
    assert not any(one.recomputes_prefix for one in context.found)


@then('all servers except its home server compute its prefix again')
def recomputed_elsewhere(context):
    home, *others = context.found
    assert not home.recomputes_prefix
    assert all(one.recomputes_prefix for one in others)


@when('the only server that caches a prefix is not among the servers')
def remove_caching(context):
    context.found = rank_by_prefix(
        _prompt('hot'),
        context.servers,
        context.loads,
        cached_at={'10.0.0.99'},
    )


@then('one server would prefill it as its home server, and the others again')
def one_home(context):
    recomputed = [one.recomputed_tokens for one in context.found]
    assert recomputed[0] == 0, recomputed
    assert set(recomputed[1:]) == {5000}, recomputed


@given(
    'a server that caches prefixes for {seconds:g} seconds '
    'and one that reports nothing',
)
def open_holdings(context, seconds):
    context.prefix_index = PrefixCacheIndex()
    context.prefix_index.set_retention('10.0.0.1', seconds)


@when('both have used a prefix {seconds:g} seconds ago')
def both_used(context, seconds):
    for ip in ('10.0.0.1', '10.0.0.2'):
        context.prefix_index.record(100, ip, ('p7',))
    context.cached = context.prefix_index.servers_with(100 + seconds, 'p7')


@then('only the one that reports nothing counts as caching it')
def one_caching(context):
    assert list(context.cached) == ['10.0.0.2'], context.cached


@then(
    'due in {due:g} seconds it is worth waiting at its home server'
    ' for less than {seconds:g} seconds',
)
def worth_less_when_due(context, due, seconds):
    assert _worth_waiting(context, due) < seconds


@then(
    'due in {due:g} seconds it is worth waiting at its home server'
    ' for more than {seconds:g} seconds',
)
def worth_more_when_due(context, due, seconds):
    assert _worth_waiting(context, due) > seconds
