"""Find the server of a request and wait for a turn there."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import Final

from sardinetrack.admission.ask import Ask
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.placement.choice import (
    Candidate,
    by_load,
    by_prompt,
    without,
    worth_waiting_seconds,
)
from sardinetrack.placement.holdings import SHARED_TOKENS
from sardinetrack.placement.home import shared_part, shared_tokens
from sardinetrack.relay.api import Call
from sardinetrack.relay.crashes import fingerprint
from sardinetrack.relay.fleet import Fleet
from sardinetrack.relay.offers import Offers
from sardinetrack.relay.plan import Plan
from sardinetrack.relay.trace import Placed, Trace
from sardinetrack.relay.turn import PlainTurn, TurnRefusedError, take_turn

PATIENCE_PART: Final = 0.8
"""Part of the objective to the first event that a request may wait at the most.

How long it really can is the side's to say, which knows how long reading takes;
the rest of the objective goes for the first event and its way.
"""
GUEST_SECONDS: Final = 0.02
"""Wait of a request at a server that has to read a shared part again for it.

It takes capacity that is free and none that requests at home there wait for.
"""
MOST_ASKED: Final = 8
"""Servers that are asked for a turn before a request is refused.

Only those are asked that were free by their last word, so that a full fleet is
asked once or twice. Words are 0.1 s old and most engines busy half of the time:
with three, 0.9 in 100 were refused on a calm day of 59 engines of 12 slots,
beside engines that idled 40 % of theirs; with eight nearly none.
"""
MOST_UNREACHED: Final = 4
"""Servers that may turn out unreachable before a request is refused."""
EVACUATED_SECONDS: Final = 1.0
"""When it is worth coming back where the operator has evacuated all servers:
nobody knows, and it takes a person longer than a server's return."""
_FINGERPRINT_DIGITS: Final = 16
"""64 bits: two of the requests that a side remembers are alike by chance once
in 10^11 times."""
SERVER_AWAY_SECONDS: Final = 0.3
"""When it is worth coming back after a server was away or full."""


class Placer:
    """Chooses among the servers that this request has not been at."""

    def __init__(self, fleet: Fleet, call: Call, trace: Trace) -> None:
        """Work for one request."""
        self._fleet = fleet
        self._call = call
        self._trace = trace
        self._loop = asyncio.get_running_loop()
        self._part = shared_part(call.prompt)
        if shared_tokens(call.prompt) < SHARED_TOKENS:
            self._part = ''
        self._fingerprint = ''
        self._answer: int | None = None
        self._returned_seconds = float(0)

    async def place(self, plan: Plan) -> Placed:
        """Wait until the request may be sent.

        :raises AnsweredError: no server can take it in time.
        """
        candidates = self._candidates(plan)
        if not candidates or len(self._trace.unreached) > MOST_UNREACHED:
            raise self._nowhere(plan)
        if not plan.pool.runs_models:
            return self._take_plain(plan, candidates[0])
        began_seconds = self._loop.time()
        try:
            return await self._take_turn(plan, candidates)
        finally:
            self._note_wait(self._loop.time() - began_seconds)

    def _nowhere(self, plan: Plan) -> AnsweredError:
        """Tell why nobody may be sent the request."""
        servers = self._fleet.servers
        if servers.only_evacuated(plan.pool.name):
            return AnsweredError(
                ErrorKind.NOT_RUN_NO_SERVER,
                'all servers are evacuated',
                retry_after_seconds=EVACUATED_SECONDS,
            )
        return AnsweredError(
            ErrorKind.NOT_RUN_NO_SERVER,
            retry_after_seconds=SERVER_AWAY_SECONDS,
        )

    def _take_plain(self, plan: Plan, candidate: Candidate) -> Placed:
        fleet, server = self._fleet, candidate.server
        fleet.beliefs.cold.sent(server, plan.pool)
        return Placed(candidate, PlainTurn(fleet.beliefs.load(server)))

    def _note_wait(self, waited_seconds: float) -> None:
        self._trace.waited_seconds += waited_seconds
        self._fleet.meters.waited.add(waited_seconds)

    def _candidates(self, plan: Plan) -> list[Candidate]:
        fleet = self._fleet
        servers = fleet.usable(self._loop.time(), plan.pool.name)
        if plan.pool.runs_models:
            found = by_prompt(
                self._call.prompt,
                servers,
                fleet.beliefs.loads,
                fleet.holdings.of(self._loop.time(), self._part),
            )
        else:
            found = by_load(
                [
                    one
                    for one in servers
                    if fleet.beliefs.cold.bears(one, plan.pool)
                ],
                fleet.beliefs.loads,
                fleet.settings.failure_domain,
                fleet.entries,
            )
        trace = self._trace
        untried = without(found, {*trace.servers, *trace.unreached})
        return untried or without(found, trace.unreached)

    async def _take_turn(
        self,
        plan: Plan,
        found: Sequence[Candidate],
    ) -> Placed:
        """Ask the best server, and after a refusal others that have room.

        Whoever has waited at a home that reads a very long prompt would else
        be refused beside idle servers.

        :param found: the best one first.
        """
        patience_seconds = PATIENCE_PART * plan.route.first_answer_seconds
        ends_seconds = self._loop.time() + patience_seconds
        refusals: list[TurnRefusedError] = []
        find = partial(self._candidates, plan)
        offers = Offers(found, find, self._loop.time)
        candidate: Candidate | None = found[0]
        while candidate is not None and offers.asked < MOST_ASKED:
            offers.ask(candidate)
            left_seconds = max(0, ends_seconds - self._loop.time())
            stay_seconds = worth_waiting_seconds(
                candidate,
                offers.best(left_seconds),
                self._due_seconds(plan) - self._loop.time(),
            )
            ask = self._ask(plan, candidate, min(left_seconds, stay_seconds))
            try:
                return await self._wait_turn(plan, candidate, ask)
            except TurnRefusedError as refusal:
                refusals.append(refusal)
                self._returned_seconds = max(
                    self._returned_seconds,
                    refusal.returned_seconds,
                )
            candidate = offers.best(ends_seconds - self._loop.time())
        raise self._refused(refusals)

    async def _wait_turn(
        self,
        plan: Plan,
        candidate: Candidate,
        ask: Ask,
    ) -> Placed:
        turn = await take_turn(self._fleet, plan.pool, candidate, ask)
        self._note_turn(candidate, ask)
        return Placed(candidate, turn)

    def _note_turn(self, candidate: Candidate, ask: Ask) -> None:
        now = self._loop.time()
        self._fleet.service.add(now, ask.workspace, ask.cost)
        if ask.part:
            ip = candidate.server.ip
            self._fleet.holdings.note(now, ip, (ask.part,))

    def _ask(
        self,
        plan: Plan,
        candidate: Candidate,
        patience_seconds: float,
    ) -> Ask:
        fleet = self._fleet
        request_id = self._call.request_id
        number = self._trace.asks
        self._trace.asks += 1
        now = self._loop.time()
        return Ask(
            ask_id=f'{request_id}.{number}',
            workspace=plan.workspace_name,
            new_tokens=candidate.new_tokens,
            kept_tokens=candidate.new_tokens + self._answer_tokens(plan),
            answer_tokens=self._answer_tokens(plan),
            patience_seconds=(
                GUEST_SECONDS if candidate.is_guest else patience_seconds
            ),
            entry=fleet.settings.instance,
            served_tokens=fleet.service.tokens(now, plan.workspace_name),
            part=self._part,
            due_seconds=self._due_seconds(plan) - now,
            ends_seconds=max(0, plan.ends_seconds - now),
            fingerprint=self._name(plan),
            returned_seconds=self._returned_seconds,
        )

    def _answer_tokens(self, plan: Plan) -> int:
        if self._answer is None:
            lengths = self._fleet.beliefs.lengths
            self._answer = lengths.tokens(plan.route.name, self._call.prompt)
        return self._answer

    def _name(self, plan: Plan) -> str:
        """Name what stays the same when the caller returns."""
        if not self._fingerprint:
            whole = fingerprint(self._call, plan.workspace_name)
            self._fingerprint = whole[:_FINGERPRINT_DIGITS]
        return self._fingerprint

    def _due_seconds(self, plan: Plan) -> float:
        """Tell when the first event is late, on the loop's clock."""
        first_seconds = self._call.arrived_seconds - self._returned_seconds
        return first_seconds + plan.route.first_answer_seconds

    def _refused(self, refusals: Sequence[TurnRefusedError]) -> AnsweredError:
        self._trace.reason = '; '.join(str(refusal) for refusal in refusals)
        return AnsweredError(
            ErrorKind.NOT_RUN_DEADLINE,
            retry_after_seconds=min(
                refusal.retry_after_seconds for refusal in refusals
            ),
        )
