"""Steps for calls with an idempotency key."""

from __future__ import annotations

import json
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from behave import given, step, then, when

from support.caller import Answer, Caller
from support.fleet import Fleet, eventually
from support.relay_link import RelayLink

_TOKEN = 'pilot-token'
_ENTRIES = ('entry-a', 'entry-b')
_POOL = 'billing'
_SERVER = 'billing-0'


class OnceWorld:
    """A fleet, one service, and the calls of a scenario."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.caller = Caller(_TOKEN)
        self.threads = ThreadPoolExecutor(48)
        self.key = uuid.uuid4().hex
        self.answers: list[str] = []
        self.running: Future[str] | None = None
        self.links: dict[str, RelayLink] = {}
        self.service_url = ''
        self.delay_seconds: float = 0

    def start(self) -> None:
        """Start everything."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.workspace('pilot', _TOKEN, concurrency=64)
        fleet.service_pool(
            _POOL,
            [{'method': 'GET', 'path_prefix': '/'}],
            slots_per_server=1,
            max_run_seconds=5,
        )
        self.service_url = fleet.start_service(_SERVER)
        for entry in _ENTRIES:
            link = RelayLink(fleet.platform_url)
            self.links[entry] = fleet.keep(link)
        self.start_daemons()

    def start_daemons(self) -> None:
        """Start the side and the entries; wait until they are linked."""
        fleet = self.fleet
        fleet.start_side(_POOL, _SERVER, self.service_url)
        for entry in _ENTRIES:
            platform = {
                'url': self.links[entry].url,
                'token': {'value': 'platform-token'},
            }
            bounds = {'wait_seconds': 4}
            fleet.start_entry(entry, platform=platform, bounds=bounds)
        fleet.wait_ready(*_ENTRIES, f'side-{_SERVER}')
        for entry in _ENTRIES:
            fleet.wait_linked(entry, 1)

    def kill_daemons(self) -> None:
        """Kill all entries and sides with SIGKILL."""
        for name in (*_ENTRIES, f'side-{_SERVER}'):
            self.fleet.processes[name].kill()
            self.fleet.unlist_instance(name)

    def call_again(self, entry: str) -> str:
        """Make the scenario's call, or its resend."""
        return self.call(entry, self.key, self.delay_seconds)

    def call(self, entry: str, key: str, delay_seconds: float = 0) -> str:
        """Make a keyed call that must not run twice.

        :return: status and code.
        """
        url = f'{self.fleet.url(entry)}/services/{_POOL}/bill'
        answer = self.caller.call(
            'POST',
            f'{url}?delay_seconds={delay_seconds}',
            json.dumps({'key': key}).encode(),
            {'idempotency-key': key, 'content-type': 'application/json'},
        )
        return _told(answer)

    def send(self, entry: str, delay_seconds: float) -> None:
        """Make the scenario's call in the background."""
        self.delay_seconds = delay_seconds
        self.running = self.threads.submit(self.call_again, entry)

    def started(self, key: str) -> int:
        """Ask the service how often it has started a call."""
        url = f'{self.service_url}/standin/executions'
        counts = self.caller.call('GET', url).json()
        return int(counts.get(key, {}).get('started', 0))


def _told(answer: Answer) -> str:
    if answer.status == 200:
        return '200'
    return f'{answer.status} {answer.code}'


@given('a service that must not run a call twice, behind two entries')
def given_service(context: Any) -> None:
    context.once = OnceWorld()
    context.fleet = context.once.fleet
    context.once.start()


@when('a keyed call goes through "{entry}" and is answered')
@when('its resend goes through "{entry}"')
def when_called(context: Any, entry: str) -> None:
    once = context.once
    once.answers.append(once.call_again(entry))


@when('{count:d} keyed calls go through both entries at the same instant')
def when_both(context: Any, count: int) -> None:
    once = context.once
    context.pairs = {
        f'{once.key}-{number}': [
            once.threads.submit(once.call, entry, f'{once.key}-{number}')
            for entry in _ENTRIES
        ]
        for number in range(count)
    }


@when('a keyed call of {seconds:g} s is sent through "{entry}"')
def when_sent(context: Any, seconds: float, entry: str) -> None:
    once = context.once
    once.send(entry, seconds)
    eventually(lambda: once.started(once.key) == 1)


@when('all entries and sides are killed and started anew')
def when_all_killed(context: Any) -> None:
    context.once.kill_daemons()
    context.once.start_daemons()


@when('the platform has an outage')
def when_outage(context: Any) -> None:
    context.fleet.faults(outage=True)


@when('the outage ends')
def when_outage_ends(context: Any) -> None:
    context.fleet.faults()
    time.sleep(2)


@when('the platform loses the reply of the next write')
def when_reply_lost(context: Any) -> None:
    context.once.call('entry-a', uuid.uuid4().hex)
    time.sleep(1)
    context.fleet.faults(lose_replies=1)


@when('"{entry}" is cut off from the platform')
def when_cut(context: Any, entry: str) -> None:
    context.once.links[entry].cut()


@when('"{entry}" reaches the platform again')
def when_restored(context: Any, entry: str) -> None:
    context.once.links[entry].restore()
    time.sleep(2)


@when('the link of "{entry}" to the platform freezes')
def when_link_frozen(context: Any, entry: str) -> None:
    context.once.links[entry].freeze()


@when('the link of "{entry}" to the platform thaws')
def when_link_thawed(context: Any, entry: str) -> None:
    context.once.links[entry].thaw()


@when('the call is answered')
def when_answered(context: Any) -> None:
    once = context.once
    once.answers.append(once.running.result(60))


@when('the only slot and the places behind it are taken by calls of 3 s')
def when_slot_taken(context: Any) -> None:
    once = context.once
    for number in range(3):
        other = f'other-{number}'
        once.threads.submit(once.call, 'entry-b', other, 3)
        time.sleep(0.3)
    assert once.started('other-0') == 1


@when('a keyed call is sent through "{entry}" and waits')
def when_waits(context: Any, entry: str) -> None:
    once = context.once
    once.send(entry, 0)
    eventually(lambda: _waiting(context, entry) == 1, within_seconds=2)
    # Its claim must be written before the entry freezes.
    time.sleep(0.3)


@when('"{name}" is frozen')
def when_frozen(context: Any, name: str) -> None:
    context.fleet.processes[name].freeze()


@when('"{name}" is thawed')
def when_thawed(context: Any, name: str) -> None:
    context.fleet.processes[name].thaw()


@step('{seconds:g} s pass')
def when_time_passes(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@when('a moment has passed')
def when_moment(context: Any) -> None:
    time.sleep(1)


@when('its resend goes through "{entry}" when the key is free')
def when_free(context: Any, entry: str) -> None:
    once = context.once

    def runs() -> bool:
        return once.call_again(entry) == '200'

    eventually(runs, within_seconds=10)
    once.answers.append('200')


@then('the answers were "{told}"')
def then_answers(context: Any, told: str) -> None:
    assert ', '.join(context.once.answers) == told, context.once.answers


@then('the last answer is "{told}"')
def then_last(context: Any, told: str) -> None:
    assert context.once.answers[-1] == told, context.once.answers


@then('a resend through "{entry}" soon gets "{told}"')
def then_soon(context: Any, entry: str, told: str) -> None:
    once = context.once
    eventually(
        lambda: once.call_again(entry) == told,
        within_seconds=10,
    )


@then('each was answered once with 200 and once with 409')
def then_pairs(context: Any) -> None:
    for key, pair in context.pairs.items():
        told = sorted(one.result(60)[:3] for one in pair)
        assert told == ['200', '409'], (key, told)


@then('the service ran it {count:d} time')
def then_ran(context: Any, count: int) -> None:
    assert context.once.started(context.once.key) == count


@then('the service ran each of them {count:d} time')
def then_ran_each(context: Any, count: int) -> None:
    for key in context.pairs:
        assert context.once.started(key) == count, key


def _waiting(context: Any, entry: str) -> int:
    pools = context.fleet.operator(entry, '/status').json()['pools']
    return sum(pool['waiting'] for pool in pools)
