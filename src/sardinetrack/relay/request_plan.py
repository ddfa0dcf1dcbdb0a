"""What a request is allowed to use under the active configuration."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

import xxhash

from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.quarantine.api import part_keys
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.server_states import ServerUnavailableError
from sardinetrack.topology.configuration import (
    Configuration,
    Pool,
    Route,
    RouteKind,
    Workspace,
)
from sardinetrack.topology.stream_origin import StreamOrigin
from sardinetrack.turns.clock import loop_now

_WEIGHT_POINTS: Final = 1_000_000
_RETRY_SPREAD: Final = 0.25
"""Fraction of the time to come back by which those of several callers differ.
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """Route, pool and workspace of one request."""

    version: int
    route: Route
    pool: Pool
    workspace: Workspace | None
    """``None`` on an anonymous route."""
    deadline_seconds: float
    """When the caller must have its complete response, on the loop's clock."""
    part_keys: tuple[str, ...]
    """Of the parts of its prompt that others may share, in this pool."""

    @property
    def workspace_name(self) -> str:
        """The workspace that is charged."""
        return self.workspace.name if self.workspace else ''

    @property
    def is_streaming(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def has_movable_streams(self) -> bool:
        """Whether its stream moves to another engine if its own leaves."""
        return self.pool.moves and self.is_streaming

    @property
    def priority(self) -> int:
        """Rank, 0 first; a priority of the workspace overrides the route's."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority


def make_plan(state: EntryState, call: CallerRequest) -> Plan:
    """Find route, workspace and pool.

    :raises RequestError: the request is not allowed, or this instance can't
        know whether it is.
    """
    configuration = state.active_configuration()
    route = configuration.route(call.host, call.path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_PATH)
    workspace = _workspace(state, configuration, route, call)
    caller_seconds = call.max_wait_seconds
    allowed = route.timeout_seconds
    if caller_seconds is not None:
        allowed = min(allowed, caller_seconds)
    pool = _pool(configuration, route, call)
    return Plan(
        version=configuration.version,
        route=route,
        pool=pool,
        workspace=workspace,
        deadline_seconds=call.arrived_seconds + allowed,
        part_keys=part_keys(pool.name, call.prompt),
    )


def plan_continuation(
    state: EntryState, plan: Plan, call: CallerRequest, origin: StreamOrigin
) -> Plan:
    """Return the plan of a request that continues a stream.

    :raises RequestError: the pool that began the stream is not on the route.
    """
    on_route = {weighted.pool for weighted in plan.route.pools}
    pool = state.active_configuration().pools.get(origin.pool)
    if pool is None or pool.name not in on_route:
        raise RequestError(
            ErrorKind.NOT_RUN_VERSION,
            f'the route no longer leads to {origin.pool}, which began the'
            ' stream',
        )
    return replace(plan, pool=pool, part_keys=part_keys(pool.name, call.prompt))


def part_refusal(
    state: EntryState, plan: Plan, call: CallerRequest
) -> RequestError | None:
    """Return the error for a request with a blocked part, if it has one.

    Callers return at different times.
    """
    quarantine = state.crashes.quarantine
    seconds = quarantine.blocked_seconds(loop_now(), plan.part_keys)
    if not seconds:
        return None
    digest = xxhash.xxh3_64_intdigest(call.request_id.encode())
    more = _RETRY_SPREAD * (digest % _WEIGHT_POINTS) / _WEIGHT_POINTS
    return RequestError(
        ErrorKind.NOT_RUN_PROMPT_PART,
        retry_after_seconds=(1 + more) * seconds,
    )


def check_parts(
    state: EntryState,
    plan: Plan,
    call: CallerRequest,
    *,
    is_trial: bool,
) -> None:
    """Check the parts of the prompt against the latest crashes.

    :param is_trial: its server was chosen for a suspected part.
    :raises RequestError: a part is blocked.
    :raises ServerUnavailableError: a part is suspected, and it is no trial.
    """
    refusal = part_refusal(state, plan, call)
    if refusal is not None:
        raise refusal
    quarantine = state.crashes.quarantine
    if not is_trial and quarantine.suspected_part(loop_now(), plan.part_keys):
        raise ServerUnavailableError


def check_still_allowed(
    state: EntryState, plan: Plan, call: CallerRequest
) -> None:
    """Check key and route again just before a request is sent.

    Both as they are in force now: the route may need a key by now, and the key
    may have another workspace, which would be charged.

    :raises RequestError: they were removed or changed in the meantime.
    """
    configuration = state.active_configuration()
    route: Route | None = plan.route
    if configuration.version != plan.version:
        route = configuration.route(call.host, call.path)
    pools = () if route is None else route.pools
    if route is None or all(one.pool != plan.pool.name for one in pools):
        raise _changed_error('the route has changed')
    workspace = _workspace(state, configuration, route, call)
    if (workspace and workspace.name) != (
        plan.workspace and plan.workspace.name
    ):
        raise _changed_error('the workspace has changed')


def _changed_error(detail: str) -> RequestError:
    return RequestError(ErrorKind.NOT_RUN_LOST, detail, retry_after_seconds=0)


def _workspace(
    state: EntryState,
    configuration: Configuration,
    route: Route,
    call: CallerRequest,
) -> Workspace | None:
    if route.anonymous or configuration.workspaces is None:
        return None
    if not state.freshness.is_fresh():
        raise RequestError(
            ErrorKind.NOT_RUN_PLATFORM_DOWN,
            'the configuration can not be confirmed',
            retry_after_seconds=1,
        )
    workspace = configuration.workspace(call.api_key)
    if workspace is None:
        raise RequestError(ErrorKind.UNAUTHENTICATED)
    return workspace


def _pool(
    configuration: Configuration, route: Route, call: CallerRequest
) -> Pool:
    """Choose a pool by weight, the same one for the same stream."""
    total = sum(weighted.weight for weighted in route.pools)
    point = (
        xxhash.xxh3_64_intdigest(call.stream_id.encode())
        % _WEIGHT_POINTS
        / _WEIGHT_POINTS
        * total
    )
    name = route.pools[-1].pool
    for weighted in route.pools:
        point -= weighted.weight
        if point < 0:
            name = weighted.pool
            break
    pool = configuration.pools.get(name)
    if pool is None:
        raise RequestError(ErrorKind.NOT_RUN_NO_SERVER)
    return pool
