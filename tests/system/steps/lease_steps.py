"""Steps for load commands under a lease."""

from __future__ import annotations

import json
import time
from typing import Any

from behave import given, then, when

from support.caller import Caller
from support.fleet import Fleet, eventually
from support.relay_link import RelayLink

_TOKEN = 'pilot-token'
_POOL = 'ice-llm'
_MODEL = 'ice-llm'
_SERVER = 'engine-0'
_LEASE_KEY = f'leases/{_POOL}/{_SERVER}'
_LEASE_SECONDS = 4.0
_PATH_DELAY_SECONDS = 0.8


class LeaseWorld:
    """One engine, one or two sides, one entry."""

    def __init__(self, kind: str) -> None:
        self.fleet = Fleet()
        self.caller = Caller(_TOKEN)
        self.checks = kind == 'checks'
        self.models = [_MODEL]
        self.engine_url = ''
        self._own_calls = 0
        self.engine_path: RelayLink
        self.platform_path: RelayLink

    def start(self) -> None:
        """Start all processes but a second side."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.workspace('pilot', _TOKEN)
        self.engine_url = fleet.start_engine(
            _SERVER,
            model=_MODEL,
            checks_fencing=self.checks,
        )
        self.put_pool()
        self.engine_path = fleet.keep(RelayLink(self.engine_url))
        self.platform_path = fleet.keep(RelayLink(fleet.platform_url))
        self.start_side('side-a', self.engine_path.url, self.platform_path.url)
        fleet.start_entry('entry-a')
        fleet.wait_ready('side-a', 'entry-a')
        fleet.wait_linked('entry-a', 1)

    def start_side(self, name: str, engine_url: str, platform: str) -> None:
        """Start a side of the engine."""
        self.fleet.start_side(
            _POOL,
            _SERVER,
            engine_url,
            instance=name,
            lease_seconds=_LEASE_SECONDS,
            platform={'url': platform, 'token': {'value': 'platform-token'}},
        )

    def put_pool(self) -> None:
        """Write the pool with its current list of models."""
        self.fleet.put_catalogue(
            {
                'kind': 'pool',
                'name': _POOL,
                'owner': 'tests',
                'class': 'model',
                'models': self.models,
                'checks_fencing': [_SERVER] if self.checks else [],
            },
        )
        self._own_calls += 1

    def add_model(self) -> None:
        """Add one model to the pool."""
        self.models.append(f'{_MODEL}-{len(self.models)}')
        self.put_pool()

    def commands(self) -> list[dict[str, Any]]:
        """Return the load commands that the engine has accepted."""
        return list(self.caller.call('GET', f'{self.engine_url}/orders').json())

    def lease(self) -> dict[str, Any] | None:
        """Read the lease object."""
        url = f'{self.fleet.platform_url}/objects/{_LEASE_KEY}'
        response = self.fleet.platform.call('GET', url)
        self._own_calls += 1
        return response.json() if response.status == 200 else None

    def count_side_calls(self) -> int:
        """Count the gets and puts of sides; entries make none here."""
        url = f'{self.fleet.platform_url}/calls'
        taken = self.fleet.platform.call('GET', url).json()['taken']
        calls = int(taken.get('get', 0)) + int(taken.get('put', 0))
        return calls - self._own_calls

    def request_completion(self, model: str) -> int:
        """Request a completion.

        :return: the status.
        """
        content = 'draft id=lease tokens=3'
        request = {
            'model': model,
            'messages': [{'role': 'user', 'content': content}],
        }
        return self.caller.chat(self.fleet.url('entry-a'), request).status


@given('an engine that {kind} fencing tokens, its side and an entry')
def given_engine(context: Any, kind: str) -> None:
    context.lease = LeaseWorld(kind)
    context.fleet = context.lease.fleet
    context.lease.start()


@given('a second side of the engine')
@when('a second side of the engine starts')
def second_side(context: Any) -> None:
    lease = context.lease
    lease.start_side('side-b', lease.engine_url, lease.fleet.platform_url)


@given('the network path from the side to the engine is slow')
def given_path_slow(context: Any) -> None:
    context.lease.engine_path.delay(_PATH_DELAY_SECONDS)


@when('the pool names one more model')
@when('the pool names yet another model')
def when_model_added(context: Any) -> None:
    context.calls_before = context.lease.count_side_calls()
    context.lease.add_model()


@when('the platform loses the next response to a write')
def when_response_lost(context: Any) -> None:
    context.lease.add_model()
    context.fleet.faults(lose_replies=1)


@when('the pool already names one more model')
def when_written_before(context: Any) -> None:
    assert len(context.lease.models) == 2


@when('the first side holds the lease')
def when_held(context: Any) -> None:
    lease = context.lease
    eventually(lambda: lease.lease() is not None, within_seconds=10)


@when('its load command is withheld on the network path')
def when_withheld(context: Any) -> None:
    # Requesting the models takes both directions, then the command goes one.
    time.sleep(_PATH_DELAY_SECONDS * 2.5)
    context.lease.engine_path.freeze()


@when('the first side is suspended')
def when_suspended(context: Any) -> None:
    context.fleet.processes['side-a'].freeze()


@when('the first side is resumed')
def when_resumed(context: Any) -> None:
    context.fleet.processes['side-a'].thaw()


@when('the network path forwards the withheld bytes')
def when_path_thaws(context: Any) -> None:
    context.lease.engine_path.thaw()


@when('the side is disconnected from the platform')
def when_cut(context: Any) -> None:
    context.lease.platform_path.cut()


@when('the side can reach the platform again')
def when_restored(context: Any) -> None:
    context.lease.platform_path.restore()


@when('{seconds:g} s pass without a change')
def when_quiet(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@then('the engine receives one command to load it')
def then_commanded(context: Any) -> None:
    lease = context.lease
    eventually(lambda: len(lease.commands()) == 1, within_seconds=15)
    time.sleep(1)
    commands = lease.commands()
    context.lease_then = lease.lease()
    wanted = {'load_models': [lease.models[-1]]}
    assert [command['content'] for command in commands] == [wanted], commands


@then('the engine receives one more command, with a greater fencing token')
def then_commanded_again(context: Any) -> None:
    lease = context.lease
    eventually(lambda: len(lease.commands()) == 2, within_seconds=15)
    first, second = lease.commands()
    assert second['content'] == {'load_models': [lease.models[-1]]}
    assert second['fencing'] > first['fencing']


@then('callers can use the new model')
def then_usable(context: Any) -> None:
    lease = context.lease
    eventually(
        lambda: lease.request_completion(lease.models[-1]) == 200,
        within_seconds=10,
    )


@then('the side has made {count:d} calls to the platform')
def then_calls(context: Any, count: int) -> None:
    made = context.lease.count_side_calls() - context.calls_before
    assert made == count, made


@then('its fencing token is the version of the lease')
def then_fencing_token(context: Any) -> None:
    lease = context.lease
    assert lease.commands()[0]['fencing'] == lease.lease()['version']


@then('callers get responses while the engine has received no command')
def then_served(context: Any) -> None:
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        assert context.lease.request_completion(_MODEL) == 200
    assert not context.lease.commands()


@then(
    'the engine still has {count:d} command, '
    "with the second side's fencing token"
)
def then_still(context: Any, count: int) -> None:
    lease = context.lease
    commands = lease.commands()
    assert len(commands) == count, commands
    # The resumed side may acquire the lease again, but has no command to send.
    holder = json.loads(context.lease_then['value'])['holder']
    assert holder.startswith('side-b.'), holder
    assert commands[0]['fencing'] == context.lease_then['version'], commands


@then("the fencing tokens of the engine's commands never decrease")
def then_in_order(context: Any) -> None:
    tokens = [command['fencing'] for command in context.lease.commands()]
    assert tokens and tokens == sorted(tokens), tokens
