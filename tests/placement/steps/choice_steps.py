"""Steps for placement."""

from __future__ import annotations

import math
from collections import Counter

from behave import given, then, when

from sardinetrack.placement.choice import (
    by_load,
    by_prompt,
    with_room,
    worth_waiting_seconds,
)
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.home import ranked
from sardinetrack.placement.load import ServerLoad
from sardinetrack.placement.prompt import Prompt, PromptPart
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
            PromptPart('base', 0),
            PromptPart(shared, shared_tokens),
            PromptPart('own', own_tokens),
        ),
        shared_tokens + own_tokens,
        50,
    )


def _idle():
    return ServerLoad()


@given('{count:d} idle engines')
def open_engines(context, count):
    context.servers = [_server(number) for number in range(count)]
    context.loads = {server.instance: _idle() for server in context.servers}


@given('{count:d} plain servers, one of them loaded')
def open_plain(context, count):
    domains = ('asparuhovo', 'galata', 'galata')
    context.servers = [
        _server(number, domains[number]) for number in range(count)
    ]
    context.loads = {server.instance: _idle() for server in context.servers}
    context.loads['i-1'].reported_running = 40


@when('{count:d} prompts with {parts:d} different shared parts are placed')
def place_prompts(context, count, parts):
    context.placed = [
        (number % parts, _best(context, _prompt(f'part-{number % parts}')))
        for number in range(count)
    ]


@when('one engine is lost')
def lose_engine(context):
    context.before = {part: _best(context, _prompt(part)) for part in _parts()}
    context.lost = context.servers.pop(3).instance


@when('the home has {seconds:g} seconds to read')
def load_home(context, seconds):
    context.home = _best(context, _prompt('hot'))
    context.loads[context.home].told_wait_seconds = seconds


@when('the home has no free slot for {seconds:g} seconds')
def fill_home(context, seconds):
    context.loads = {server.instance: _idle() for server in context.servers}
    context.home = _best(context, _prompt('hot'))
    load = context.loads[context.home]
    load.hear(seconds, load.rate_tokens)


@when('{count:d} prompts without shared parts are placed between two words')
def place_crowd(context, count):
    context.placed = []
    for _ in range(count):
        prompt = Prompt((), 2000, 50)
        best = by_prompt(prompt, context.servers, context.loads)[0]
        name = best.server.instance
        context.loads[name].added_tokens += best.new_tokens
        context.placed.append(name)


@then('each shared part is at one engine')
def one_engine(context):
    homes = {}
    for part, name in context.placed:
        assert homes.setdefault(part, name) == name


@then('two entries that list the engines in another order agree')
def agree(context):
    names = [server.instance for server in context.servers]
    for part in _parts():
        assert ranked(part, names) == ranked(part, reversed(names))


@then('only the parts at home there have moved')
def only_those_moved(context):
    for part, name in context.before.items():
        now = _best(context, _prompt(part))
        assert (now == name) is (name != context.lost)


@then('a prompt with {tokens:d} shared tokens stays at home')
def stays(context, tokens):
    assert _best(context, _prompt('hot', tokens)) == context.home


@then('a prompt with {tokens:d} shared tokens leaves it')
def leaves(context, tokens):
    assert _best(context, _prompt('hot', tokens)) != context.home


@then('no engine got more than {most:d} of them')
def spread(context, most):
    counts = Counter(context.placed)
    assert max(counts.values()) <= most, counts


@then('a request goes to one that is idle in the own failure domain')
def near_and_idle(context):
    found = by_load(context.servers, context.loads, 'galata', 5)
    assert found[0].server.instance == 'i-2'


def _parts():
    return [f'part-{number}' for number in range(200)]


def _best(context, prompt):
    found = by_prompt(prompt, context.servers, context.loads)
    return found[0].server.instance


@when('both holders of a part have {seconds:g} seconds to read')
def load_holders(context, seconds):
    prompt = _prompt('hot')
    order = by_prompt(prompt, context.servers, context.loads)
    context.holders = [one.server for one in order[:2]]
    for holder in context.holders:
        context.loads[holder.instance].told_wait_seconds = seconds
    ips = {one.ip for one in context.holders}
    context.found = by_prompt(prompt, context.servers, context.loads, ips)


@then('the other holder is before the idle ones by cost')
def holder_before(context):
    first = [one.server for one in context.found[:2]]
    assert set(first) == set(context.holders)


@then('it is not among those with room')
def holder_late(context):
    kept = list(with_room(context.found[1:], 0.4))
    assert kept
    assert all(one.server not in context.holders for one in kept)


@then('all that are idle are')
def idle_kept(context):
    kept = list(with_room(context.found, 0.4))
    assert len(kept) == len(context.servers) - len(context.holders)


@when('a prompt with {tokens:d} shared tokens is placed')
def place_one(context, tokens):
    prompt = _prompt('hot', tokens)
    context.found = by_prompt(prompt, context.servers, context.loads)


def _worth_waiting(context, due_seconds=math.inf):
    home, *others = context.found
    other = next(with_room(others, 0.4), None)
    return worth_waiting_seconds(home, other, due_seconds)


@then('it is worth waiting at home for less than {seconds:g} seconds')
def leaves_soon(context, seconds):
    assert _worth_waiting(context) < seconds, _worth_waiting(context)


@then('it is worth waiting at home for more than {seconds:g} seconds')
def stays_long(context, seconds):
    assert _worth_waiting(context) > seconds, _worth_waiting(context)


@then('it is a guest nowhere')
def guest_nowhere(context):
    assert not any(one.is_guest for one in context.found)


@then('it is a guest everywhere but at home')
def guest_elsewhere(context):
    home, *others = context.found
    assert not home.is_guest
    assert all(one.is_guest for one in others)


@when('the only holder of a part is not among the servers')
def lose_holder(context):
    context.found = by_prompt(
        _prompt('hot'),
        context.servers,
        context.loads,
        holders={'10.0.0.99'},
    )


@then('one server would read it as its home, and the others again')
def one_home(context):
    again = [one.again_tokens for one in context.found]
    assert again[0] == 0, again
    assert set(again[1:]) == {5000}, again


@given(
    'a server that keeps parts for {seconds:g} seconds '
    'and one that says nothing',
)
def open_holdings(context, seconds):
    context.holdings = Holdings()
    context.holdings.keeps('10.0.0.1', seconds)


@when('both have used a part {seconds:g} seconds ago')
def both_used(context, seconds):
    for ip in ('10.0.0.1', '10.0.0.2'):
        context.holdings.note(100, ip, ('p7',))
    context.held = context.holdings.of(100 + seconds, 'p7')


@then('only the one that says nothing counts as a holder')
def one_holder(context):
    assert list(context.held) == ['10.0.0.2'], context.held


@then(
    'due in {due:g} seconds it is worth waiting at home'
    ' for less than {seconds:g} seconds',
)
def worth_less_when_due(context, due, seconds):
    assert _worth_waiting(context, due) < seconds


@then(
    'due in {due:g} seconds it is worth waiting at home'
    ' for more than {seconds:g} seconds',
)
def worth_more_when_due(context, due, seconds):
    assert _worth_waiting(context, due) > seconds
