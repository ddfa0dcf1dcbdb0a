"""Steps for splitting JSON that can't be decoded as a whole."""

from __future__ import annotations

import json
import time
from unittest import mock

from behave import then, when
from hypothesis import given, settings, strategies

from sardinetrack.platform.json_split import JsonCursor
from sardinetrack.platform.store_messages import StoreReader
from sardinetrack.store.api import StoreCounters

_MEGABYTE = 1_000_000
_PLAYS = 3
_PAGE = b'{"items":[%b],"truncated":false,"asOf":7}'
_CHANGE = b'{"events":[{"object":%b,"removed":false}],"asOf":7}'
_OBJECT = b'{"metadata":{"name":"odd","revision":5},"spec":%b,"status":{}}'
_texts = strategies.text(alphabet='a"\\[]{},:\ud83d \n', max_size=40)
_values = strategies.recursive(
    strategies.none() | strategies.integers() | _texts,
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(_texts, inner, max_size=5)
    ),
    max_leaves=40,
)
_SEED_FREE = settings(max_examples=400, deadline=None, derandomize=True)


def _text(content):
    return json.dumps(content).encode()


def _small_blocks():
    """Let short texts span several blocks."""
    return mock.patch('sardinetrack.platform.json_split._BLOCK_BYTES', 8)


@then('any items are found again in an array of them')
def find_items(context):
    @_SEED_FREE
    @given(strategies.lists(_values, max_size=8))
    def check(contents):
        texts = [_text(content) for content in contents]
        cursor = JsonCursor(b' [%b] ' % b' , '.join(texts))
        with _small_blocks():
            found = [cursor.value() for _ in cursor.items()]
        assert found == texts, found

    check()


@then('any members are found again in an object of them')
def find_members(context):
    keys = strategies.text(alphabet='a"\\[]{},: \n', max_size=9)

    @_SEED_FREE
    @given(strategies.dictionaries(keys, _values, max_size=8))
    def check(contents):
        cursor = JsonCursor(_text(contents))
        with _small_blocks():
            found = {key: cursor.value() for key in cursor.members()}
        expected = {key: _text(one) for key, one in contents.items()}
        assert found == expected, found

    check()


def _read_seconds(unit):
    """Return the least processor time of reading a page and a change."""
    rows = unit * (_MEGABYTE // len(unit))
    return _read_object_seconds(b'{"note":"cut \\ud83d","rows":[%b0]}' % rows)


def _read_object_seconds(text):
    odd = _OBJECT % text
    took = []
    for _ in range(_PLAYS):
        reader = StoreReader(StoreCounters())
        began = time.process_time()
        listing = reader.page('servers', _PAGE % odd).listing
        changes = reader.changes('servers', _CHANGE % odd)
        took.append(time.process_time() - began)
        for one in (*listing.objects, *changes.objects):
            assert (one.key, one.version) == ('servers/odd', 5), one
        assert reader._counters.unreadable == 2
    return min(took)


@when(
    'a page and a change hold an object of 1 MB of {unit}'
    " that can't be decoded",
)
def read_odd(context, unit):
    text = unit.encode()
    context.took_seconds = _read_seconds(b'%b,' % text.removesuffix(b','))


@when(
    'a page and a change hold an object whose value is 1 MB of {unit} in a row',
)
def read_row(context, unit):
    text = unit.encode()
    count = _MEGABYTE // len(text)
    context.took_seconds = _read_object_seconds(text * count)


@then('reading each takes at most {times:d} times as long as one of numbers')
def takes_at_most(context, times):
    plain_seconds = _read_seconds(b'1,')
    assert context.took_seconds <= times * plain_seconds, (
        context.took_seconds,
        plain_seconds,
    )
