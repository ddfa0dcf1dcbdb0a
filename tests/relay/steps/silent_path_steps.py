"""Steps for network paths that fall silent."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
import time

from behave import when

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)
"""A socket filter of one instruction: accept 0 bytes of a packet."""
_CALL_SECONDS = 9


def _drop(sock):
    """Let the kernel drop what arrives, without any acknowledgement."""
    code = ctypes.create_string_buffer(_DROP_ALL, len(_DROP_ALL))
    program = struct.pack('HL', 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def _restore(sock):
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


@when(
    'a report takes its server {work:g} seconds,'
    ' and their path is silent for {silence:g} seconds'
)
def silence_path(context, work, silence):
    world = context.world
    server = world.servers[0]
    server.acts.append('held')

    async def play():
        call = asyncio.ensure_future(
            world.call('report', timeout_seconds=_CALL_SECONDS)
        )
        await server.asked.wait()
        began = time.monotonic()
        socks = [one.get_extra_info('socket') for one in server.writers]
        for sock in socks:
            _drop(sock)
        world.loop.call_later(work, server.notices.released.set)
        for sock in socks:
            world.loop.call_later(silence, _restore, sock)
        reply = await call
        context.took_seconds = time.monotonic() - began
        return reply

    context.reply = world.run(play())
