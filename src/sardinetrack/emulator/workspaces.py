"""Loads of workspaces that differ in their prompts and responses."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import count
from random import Random

from sardinetrack.emulator.load import Request
from sardinetrack.placement.prompt import Prompt, PromptBlock


@dataclass(frozen=True, slots=True)
class WorkspaceLoad:
    """What one workspace requests."""

    name: str
    requests_per_second: float
    shared_prefixes: int
    """Different shared prefixes of its prompts, all equally frequent."""
    shared_prefix_tokens: int
    own_tokens: int
    """Tokens of a prompt that no other request shares."""
    output_tokens: int
    begins_seconds: float = 0
    """When its first request may come."""
    max_entries: int = 1_000_000
    """Entries that its callers are connected to."""


def draw_workspace_requests(
    loads: Iterable[WorkspaceLoad],
    seconds: float,
    seed: int,
    entries: int = 1,
) -> Iterator[Request]:
    """Draw the requests of all workspaces in the order of their arrival.

    :param seconds: length of the load.
    :param seed: seed of the random number generators, one a workspace.
    :param entries: number of entries that they come through.
    """
    return heapq.merge(
        *(_requests(load, seconds, seed, entries) for load in loads),
        key=lambda request: request.arrived_seconds,
    )


def _requests(
    load: WorkspaceLoad, seconds: float, seed: int, entries: int
) -> Iterator[Request]:
    rng = Random(f'{load.name}/{seed}')
    moment = load.begins_seconds
    for number in count():
        moment += rng.expovariate(load.requests_per_second)
        if moment > seconds:
            return
        name = f'{load.name}-{number}'
        prefix = f'{load.name}-part-{rng.randrange(load.shared_prefixes)}'
        prompt = Prompt(
            (
                PromptBlock(prefix, load.shared_prefix_tokens),
                PromptBlock(name, load.own_tokens),
            ),
            load.shared_prefix_tokens + load.own_tokens,
            load.output_tokens,
        )
        entry = rng.randrange(min(entries, load.max_entries))
        yield Request(name, load.name, prompt, moment, entry=entry)
