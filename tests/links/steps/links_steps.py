"""Steps for control links."""

from __future__ import annotations

import signal
from types import MappingProxyType
from typing import Any

import anyio
from anyio.lowlevel import checkpoint
from behave import given, then, when
from link_ends import (
    BOUNDS,
    SECRET,
    WAIT_SECONDS,
    LinkEnd,
    SideProcess,
    accept_links,
    dial_side,
    hello,
)
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from sardinetrack.links.api import LINK_PATH, LinkMessageReceived, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.secret import PeerSecret, hello_header
from sardinetrack.messages.api import Decline

FRAMES = MappingProxyType(
    {
        'invalid JSON': 'hail',
        'an unknown tag': '{"type":"anchor"}',
        'a wrong type': '{"type":"decline","number":"one"}',
        'an oversized message': ' ' * (BOUNDS.max_frame_bytes + 1),
        '1200 nested lists': f'{{"type":"decline","x":{"[" * 1200}',
    },
)


def _enter(context: Any, manager: Any) -> Any:
    return context.stack.enter_context(
        context.portal.wrap_async_context_manager(manager),
    )


@given('a side that accepts links')
def step_accepting(context: Any) -> None:
    context.side = LinkEnd()
    server = _enter(context, accept_links(context.side))
    context.address = server.address


@given('a side in a process of its own')
def step_process(context: Any) -> None:
    context.process = SideProcess()
    context.stack.callback(context.process.close)
    context.address = context.process.address
    context.side = None


@given('an entry that dials the side')
def step_dialling(context: Any) -> None:
    context.entry = LinkEnd()
    _enter(context, dial_side(context.entry, context.address))
    context.ends = [end for end in (context.entry, context.side) if end]
    step_all_up(context)


@when('both ends post {count:d} messages')
def step_post(context: Any, count: int) -> None:
    context.portal.call(_post_without_yielding, context.links, count)


@then('both ends receive the {count:d} messages in order')
def step_received(context: Any, count: int) -> None:
    expected = [Decline(number) for number in range(count)]
    for end in context.ends:
        assert context.portal.call(end.messages, count) == expected


@when('a client dials with a wrong secret')
def step_wrong_secret(context: Any) -> None:
    pairs = [PeerSecret('guess').header(), _hello()]
    context.status = context.portal.call(_dial_status, context.address, pairs)


@when('a client dials with the secret and an invalid hello')
def step_invalid_hello(context: Any) -> None:
    pairs = [PeerSecret(SECRET).header(), (_hello()[0], '{"instance":1}')]
    context.status = context.portal.call(_dial_status, context.address, pairs)


@then('the client is rejected with status {status:d}')
def step_rejected(context: Any, status: int) -> None:
    assert context.status == status, context.status


@then('the side has seen no link')
def step_no_link(context: Any) -> None:
    assert context.portal.call(context.side.unread_count) == 0


@when('the side closes its connection')
def step_close_connection(context: Any) -> None:
    context.portal.call(context.links[1].close)


@then('both ends receive that the link is down')
def step_all_down(context: Any) -> None:
    for end in context.ends:
        context.portal.call(end.down)


@then('both ends receive that a link is up')
def step_all_up(context: Any) -> None:
    ups = [context.portal.call(end.up) for end in context.ends]
    context.links = [up.link for up in ups]


@when("the side's process is frozen")
def step_freeze(context: Any) -> None:
    context.process.process.send_signal(signal.SIGSTOP)


@when("the side's process resumes")
def step_resume(context: Any) -> None:
    context.process.process.send_signal(signal.SIGCONT)


@then('the entry receives that the link is down')
def step_entry_down(context: Any) -> None:
    context.portal.call(context.entry.down)


@then('the entry receives that a link is up')
def step_entry_up(context: Any) -> None:
    context.portal.call(context.entry.up)


@then('the entry\'s dialer is in state "{state}"')
def step_dialer(context: Any, state: str) -> None:
    context.portal.call(_wait_for_state, context.entry.dialer, state)


async def _wait_for_state(dialer: LinkDialer, state: str) -> None:
    with anyio.fail_after(WAIT_SECONDS):
        while dialer.state != state:
            await checkpoint()


@when('a peer opens a link and stays silent')
def step_silent(context: Any) -> None:
    context.portal.call(_open_until_closed, context.address, None)


@when('a peer opens a link and sends {frame}')
def step_send_frame(context: Any, frame: str) -> None:
    context.portal.call(_open_until_closed, context.address, FRAMES[frame])


@then('the side receives that the link is down')
def step_side_down(context: Any) -> None:
    context.portal.call(context.side.down)


@then('the side has received no message')
def step_no_message(context: Any) -> None:
    assert LinkMessageReceived not in context.side.event_types


@when('the side posts {count:d} messages in one iteration of the event loop')
def step_flood(context: Any, count: int) -> None:
    context.portal.call(_post_without_yielding, context.links[1:], count)


async def _post_without_yielding(links: list[Any], count: int) -> None:
    for link in links:
        for number in range(count):
            link.post(Decline(number))


def _hello() -> tuple[str, str]:
    return hello_header(hello('entry-2', PeerRole.ENTRY))


async def _dial_status(address: str, pairs: list[tuple[str, str]]) -> int:
    try:
        async with connect(
            f'ws://{address}{LINK_PATH}',
            additional_headers=pairs,
            proxy=None,
        ):
            return 101
    except InvalidStatus as error:
        return error.response.status_code


async def _open_until_closed(address: str, frame: str | None) -> None:
    pairs = [PeerSecret(SECRET).header(), _hello()]
    with anyio.fail_after(WAIT_SECONDS):
        async with connect(
            f'ws://{address}{LINK_PATH}',
            additional_headers=pairs,
            compression=None,
            proxy=None,
        ) as connection:
            if frame is not None:
                await connection.send(frame)
            await _read_until_closed(connection)


async def _read_until_closed(connection: Any) -> None:
    try:
        while True:
            await connection.recv()
    except ConnectionClosed:
        return
