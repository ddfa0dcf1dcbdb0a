"""Checks that no slot is lost: all free when idle, all in use under a flood."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from itertools import cycle
from typing import Any, Final

from support.caller import Caller
from support.crowd import (
    COMPLETE,
    CallerPool,
    CallResult,
    describe,
    post_service,
    request_plain,
)
from support.fleet import eventually
from support.scene import Scene

SendRequest = Callable[[Caller, str, str], CallResult]

_ROUNDS: Final = 4
_FLOOD_TOKENS: Final = 60
_FLOOD_QUERY: Final = 'delay_seconds=0.6'


def check_slots(scene: Scene, *servers: str) -> None:
    """Check the slots of some backend servers, or of all that run.

    While nothing runs, all slots are free, and no entry counts a running
    request. Then a flood occupies all slots at the same time, and a request of
    a workspace that sends little is served before the flood is over.
    """
    names = list(servers or scene.running_servers())
    check_idle(scene, names)
    engines = [name for name in names if name.startswith('engine')]
    services = [name for name in names if name.startswith('chart')]
    if engines:
        _check_flood(scene, engines, _send_completion)
    if services:
        _check_flood(scene, services, _send_service_call)


def check_idle(scene: Scene, names: list[str]) -> None:
    """Check that nothing runs and that all slots are free."""
    eventually(
        lambda: all(_idle(scene, name) for name in names),
        shows=lambda: {name: scene.load(name) for name in names},
    )
    eventually(lambda: _entries_idle(scene), shows=lambda: _pools(scene))


def _check_flood(
    scene: Scene,
    names: list[str],
    send_request: SendRequest,
) -> None:
    urls = cycle(scene.entry_urls())
    with CallerPool() as callers:
        flood = _Flood(
            lambda number: callers.send(
                send_request, scene.caller, next(urls), f'flood-{number}'
            ),
            _ROUNDS * scene.plan.slots * len(names),
        )
        eventually(
            lambda: (
                flood.refill() and all(_full(scene, name) for name in names)
            ),
            shows=lambda: {name: scene.load(name) for name in names},
        )
        small = send_request(scene.small_caller, next(urls), 'small')
        assert small.outcome == COMPLETE, small
        assert flood.in_progress, 'the flood was served first'
        _check_all_complete(flood.results())


class _Flood:
    """Keeps a number of requests in progress.

    A flood of a fixed number of requests can end before all slots were seen
    in use at the same time: on a busy machine a side may not be scheduled for
    seconds.
    """

    def __init__(
        self, send: Callable[[int], Future[CallResult]], size: int
    ) -> None:
        self._send = send
        self._size = size
        self._futures = [send(number) for number in range(size)]

    def refill(self) -> bool:
        """Send a new request for each that has ended; always true."""
        ended = sum(future.done() for future in self._futures)
        missing = self._size - (len(self._futures) - ended)
        for _ in range(missing):
            self._futures.append(self._send(len(self._futures)))
        return True

    @property
    def in_progress(self) -> bool:
        """Whether some requests have not ended."""
        return not all(future.done() for future in self._futures)

    def results(self) -> list[CallResult]:
        """Wait for all results."""
        return [future.result() for future in self._futures]


def _send_completion(caller: Caller, url: str, marker: str) -> CallResult:
    return request_plain(caller, url, marker, _FLOOD_TOKENS)


def _send_service_call(caller: Caller, url: str, marker: str) -> CallResult:
    return post_service(caller, url, marker, _FLOOD_QUERY)


def _idle(scene: Scene, name: str) -> bool:
    load = scene.load(name)
    slots = scene.plan.slots
    return (load['running'], load['free'], load['limit']) == (0, slots, slots)


def _full(scene: Scene, name: str) -> bool:
    return scene.load(name)['running'] == scene.plan.slots


def _entries_idle(scene: Scene) -> bool:
    pools = [pool for entry in _pools(scene).values() for pool in entry]
    return not any(pool['running'] or pool['waiting'] for pool in pools)


def _pools(scene: Scene) -> dict[str, list[Any]]:
    fleet = scene.fleet
    return {
        name: fleet.operator(name, '/status').json()['pools']
        for name, process in fleet.processes.items()
        if 'callers_url' in process.ready and process.running
    }


def _check_all_complete(results: list[CallResult]) -> None:
    failed = [result for result in results if result.outcome != COMPLETE]
    assert not failed, describe(failed)
