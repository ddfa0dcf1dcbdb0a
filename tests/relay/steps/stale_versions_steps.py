"""Steps for an entry that may not know all versions of a pool."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from sardinetrack.errors.api import RequestError
from sardinetrack.relay.stream_directory import StreamDirectory
from sardinetrack.topology.freshness import Freshness, boot_clock
from sardinetrack.topology.pool_versions import PoolVersions
from sardinetrack.topology.stream_origin import StreamOrigin
from sardinetrack.turns.origin_lookup import PendingLookups

_POOL = 'models'
_OLD = StreamOrigin(_POOL, 'v1')
_NEW = StreamOrigin(_POOL, 'v2')


class SideStandIn:
    """The link to a side that responds in one way, and its only fleet."""

    name = 'side'
    failure_domain = 'a'

    def __init__(self, does: str) -> None:
        self.versions = PoolVersions()
        self.versions.update(boot_clock(), {_OLD})
        self._does = does
        self._connected = True
        self._lookups = PendingLookups()

    @property
    def keeping_origins(self):
        return [self] if self._connected else []

    def knowing_origins(self, pool):
        return self.keeping_origins

    def find_origin(self, request_id, lookup):
        self._lookups.add(request_id, lookup)
        if self._does.startswith('knows'):
            self._lookups.resolve(request_id, _NEW)
        elif self._does.startswith('has heard'):
            if 'another' in self._does:
                self.versions.merge(boot_clock(), [(_POOL, 'v2', 0)])
            self._lookups.resolve(request_id, None)
        elif self._does.startswith('disconnects'):
            self._connected = False
            self._lookups.give_up()


@given('an entry that has listed one version, and a side that {does}')
def given_entry(context, does):
    side = SideStandIn(does)
    freshness = Freshness(5)
    if 'old' not in does:
        freshness.confirm(boot_clock())
    context.directory = StreamDirectory(
        side,
        freshness,
        SimpleNamespace(origins=Counter()),
        SimpleNamespace(write=lambda *words, **fields: None),
    )


@when('a caller continues a stream of another entry there')
def continue_stream(context):
    call = SimpleNamespace(
        request_id='r2',
        stream_id='r1',
        resumes='r1',
        last_event_id='3',
        continues_stream=True,
    )
    pool = SimpleNamespace(name=_POOL)
    try:
        context.origin = asyncio.run(context.directory.find(call, pool))
    except RequestError as error:
        context.origin = error


@then('the stream continues at {version}')
def continues(context, version):
    assert context.origin == StreamOrigin(_POOL, version), context.origin


@then('the stream is refused as unknown')
def refused(context):
    assert isinstance(context.origin, RequestError), context.origin
