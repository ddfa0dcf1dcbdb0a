"""The fleet that most system tests use; its processes start concurrently."""

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
_MAX_CONCURRENT: Final = 6


def run_concurrently(*calls: Callable[[], Any]) -> list[Any]:
    """Make calls concurrently and wait for all.

    :return: their results, in order.
    """
    with ThreadPoolExecutor(_MAX_CONCURRENT) as threads:
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
    start_named_engine = partial(
        fleet.start_engine, model=MODEL, **engine_settings
    )
    urls = run_concurrently(
        fleet.start_platform,
        *(partial(start_named_engine, name) for name in names),
        *(partial(fleet.start_service, name) for name in service_names),
    )[1:]
    fleet.workspace('pilot', TOKEN)
    fleet.model_pool(MODEL, MODEL)
    reads = [{'method': 'GET', 'path_prefix': '/'}]
    fleet.service_pool(SERVICE, reads)
    servers = [(MODEL, name) for name in names]
    servers.extend((SERVICE, name) for name in service_names)
    run_concurrently(
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
    """Return the names of the entries and sides."""
    return [
        name
        for name, process in fleet.processes.items()
        if 'operator_url' in process.ready
    ]


def completion(marker: str, tokens: int = 5, text: str = '') -> dict[str, Any]:
    """Build a request whose response is known beforehand."""
    content = f'draft a bulletin {text} id={marker} tokens={tokens}'
    return {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': content}],
    }


def words(marker: str, tokens: int = 5) -> list[str]:
    """Return the words of the response to ``completion``."""
    return [f'w{number}-{marker}' for number in range(tokens)]
