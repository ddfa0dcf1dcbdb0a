"""Steps for the events of a stream."""

from __future__ import annotations

from types import MappingProxyType

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from sardinetrack.relay.events import EventSplitter

_FORMS = MappingProxyType(
    {
        'note': b'data: note\n\n',
        'comment': b': comment\n\n',
        'bad id': b'id: 1e3\ndata: x\n\n',
    }
)
_TEXTS = st.text(
    st.characters(exclude_characters='\r\n', exclude_categories=['Cs']),
    max_size=9,
) | st.sampled_from(('id: 40', 'grid: 43', 'id:', 'data: id: 1', ': id: 7'))
_LINES = st.lists(
    st.builds('{0}{1}'.format, st.sampled_from(('data: ', ': ')), _TEXTS),
    max_size=3,
)


@st.composite
def _streams(draw):
    """Draw the events of a stream, numbered from 1."""
    line_end = draw(st.sampled_from(('\n', '\r\n')))
    events = []
    for number in range(1, draw(st.integers(1, 6)) + 1):
        lines = [*draw(_LINES), 'data: x']
        place = draw(st.integers(0, len(lines)))
        lines.insert(place, f'id: {number}')
        events.append(line_end.join((*lines, '', '')).encode())
    return events


def _pieces(stream, splits):
    ends = sorted({split % (len(stream) + 1) for split in splits})
    starts = (0, *ends)
    return [
        stream[start:end]
        for start, end in zip(starts, (*ends, len(stream)), strict=True)
    ]


@then(
    'any stream, split anywhere and cut anywhere, is continued'
    ' without a missing or repeated byte'
)
def continues_whole(context):
    @settings(max_examples=400, deadline=None, derandomize=True)
    @for_any(
        _streams(),
        st.lists(st.integers(0, 10_000), max_size=5),
        st.lists(st.integers(0, 10_000), max_size=3),
    )
    def check(events, splits, cuts):
        splitter = EventSplitter(None)
        received = b''
        for cut in (*cuts, None):
            assert splitter.is_continuable, received
            splitter.resume()
            run = b''.join(events[splitter.last_event or 0 :])
            sent = run if cut is None else run[: cut % (len(run) + 1)]
            pieces = _pieces(sent, splits)
            received += b''.join(map(splitter.feed, pieces))
        assert received == b''.join(events), received

    check()


def _bytes_of(names):
    return b''.join(
        _FORMS.get(name) or b'id: %b\ndata: x\n\n' % name.encode()
        for name in names.split(', ')
    )


@given('a stream of the events {names}')
def stream_of(context, names):
    context.splitter = EventSplitter(None)
    context.received = context.splitter.feed(_bytes_of(names))


@when('it breaks after event 3, and the next server sends {names}')
def begin_anew(context, names):
    context.splitter.resume()
    events = map(_bytes_of, names.split(', '))
    context.received += b''.join(map(context.splitter.feed, events))


@then('the caller has {names}')
def caller_has(context, names):
    assert context.received == _bytes_of(names), context.received


@then('it {can} continue after event {last}')
def can_continue(context, can, last):
    assert context.splitter.is_continuable is (can == 'can')
    assert str(context.splitter.last_event) == last
