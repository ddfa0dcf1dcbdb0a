"""Steps for a short soak test."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
from collections import Counter

from behave import then, when
from benchmarks.soak.__main__ import soak
from benchmarks.soak.engine import SoakServer
from benchmarks.soak.world import Options, Process

_SIGNALS_AMID = 1000
_STEPS = 12
_RESPONSE_SECONDS = 0.05


@when('the soak test runs seed {seed:d} for {seconds:d} seconds')
def run_soak(context, seed, seconds):
    context.violations = asyncio.run(soak(seed, seconds))


@when(
    'the soak test runs planned work of seed {seed:d} for {seconds:d} seconds'
)
def run_planned_work(context, seed, seconds):
    options = Options(planned_only=True)
    context.violations = asyncio.run(soak(seed, seconds, options))


@when(
    'the soak test runs disturbed starts'
    ' of seed {seed:d} for {seconds:d} seconds'
)
def run_disturbed_starts(context, seed, seconds):
    options = Options(planned_only=True, starts=True)
    context.violations = asyncio.run(soak(seed, seconds, options))


@when(
    'the soak test lets servers leave beside {trouble},'
    ' seed {seed:d}, for {seconds:d} seconds'
)
def run_leavings(context, trouble, seed, seconds):
    options = Options(leavings=True, trouble=trouble)
    context.violations = asyncio.run(soak(seed, seconds, options))


@when('{number:d} processes of the soak test are killed amid other signals')
def kill_amid_signals(context, number):
    with tempfile.TemporaryDirectory() as folder:
        context.exit_codes = [
            asyncio.run(_exit_code(folder)) for _ in range(number)
        ]


async def _exit_code(folder):
    process = Process('side', '127.0.0.1', '127.0.0.1', folder)
    await process.start()
    process.send(signal.SIGKILL)
    for _ in range(_SIGNALS_AMID):
        process.send(signal.SIGHUP)
    return await process.running.wait()


@then('each has ended by SIGKILL')
def ended_by_kill(context):
    others = [one for one in context.exit_codes if one != -signal.SIGKILL]
    assert not others, others


@when('servers of the soak test crash and start while connections are accepted')
def crash_while_accepting(context):
    context.responding = [
        asyncio.run(_responding_starts(steps)) for steps in range(_STEPS)
    ]


class _HealthServer(SoakServer):
    """Records which of its starts have responded."""

    def __init__(self):
        super().__init__('127.0.0.1', 'plain', Counter(), seed=1)
        self.responding = []

    def _report_health(self, writer):
        self.responding.append(self.starts)
        super()._report_health(writer)


async def _responding_starts(steps):
    """Let a connection be accepted for some steps of the event loop."""
    server = _HealthServer()
    await server.start()
    with socket.create_connection((server.ip, server.port)) as client:
        client.sendall(b'GET /healthz HTTP/1.1\r\n\r\n')
        for _ in range(steps):
            await asyncio.sleep(0)
        await server.crash()
        await server.start()
        await asyncio.sleep(_RESPONSE_SECONDS)
        await server.crash()
    return server.responding


@then('no response came from the next start')
def none_from_next(context):
    assert all(set(one) <= {1} for one in context.responding), (
        context.responding
    )


@then('no guarantee is violated')
def no_violations(context):
    assert not context.violations, context.violations
