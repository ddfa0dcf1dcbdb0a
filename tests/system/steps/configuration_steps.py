"""Steps for configuration that is active everywhere."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from functools import partial
from hashlib import sha256
from typing import Any

import httpcore
from behave import given, then, when

from support.caller import Caller
from support.config_watch import ConfigWatch, active_configuration
from support.fleet import PEER_SECRET, PLATFORM_TOKEN, Fleet, eventually
from support.relay_link import RelayLink

_SIDE = 'side-engine-0'
_ENTRIES = ('entry-a', 'entry-b')
_ACTIVE_WITHIN_SECONDS = 4.0
_CONFLICT_EXIT_CODE = 3


class ConfigurationWorld:
    """Entries and a side; the entries' paths to the platform can be cut."""

    def __init__(self, entries: tuple[str, ...]) -> None:
        self.fleet = Fleet()
        self.entries = entries
        self.paths: dict[str, RelayLink] = {}
        self.peer_ports: dict[str, int] = {}
        self.token = 'first'
        self.accepted = True
        self.watch: ConfigWatch
        self.changed_at = time.monotonic()

    def start(self) -> None:
        """Start all processes and wait until the entries are linked."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.workspace('base', 'base-token')
        fleet.workspace('agent', self.token)
        fleet.model_pool('ice-llm', 'ice-llm')
        engine = fleet.start_engine('engine-0', model='ice-llm')
        fleet.start_side('ice-llm', 'engine-0', engine)
        for entry in self.entries:
            self.paths[entry] = fleet.keep(RelayLink(fleet.platform_url))
            self.start_entry(entry)
        fleet.wait_ready(_SIDE, *self.entries)
        for entry in self.entries:
            eventually(partial(self._is_linked_to_all, entry))
        names = (_SIDE, *self.entries)
        self.watch = fleet.keep(ConfigWatch(fleet, names))

    def _is_linked_to_all(self, entry: str) -> bool:
        linked = self.fleet.operator(entry, '/status').json()['entries']
        return len(linked) == len(self.entries) - 1

    def start_entry(self, entry: str, port: int = 0) -> None:
        """Start an entry with its own network path to the platform."""
        self.fleet.start_entry(
            entry,
            platform={
                'url': self.paths[entry].url,
                'token': {'value': PLATFORM_TOKEN},
            },
            peer={'port': port},
        )

    def replace_token(self, token: str) -> None:
        """Replace the token of the workspace."""
        self.token = token
        self.fleet.workspace('agent', token)
        self.changed_at = time.monotonic()

    def all_agree(self) -> bool:
        """Whether every entry accepts the token and all digests are equal."""
        if not all(self.accepts(entry, self.token) for entry in self.entries):
            return False
        digests = {
            active_configuration(self.fleet, name)[1]
            for name in (_SIDE, *self.entries)
        }
        return len(digests) == 1

    def accepts(self, entry: str, token: str) -> bool:
        """Whether an entry accepts a token."""
        url = f'{self.fleet.url(entry)}/v1/models'
        try:
            return Caller(token).call('GET', url).status == 200
        except httpcore.NetworkError:
            return False

    def reasons(self, entry: str) -> list[str]:
        """Return why an entry rejects the workspace's newest version."""
        rows = self.fleet.operator(entry, '/status').json()['rejected']
        return [
            reason
            for row in rows
            if row['key'] == 'catalogue/workspace/agent'
            for reason in row['reasons']
        ]


@given('two entries and a side, each with its own network path to the platform')
def given_two(context: Any) -> None:
    _start(context, _ENTRIES)


@given('one entry and a side, each with its own network path to the platform')
def given_one(context: Any) -> None:
    _start(context, _ENTRIES[:1])


@when('two operators apply edits of the same version concurrently')
def when_concurrent_edits(context: Any) -> None:
    world = context.configuration
    folder = world.fleet.folder
    settings = folder / 'operator.json'
    settings.write_text(json.dumps(_operator_settings(world)))
    url = f'{world.fleet.platform_url}/objects/catalogue/workspace/agent'
    context.base = world.fleet.platform.call('GET', url).json()['version']
    editors = []
    for number in range(2):
        edit = folder / f'edit-{number}.json'
        edit.write_text(json.dumps(_agent(f'race-{number}')))
        command = ['catalogue', 'apply', str(settings), str(edit)]
        editors.append(_popen([*command, '--version', str(context.base)]))
    context.outputs = [editor.communicate(timeout=60) for editor in editors]
    context.codes = [editor.returncode for editor in editors]


@when('the network path of "{entry}" is cut')
def when_cut(context: Any, entry: str) -> None:
    context.configuration.paths[entry].cut()
    context.undo = context.configuration.paths[entry].restore


@when('the network path of "{entry}" freezes')
def when_freezes(context: Any, entry: str) -> None:
    context.configuration.paths[entry].freeze()
    context.undo = context.configuration.paths[entry].thaw


@when('"{entry}" starts, unknown to "{other}"')
def when_started(context: Any, entry: str, other: str) -> None:
    world = context.configuration
    world.paths[entry] = world.fleet.keep(RelayLink(world.fleet.platform_url))
    world.start_entry(entry)
    world.fleet.wait_ready(entry)
    world.entries = (*world.entries, entry)
    assert not world.fleet.operator(other, '/status').json()['entries']


@when('the network path of "{entry}" is restored')
def when_restored(context: Any, entry: str) -> None:
    context.undo()


@when('the network path of "{entry}" drops all responses')
def when_drops(context: Any, entry: str) -> None:
    context.configuration.paths[entry].drop_responses()


@when('the network path of "{entry}" forwards responses again')
def when_forwards(context: Any, entry: str) -> None:
    time.sleep(0.3)
    context.configuration.paths[entry].forward_responses()


@when('the token is replaced')
@when('the token is replaced again')
def when_token_replaced(context: Any) -> None:
    context.configuration.replace_token(f'token-{time.monotonic()}')


@when('the outage ends and the token is replaced')
def when_outage_over(context: Any) -> None:
    context.fleet.faults()
    when_token_replaced(context)


@when(
    '"{entry}" is killed and started again without state, at the same address'
)
def when_restarted(context: Any, entry: str) -> None:
    world = context.configuration
    address = world.fleet.processes[entry].ready['peer_address']
    world.fleet.processes[entry].kill()
    world.watch.forget(entry)
    world.start_entry(entry, int(address.rpartition(':')[2]))
    world.changed_at = time.monotonic()


@when("the platform's watches {fault}")
def when_watches(context: Any, fault: str) -> None:
    faults: dict[str, dict[str, Any]] = {
        'lag 1 s': {'watch_lag_seconds': 1},
        'repeat old changes': {'watch_repeat': True},
        'break': {'watch_break': True},
    }
    context.fleet.faults(**faults[fault])


@when('the platform accepts {count:d} reads a second')
def when_throttled(context: Any, count: int) -> None:
    context.fleet.faults(reads_per_second=count)


@when('{count:d} changes are made, one every {seconds:g} s')
def when_changes(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        when_token_replaced(context)
        time.sleep(seconds)


@when(
    'an invalid version of its workspace is written directly into the platform'
)
def when_invalid(context: Any) -> None:
    world = context.configuration
    invalid = {**_agent(world.token), 'limits': {'weight': -1}}
    world.fleet.put_catalogue(invalid)


@then('the change is active at all instances within 4 s')
def then_active(context: Any) -> None:
    world = context.configuration
    remaining = world.changed_at + _ACTIVE_WITHIN_SECONDS - time.monotonic()
    eventually(world.all_agree, within_seconds=remaining)


@then('for {seconds:g} s no instance reverts')
def then_stays(context: Any, seconds: float) -> None:
    time.sleep(seconds)
    context.configuration.watch.check()
    assert context.configuration.all_agree()


@then('no instance has ever reverted')
def then_never_reverted(context: Any) -> None:
    context.configuration.watch.check()


@then('one edit is written and active everywhere')
def then_one_written(context: Any) -> None:
    assert sorted(context.codes) == [0, _CONFLICT_EXIT_CODE], context.outputs
    world = context.configuration
    winner = context.codes.index(0)
    for entry in world.entries:
        assert world.accepts(entry, f'race-{winner}'), entry
        assert not world.accepts(entry, f'race-{1 - winner}'), entry


@then('the other operator gets an error that names both versions')
def then_names_versions(context: Any) -> None:
    loser = context.codes.index(_CONFLICT_EXIT_CODE)
    text = context.outputs[loser][1].decode()
    url = f'{context.fleet.platform_url}/objects/catalogue/workspace/agent'
    current = context.fleet.platform.call('GET', url).json()['version']
    assert f'version {context.base}' in text, text
    assert f'version {current}' in text, text


@then('every entry reports why it rejects it')
def then_reasons(context: Any) -> None:
    world = context.configuration
    for entry in world.entries:
        eventually(partial(world.reasons, entry), within_seconds=4)
        assert any('weight' in text for text in world.reasons(entry))


@then('the token is still accepted everywhere')
def then_accepted(context: Any) -> None:
    world = context.configuration
    for entry in world.entries:
        eventually(partial(world.accepts, entry, world.token), within_seconds=4)


def _start(context: Any, entries: tuple[str, ...]) -> None:
    context.configuration = ConfigurationWorld(entries)
    context.fleet = context.configuration.fleet
    context.configuration.start()


def _agent(token: str) -> dict[str, Any]:
    return {
        'kind': 'workspace',
        'name': 'agent',
        'owner': 'tests',
        'class': 'standard',
        'token_hashes': [sha256(token.encode()).hexdigest()],
    }


def _operator_settings(world: ConfigurationWorld) -> dict[str, Any]:
    return {
        'role': 'operator',
        'platform': {
            'url': world.fleet.platform_url,
            'token': {'value': PLATFORM_TOKEN},
        },
        'peer_secret': {'value': PEER_SECRET},
    }


def _popen(arguments: list[str]) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, '-m', 'sardinetrack', *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
