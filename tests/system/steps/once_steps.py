"""Steps for calls with an idempotency key."""

from __future__ import annotations

import json
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from behave import given, step, then, when

from support.caller import Caller, CallerResponse
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
        self.responses: list[str] = []
        self.running: Future[str] | None = None
        self.paths: dict[str, RelayLink] = {}
        self.service_url = ''
        self.delay_seconds: float = 0

    def start(self) -> None:
        """Start all processes."""
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
            path = RelayLink(fleet.platform_url)
            self.paths[entry] = fleet.keep(path)
        self.start_daemons()

    def start_daemons(self) -> None:
        """Start the side and the entries; wait until they are linked."""
        fleet = self.fleet
        fleet.start_side(_POOL, _SERVER, self.service_url)
        for entry in _ENTRIES:
            platform = {
                'url': self.paths[entry].url,
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
        """Make the scenario's call, or send it again."""
        return self.call(entry, self.key, self.delay_seconds)

    def call(self, entry: str, key: str, delay_seconds: float = 0) -> str:
        """Make a keyed call that must not run twice.

        :return: status and code.
        """
        url = f'{self.fleet.url(entry)}/services/{_POOL}/bill'
        response = self.caller.call(
            'POST',
            f'{url}?delay_seconds={delay_seconds}',
            json.dumps({'key': key}).encode(),
            {'idempotency-key': key, 'content-type': 'application/json'},
        )
        return _status_and_code(response)

    def send(self, entry: str, delay_seconds: float) -> None:
        """Make the scenario's call in the background."""
        self.delay_seconds = delay_seconds
        self.running = self.threads.submit(self.call_again, entry)

    def started(self, key: str) -> int:
        """Return how often the service has started a call."""
        url = f'{self.service_url}/standin/executions'
        counts = self.caller.call('GET', url).json()
        return int(counts.get(key, {}).get('started', 0))


def _status_and_code(response: CallerResponse) -> str:
    if response.status == 200:
        return '200'
    return f'{response.status} {response.code}'


@given('a service that must not run a call twice, behind two entries')
def given_service(context: Any) -> None:
    context.once = OnceWorld()
    context.fleet = context.once.fleet
    context.once.start()


@when('a keyed call is made through "{entry}"')
@when('it is sent again through "{entry}"')
def when_called(context: Any, entry: str) -> None:
    once = context.once
    once.responses.append(once.call_again(entry))


@when('{count:d} keyed calls are sent through both entries at the same time')
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


@when('all entries and sides are killed and started again')
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


@when('the platform loses the response to the next write')
def when_response_lost(context: Any) -> None:
    context.once.call('entry-a', uuid.uuid4().hex)
    time.sleep(1)
    context.fleet.faults(lose_replies=1)


@when('"{entry}" is disconnected from the platform')
def when_cut(context: Any, entry: str) -> None:
    context.once.paths[entry].cut()


@when('"{entry}" can reach the platform again')
def when_restored(context: Any, entry: str) -> None:
    context.once.paths[entry].restore()
    time.sleep(2)


@when('the network path of "{entry}" to the platform freezes')
def when_path_frozen(context: Any, entry: str) -> None:
    context.once.paths[entry].freeze()


@when('the network path of "{entry}" to the platform thaws')
def when_path_thawed(context: Any, entry: str) -> None:
    context.once.paths[entry].thaw()


@when('the response to the call arrives')
def when_response(context: Any) -> None:
    once = context.once
    once.responses.append(once.running.result(60))


@when('calls of 3 s occupy the only slot and the queue behind it')
def when_slot_occupied(context: Any) -> None:
    once = context.once
    for number in range(3):
        other = f'other-{number}'
        once.threads.submit(once.call, 'entry-b', other, 3)
        time.sleep(0.3)
    assert once.started('other-0') == 1


@when('a keyed call is sent through "{entry}" and is queued')
def when_queued(context: Any, entry: str) -> None:
    once = context.once
    once.send(entry, 0)
    eventually(lambda: _count_waiting(context, entry) == 1, within_seconds=2)
    # Its claim must be written before the entry is suspended.
    time.sleep(0.3)


@when('"{name}" is suspended')
def when_suspended(context: Any, name: str) -> None:
    context.fleet.processes[name].freeze()


@when('"{name}" is resumed')
def when_resumed(context: Any, name: str) -> None:
    context.fleet.processes[name].thaw()


@step('{seconds:g} s pass')
def when_time_passes(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@when('one second has passed')
def when_second_passed(context: Any) -> None:
    time.sleep(1)


@when('it is sent again through "{entry}" until the key is free')
def when_free(context: Any, entry: str) -> None:
    once = context.once

    def runs() -> bool:
        return once.call_again(entry) == '200'

    eventually(runs, within_seconds=10)
    once.responses.append('200')


@then('the responses were "{expected}"')
def then_responses(context: Any, expected: str) -> None:
    assert ', '.join(context.once.responses) == expected, context.once.responses


@then('the last response is "{expected}"')
def then_last(context: Any, expected: str) -> None:
    assert context.once.responses[-1] == expected, context.once.responses


@then('within 10 s a resend through "{entry}" gets "{expected}"')
def then_soon(context: Any, entry: str, expected: str) -> None:
    once = context.once
    eventually(
        lambda: once.call_again(entry) == expected,
        within_seconds=10,
    )


@then('each got one 200 and one 409')
def then_pairs(context: Any) -> None:
    for key, pair in context.pairs.items():
        statuses = sorted(future.result(60)[:3] for future in pair)
        assert statuses == ['200', '409'], (key, statuses)


@then('the service ran it {count:d} time')
def then_ran(context: Any, count: int) -> None:
    assert context.once.started(context.once.key) == count


@then('the service ran each of them {count:d} time')
def then_ran_each(context: Any, count: int) -> None:
    for key in context.pairs:
        assert context.once.started(key) == count, key


def _count_waiting(context: Any, entry: str) -> int:
    pools = context.fleet.operator(entry, '/status').json()['pools']
    return sum(pool['waiting'] for pool in pools)
