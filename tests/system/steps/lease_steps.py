"""Steps for orders under a lease."""

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
_WAY_SECONDS = 0.8


class LeaseWorld:
    """One engine, one or two sides, one entry."""

    def __init__(self, kind: str) -> None:
        self.fleet = Fleet()
        self.caller = Caller(_TOKEN)
        self.checks = kind == 'checks'
        self.models = [_MODEL]
        self.engine_url = ''
        self._own_calls = 0
        self.way: RelayLink
        self.link: RelayLink

    def start(self) -> None:
        """Start everything but a second side."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.workspace('pilot', _TOKEN)
        self.engine_url = fleet.start_engine(
            _SERVER,
            model=_MODEL,
            checks_fencing=self.checks,
        )
        self.put_pool()
        self.way = fleet.keep(RelayLink(self.engine_url))
        self.link = fleet.keep(RelayLink(fleet.platform_url))
        self.start_side('side-a', self.way.url, self.link.url)
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
        """Write the pool with the models wanted."""
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
        """Let the pool name one more model."""
        self.models.append(f'{_MODEL}-{len(self.models)}')
        self.put_pool()

    def orders(self) -> list[dict[str, Any]]:
        """Ask the engine which orders it accepted."""
        return list(self.caller.call('GET', f'{self.engine_url}/orders').json())

    def lease(self) -> dict[str, Any] | None:
        """Read the lease object."""
        url = f'{self.fleet.platform_url}/objects/{_LEASE_KEY}'
        answer = self.fleet.platform.call('GET', url)
        self._own_calls += 1
        return answer.json() if answer.status == 200 else None

    def writes_and_reads(self) -> int:
        """Count the calls of sides; entries make no such ones here."""
        url = f'{self.fleet.platform_url}/calls'
        taken = self.fleet.platform.call('GET', url).json()['taken']
        calls = int(taken.get('get', 0)) + int(taken.get('put', 0))
        return calls - self._own_calls

    def ask(self, model: str) -> int:
        """Ask for a completion.

        :return: the status.
        """
        content = 'draft id=lease tokens=3'
        request = {
            'model': model,
            'messages': [{'role': 'user', 'content': content}],
        }
        return self.caller.chat(self.fleet.url('entry-a'), request).status


@given('an engine that {kind} fencing numbers, its side and an entry')
def given_engine(context: Any, kind: str) -> None:
    context.lease = LeaseWorld(kind)
    context.fleet = context.lease.fleet
    context.lease.start()


@given('a second side of the engine')
@when('a second side of the engine starts')
def second_side(context: Any) -> None:
    lease = context.lease
    lease.start_side('side-b', lease.engine_url, lease.fleet.platform_url)


@given("the way of the side's orders is slow")
def given_way_slow(context: Any) -> None:
    context.lease.way.delay(_WAY_SECONDS)


@when('the pool names one more model')
@when('the pool names yet another model')
def when_model_added(context: Any) -> None:
    context.calls_before = context.lease.writes_and_reads()
    context.lease.add_model()


@when('the platform loses the next reply to a write')
def when_reply_lost(context: Any) -> None:
    context.lease.add_model()
    context.fleet.faults(lose_replies=1)


@when('the pool names one more model, written before')
def when_written_before(context: Any) -> None:
    assert len(context.lease.models) == 2


@when('the side holds the lease')
def when_held(context: Any) -> None:
    lease = context.lease
    eventually(lambda: lease.lease() is not None, within_seconds=10)


@when('its order is on the way, where bytes are held up')
def when_held_up(context: Any) -> None:
    # It asks for the models there and back, then the order goes there.
    time.sleep(_WAY_SECONDS * 2.5)
    context.lease.way.freeze()


@when('the side is frozen')
def when_frozen(context: Any) -> None:
    context.fleet.processes['side-a'].freeze()


@when('the side is thawed')
def when_thawed(context: Any) -> None:
    context.fleet.processes['side-a'].thaw()


@when('the way lets the bytes go on')
def when_way_thaws(context: Any) -> None:
    context.lease.way.thaw()


@when('the side is cut off from the platform')
def when_cut(context: Any) -> None:
    context.lease.link.cut()


@when('the side reaches the platform again')
def when_restored(context: Any) -> None:
    context.lease.link.restore()


@when('{seconds:g} s pass without a change')
def when_quiet(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@then('the engine is ordered once to load it')
def then_ordered(context: Any) -> None:
    lease = context.lease
    eventually(lambda: len(lease.orders()) == 1, within_seconds=15)
    time.sleep(1)
    orders = lease.orders()
    context.lease_then = lease.lease()
    wanted = {'load_models': [lease.models[-1]]}
    assert [order['content'] for order in orders] == [wanted], orders


@then('the engine is ordered once more, with a greater number')
def then_ordered_again(context: Any) -> None:
    lease = context.lease
    eventually(lambda: len(lease.orders()) == 2, within_seconds=15)
    first, second = lease.orders()
    assert second['content'] == {'load_models': [lease.models[-1]]}
    assert second['fencing'] > first['fencing']


@then('callers can use the new model')
def then_usable(context: Any) -> None:
    lease = context.lease
    eventually(lambda: lease.ask(lease.models[-1]) == 200, within_seconds=10)


@then('the side has made {count:d} calls on the platform')
def then_calls(context: Any, count: int) -> None:
    made = context.lease.writes_and_reads() - context.calls_before
    assert made == count, made


@then('the number is the version of the lease')
def then_number(context: Any) -> None:
    lease = context.lease
    assert lease.orders()[0]['fencing'] == lease.lease()['version']


@then('callers are answered while the engine has no order')
def then_answered(context: Any) -> None:
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        assert context.lease.ask(_MODEL) == 200
    assert not context.lease.orders()


@then("the engine still has {count:d} order, under the second side's number")
def then_still(context: Any, count: int) -> None:
    lease = context.lease
    orders = lease.orders()
    assert len(orders) == count, orders
    # A thawed side may take the lease again, but has nothing to order then.
    holder = json.loads(context.lease_then['value'])['holder']
    assert holder.startswith('side-b.'), holder
    assert orders[0]['fencing'] == context.lease_then['version'], orders


@then("the numbers of the engine's orders never fall")
def then_in_order(context: Any) -> None:
    numbers = [order['fencing'] for order in context.lease.orders()]
    assert numbers and numbers == sorted(numbers), numbers
