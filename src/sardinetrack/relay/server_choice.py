"""Find the server of a request and wait for a permit there.

The home server of a request is the one that rendezvous hashing prefers for the
shared prefix of its prompt.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from functools import partial
from typing import Final

from sardinetrack.admission.request import AdmissionRequest
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.placement.choice import (
    Candidate,
    excluding,
    rank_by_load,
    rank_by_prefix,
    worthwhile_wait_seconds,
)
from sardinetrack.placement.rendezvous import (
    rendezvous_order,
)
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.candidate_order import CandidateOrder
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.permit import (
    PermitRefusedError,
    PlainPermit,
    TrialRunsError,
    acquire_permit,
)
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.request_terms import RequestTerms
from sardinetrack.relay.trace import Placement, Trace
from sardinetrack.topology.servers import BackendServer

MAX_PERMIT_REQUESTS: Final = 8
"""Servers from which a permit is requested before a request is refused.

Only servers that were free by their last load report are tried, so a full fleet
gets one or two requests. Reports are 0.1 s old and most engines are busy half
of the time: with three, 0.9 in 100 requests were refused on a normal day of 59
engines of 12 slots, beside engines that were idle 40 % of the time; with eight
nearly none.
"""
MAX_UNREACHABLE: Final = 4
"""Servers that may turn out to be unreachable before a request is refused."""
EVACUATED_RETRY_SECONDS: Final = 1.0
"""When to retry if the operator has evacuated all servers. The end is unknown,
and a person takes longer than a server to return."""
_MILLISECONDS: Final = 1000
SERVER_UNREACHABLE_RETRY_SECONDS: Final = 0.3
"""When to retry after a server was unreachable or full."""
TRIAL_POLL_SECONDS: Final = 0.05
"""After which a request whose part is suspected asks again while another one
runs, or after its server was unreachable: a prefill takes about as long, and by
then the entries know of a crash."""


class Placer:
    """Chooses a server, of those that it has not been sent to if possible."""

    def __init__(
        self,
        state: EntryState,
        call: CallerRequest,
        trace: Trace,
        *,
        only_untried: bool = False,
    ) -> None:
        """Create a placer for one request.

        :param only_untried: never choose a server that it was sent to before.
        """
        self._only_untried = only_untried
        self._state = state
        self._call = call
        self._trace = trace
        self._loop = asyncio.get_running_loop()
        self._terms = RequestTerms(state, call, trace)

    async def place(self, plan: Plan) -> Placement:
        """Wait until the request may be sent.

        :raises RequestError: no server can run it in time.
        """
        began_seconds = self._loop.time()
        if self._trace.unreachable and self._terms.suspected_part(plan):
            await asyncio.sleep(TRIAL_POLL_SECONDS)
        give_up_seconds = began_seconds + self._terms.max_wait_seconds(plan)
        while True:
            try:
                return await self._place_once(plan)
            except TrialRunsError:
                if self._loop.time() >= give_up_seconds:
                    raise self._trial_error() from None
            await asyncio.sleep(TRIAL_POLL_SECONDS)

    async def _place_once(self, plan: Plan) -> Placement:
        candidates = self._candidates(plan)
        if not candidates or len(self._trace.unreachable) > MAX_UNREACHABLE:
            raise self.no_server_error(plan)
        if not plan.pool.runs_models:
            return self._place_plain(plan, candidates[0])
        began_seconds = self._loop.time()
        try:
            return await self._acquire_permit(plan, candidates)
        finally:
            self._record_wait(self._loop.time() - began_seconds)

    async def place_continued(
        self, plan: Plan, server: BackendServer
    ) -> Placement:
        """Get a permit for a stream that continues from a copy.

        It prefills nothing, and its workspace was charged when it began.

        :raises PermitRefusedError: there is none in time.
        """
        candidate = Candidate(server, float(0), float(0), 0)
        admission_request = self._terms.of_continuation(plan, candidate)
        permit = await acquire_permit(
            self._state, plan.pool, candidate, admission_request
        )
        return Placement(candidate, permit)

    def no_server_error(self, plan: Plan) -> RequestError:
        """Return the error for a request that no server can run."""
        version = self._trace.version
        pool, servers = plan.pool.name, self._state.servers
        if version is not None and not servers.in_pool(pool, version):
            return RequestError(
                ErrorKind.NOT_RUN_VERSION,
                f'no server has software version {version}, which began the'
                ' stream',
            )
        rest_seconds = self._state.rest_seconds(plan.pool.name)
        if rest_seconds > 0:
            return RequestError(
                ErrorKind.NOT_RUN_NO_SERVER,
                'all servers have asked for rest',
                retry_after_seconds=_round_up(rest_seconds),
            )
        if servers.only_evacuated(pool):
            return RequestError(
                ErrorKind.NOT_RUN_NO_SERVER,
                'all servers are evacuated',
                retry_after_seconds=EVACUATED_RETRY_SECONDS,
            )
        return RequestError(
            ErrorKind.NOT_RUN_NO_SERVER,
            retry_after_seconds=SERVER_UNREACHABLE_RETRY_SECONDS,
        )

    def _place_plain(self, plan: Plan, candidate: Candidate) -> Placement:
        state, server = self._state, candidate.server
        state.server_states.cold_starts.record_sent(server, plan.pool)
        return Placement(
            candidate, PlainPermit(state.server_states.load(server))
        )

    def _record_wait(self, waited_seconds: float) -> None:
        self._trace.waited_seconds += waited_seconds
        self._state.meters.waited.add(waited_seconds)

    def _candidates(self, plan: Plan) -> list[Candidate]:
        state = self._state
        if self._trace.origin_is_doubtful(state.servers):
            raise RequestError(
                ErrorKind.NOT_RUN_VERSION,
                'the server that began the stream has restarted with other'
                ' software',
            )
        servers = state.usable_servers(
            self._loop.time(), plan.pool.name, self._trace.version
        )
        if plan.pool.runs_models:
            candidates = rank_by_prefix(
                self._call.prompt,
                servers,
                state.server_states.loads,
                state.prefix_index.servers_with(
                    self._loop.time(), self._terms.shared_prefix
                ),
                plan.route.event_gap_seconds,
            )
        else:
            candidates = rank_by_load(
                [
                    one
                    for one in servers
                    if state.server_states.cold_starts.accepts(one, plan.pool)
                ],
                state.server_states.loads,
                state.settings.failure_domain,
                state.entries,
                self._loop.time(),
            )
        trace = self._trace
        untried = excluding(candidates, {*trace.servers, *trace.unreachable})
        if not untried and not self._only_untried:
            untried = excluding(candidates, trace.unreachable)
        return self._limited_to_trial(plan, untried)

    def _limited_to_trial(
        self, plan: Plan, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Keep the one engine that may run a request with a suspected part.

        All entries choose the same one, whatever its load: it alone is at risk.
        """
        part = self._terms.suspected_part(plan)
        if not part or not candidates:
            return candidates
        by_name = {one.server.instance: one for one in candidates}
        return [by_name[rendezvous_order(part, sorted(by_name))[0]]]

    async def _acquire_permit(
        self,
        plan: Plan,
        candidates: Sequence[Candidate],
    ) -> Placement:
        """Request a permit from the best server, then from others.

        After a refusal, servers with free capacity are tried. Otherwise a
        request that waited at its home server during a very long prefill would
        be refused beside idle servers.

        :param candidates: the order of servers, the best one first.
        """
        deadline_seconds = self._loop.time() + self._terms.max_wait_seconds(
            plan
        )
        refusals: list[PermitRefusedError] = []
        rank = partial(self._candidates, plan)
        order = CandidateOrder(candidates, rank, self._loop.time)
        candidate: Candidate | None = candidates[0]
        while candidate is not None and order.tried_count < MAX_PERMIT_REQUESTS:
            order.mark_tried(candidate)
            left_seconds = max(0, deadline_seconds - self._loop.time())
            stay_seconds = worthwhile_wait_seconds(
                candidate,
                order.best(left_seconds),
                self._terms.first_event_due_seconds(plan) - self._loop.time(),
            )
            admission_request = self._terms.admission_request(
                plan, candidate, min(left_seconds, stay_seconds)
            )
            try:
                return await self._request_permit(
                    plan, candidate, admission_request
                )
            except PermitRefusedError as refusal:
                refusals.append(refusal)
                self._terms.record_refusal(
                    refusal.since_refusal_seconds, refusal.service_fraction
                )
            if self._terms.suspected_part(plan):
                # The order may be older than the suspicion.
                break
            candidate = self._next_candidate(order, deadline_seconds)
        self._state.service.refused(self._loop.time(), plan.workspace_name)
        raise self._refusal_error(refusals)

    def _next_candidate(
        self, order: CandidateOrder, deadline_seconds: float
    ) -> Candidate | None:
        """Return the server to ask after a refusal.

        A workspace that is owed service is next at a full server too.
        """
        candidate = order.best(deadline_seconds - self._loop.time())
        if candidate is None and self._terms.is_owed:
            return order.further_home(self._call.request_id)
        return candidate

    async def _request_permit(
        self,
        plan: Plan,
        candidate: Candidate,
        admission_request: AdmissionRequest,
    ) -> Placement:
        permit = await acquire_permit(
            self._state, plan.pool, candidate, admission_request
        )
        self._record_permit(candidate, admission_request)
        return Placement(candidate, permit, admission_request.is_trial)

    def _record_permit(
        self, candidate: Candidate, admission_request: AdmissionRequest
    ) -> None:
        now = self._loop.time()
        self._state.service.add(
            now, admission_request.workspace, admission_request.cost
        )
        if admission_request.shared_prefix:
            ip = candidate.server.ip
            self._state.prefix_index.record(
                now, ip, (admission_request.shared_prefix,)
            )

    def _trial_error(self) -> RequestError:
        self._trace.reason = 'a part of the prompt is suspected'
        return RequestError(
            ErrorKind.NOT_RUN_DEADLINE,
            retry_after_seconds=SERVER_UNREACHABLE_RETRY_SECONDS,
        )

    def _refusal_error(
        self, refusals: Sequence[PermitRefusedError]
    ) -> RequestError:
        self._trace.reason = '; '.join(str(refusal) for refusal in refusals)
        return RequestError(
            ErrorKind.NOT_RUN_DEADLINE,
            retry_after_seconds=min(
                refusal.retry_after_seconds for refusal in refusals
            ),
        )


def _round_up(seconds: float) -> float:
    """Round to the milliseconds of a response, for no return too early."""
    return math.ceil(seconds * _MILLISECONDS) / _MILLISECONDS
