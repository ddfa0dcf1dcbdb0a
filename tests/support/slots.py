"""Whether all slots are there: idle when nothing runs, full under a flood."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from itertools import cycle
from typing import Any, Final

from support.caller import Caller
from support.crowd import (
    WHOLE,
    Crowd,
    Told,
    ask_plain,
    post_service,
    show,
)
from support.fleet import eventually
from support.scene import Scene

Ask = Callable[[Caller, str, str], Told]

_ROUNDS: Final = 4
_FLOOD_TOKENS: Final = 60
_FLOOD_QUERY: Final = 'delay_seconds=0.6'


def check_slots(scene: Scene, *servers: str) -> None:
    """Check the slots of some backend servers, or of all that live.

    Nothing runs: all slots are free, and no entry counts a running request.
    Then a flood fills every slot at once, while a request of a workspace
    that asks for little is served before the flood is over.
    """
    names = list(servers or scene.living())
    check_idle(scene, names)
    engines = [name for name in names if name.startswith('engine')]
    services = [name for name in names if name.startswith('chart')]
    if engines:
        _check_flood(scene, engines, _ask_engine)
    if services:
        _check_flood(scene, services, _ask_service)


def check_idle(scene: Scene, names: list[str]) -> None:
    """Check that nothing runs and that all slots are free."""
    eventually(
        lambda: all(_idle(scene, name) for name in names),
        shows=lambda: {name: scene.load(name) for name in names},
    )
    eventually(lambda: _entries_idle(scene), shows=lambda: _pools(scene))


def _check_flood(scene: Scene, names: list[str], ask: Ask) -> None:
    urls = cycle(scene.entry_urls())
    with Crowd() as crowd:
        flood = _Flood(
            lambda number: crowd.send(
                ask, scene.caller, next(urls), f'flood-{number}'
            ),
            _ROUNDS * scene.plan.slots * len(names),
        )
        eventually(
            lambda: (
                flood.goes_on() and all(_full(scene, name) for name in names)
            ),
            shows=lambda: {name: scene.load(name) for name in names},
        )
        small = ask(scene.small, next(urls), 'small')
        assert small.verdict == WHOLE, small
        assert flood.is_under_way, 'the flood was served first'
        _all_whole(flood.told())


class _Flood:
    """Requests of which so many are always under way.

    A flood of a set length can be over before all slots were seen full at
    once: on a crowded machine a side is not scheduled for seconds.
    """

    def __init__(self, send: Callable[[int], Future[Told]], size: int) -> None:
        self._send = send
        self._size = size
        self._futures = [send(number) for number in range(size)]

    def goes_on(self) -> bool:
        """Replace those that were answered."""
        answered = sum(future.done() for future in self._futures)
        missing = self._size - (len(self._futures) - answered)
        for _ in range(missing):
            self._futures.append(self._send(len(self._futures)))
        return True

    @property
    def is_under_way(self) -> bool:
        """Whether some are not answered yet."""
        return not all(future.done() for future in self._futures)

    def told(self) -> list[Told]:
        """Wait for all answers."""
        return [future.result() for future in self._futures]


def _ask_engine(caller: Caller, url: str, marker: str) -> Told:
    return ask_plain(caller, url, marker, _FLOOD_TOKENS)


def _ask_service(caller: Caller, url: str, marker: str) -> Told:
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


def _all_whole(rows: list[Told]) -> None:
    failed = [row for row in rows if row.verdict != WHOLE]
    assert not failed, show(failed)
