"""Whether all slots are there: idle when nothing runs, full under a flood."""

from __future__ import annotations

from collections.abc import Callable
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
        flood = [
            crowd.send(ask, scene.caller, next(urls), f'flood-{number}')
            for number in range(_ROUNDS * scene.plan.slots * len(names))
        ]
        eventually(
            lambda: all(_full(scene, name) for name in names),
            shows=lambda: {name: scene.load(name) for name in names},
        )
        small = ask(scene.small, next(urls), 'small')
        assert small.verdict == WHOLE, small
        waited_for = sum(future.done() for future in flood)
        assert waited_for < len(flood), 'the flood was served first'
        _all_whole([future.result() for future in flood])


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
