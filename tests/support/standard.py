"""The fleet that most failure tests use, started side by side."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Final

from support.fleet import Fleet

MODEL: Final = 'ice-llm'
SERVICE: Final = 'chart-api'
TOKEN: Final = 'pilot-token'
ENTRIES: Final = ('entry-a', 'entry-b')
_AT_ONCE: Final = 6


def side_by_side(*calls: Callable[[], Any]) -> list[Any]:
    """Make calls at once and wait for all.

    :return: what they gave, in order.
    """
    with ThreadPoolExecutor(_AT_ONCE) as threads:
        futures = [threads.submit(call) for call in calls]
        return [future.result() for future in futures]


def start_standard(
    fleet: Fleet,
    *,
    engines: int = 2,
    services: int = 1,
    **engine_settings: Any,
) -> None:
    """Start a platform, engines, services, their sides and two entries."""
    names = [f'engine-{number}' for number in range(engines)]
    service_names = [f'chart-{number}' for number in range(services)]
    engine = partial(fleet.start_engine, model=MODEL, **engine_settings)
    urls = side_by_side(
        fleet.start_platform,
        *(partial(engine, name) for name in names),
        *(partial(fleet.start_service, name) for name in service_names),
    )[1:]
    fleet.workspace('pilot', TOKEN)
    fleet.model_pool(MODEL, MODEL)
    reads = [{'method': 'GET', 'path_prefix': '/'}]
    fleet.service_pool(SERVICE, reads)
    servers = [(MODEL, name) for name in names]
    servers.extend((SERVICE, name) for name in service_names)
    side_by_side(
        *(
            partial(fleet.start_side, *server, url)
            for server, url in zip(servers, urls, strict=True)
        ),
        *(partial(fleet.start_entry, name) for name in ENTRIES),
    )
    fleet.wait_ready(*daemons(fleet))
    for entry in ENTRIES:
        fleet.wait_linked(entry, engines + services)


def daemons(fleet: Fleet) -> list[str]:
    """Name the system's own processes."""
    return [
        name
        for name, process in fleet.processes.items()
        if 'operator_url' in process.ready
    ]


def completion(marker: str, tokens: int = 5, text: str = '') -> dict[str, Any]:
    """Build a request whose answer is known beforehand."""
    content = f'draft a bulletin {text} id={marker} tokens={tokens}'
    return {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': content}],
    }


def words(marker: str, tokens: int = 5) -> list[str]:
    """Say which words the answer to ``completion`` has."""
    return [f'w{number}-{marker}' for number in range(tokens)]
