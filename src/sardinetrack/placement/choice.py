"""Choose the server of a request by what it would cost there."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from sardinetrack.placement.home import ranked, shared_part
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.api import Prompt
from sardinetrack.topology.servers import BackendServer

REREAD_WEIGHT: Final = 2.0
"""How many times its own time reading a shared part again counts.

It delays everybody at that server, not only this request, and drives other
parts out of the memory.
"""
FULL_SECONDS: Final = 1.0
"""Counted as waiting at a server without a free slot."""
FAR_SECONDS: Final = 0.003
"""Counted for another failure domain: a round trip."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """One server and what the request would cost there."""

    server: BackendServer
    wait_seconds: float
    cost_seconds: float
    new_tokens: int
    """Prompt tokens that it would have to read."""
    again_tokens: int = 0
    """Those of them that its home would not have to read."""


def by_prompt(
    prompt: Prompt,
    servers: Sequence[BackendServer],
    loads: Mapping[str, ServerLoad],
) -> list[Candidate]:
    """Order the servers of a model pool, the best first.

    The home of the shared part needs to read only the request's own part;
    any other server reads all of it. So a request leaves its home just when
    waiting there costs more than reading it all elsewhere.
    """
    key = shared_part(prompt)
    by_name = {server.instance: server for server in servers}
    order = ranked(key, by_name) if key else list(by_name)
    home = order[0] if key and order else ''
    own_tokens = _own_tokens(prompt)
    found = [
        _model_candidate(
            by_name[name],
            loads.get(name) or ServerLoad(),
            own_tokens if name == home else prompt.tokens,
            0 if name == home else prompt.tokens - own_tokens,
        )
        for name in order
    ]
    return sorted(found, key=lambda candidate: candidate.cost_seconds)


def by_load(
    servers: Sequence[BackendServer],
    loads: Mapping[str, ServerLoad],
    failure_domain: str,
    entries: int,
) -> list[Candidate]:
    """Order the servers of a plain pool, the least loaded first.

    :param entries: how many entries share the servers.
    """
    found: list[Candidate] = []
    for server in servers:
        load = loads.get(server.instance) or ServerLoad()
        running = max(load.running * entries, load.reported_running)
        far = server.failure_domain != failure_domain
        cost = running / max(1, server.slots) + far * FAR_SECONDS
        found.append(Candidate(server, float(0), cost, 0))
    return sorted(found, key=lambda candidate: candidate.cost_seconds)


def without(
    found: Sequence[Candidate],
    instances: Collection[str],
) -> list[Candidate]:
    """Leave out servers that the request was at."""
    return [
        candidate
        for candidate in found
        if candidate.server.instance not in instances
    ]


def _own_tokens(prompt: Prompt) -> int:
    if not prompt.parts:
        return prompt.tokens
    return min(prompt.tokens, prompt.parts[-1].tokens)


def _model_candidate(
    server: BackendServer,
    load: ServerLoad,
    new_tokens: int,
    again_tokens: int,
) -> Candidate:
    wait_seconds = load.wait_seconds()
    full = FULL_SECONDS if load.slots_left <= 0 else 0
    again_seconds = REREAD_WEIGHT * again_tokens / load.rate_tokens
    cost_seconds = wait_seconds + again_seconds + full
    return Candidate(
        server,
        wait_seconds,
        cost_seconds,
        new_tokens,
        again_tokens,
    )
