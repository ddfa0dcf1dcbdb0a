"""Simulates entries that receive strikes late, and a caller that retries."""

from __future__ import annotations

from collections import deque
from itertools import permutations
from random import Random

from router_steps import POOL, pool, workspace

from sardinetrack.messages.api import SideLoad, SidePhase, Strike
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    Reject,
    RoutedRequest,
    SendToEntries,
    SideInfo,
)
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity

ENTRIES = ('a', 'b', 'c')
SERVERS = tuple(f'engine{number}' for number in range(8))
_STEP_SECONDS = 0.1
_MAX_STEPS = 10_000


class CrashSimulation:
    """Every server crashes while it runs the one request that is sent here."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._now = float(0)
        self._number = 0
        self._response: Reject | None = None
        self._attempts: deque[tuple[Router, Dispatch]] = deque()
        self._links = {pair: deque() for pair in permutations(ENTRIES, 2)}
        self._routers = {name: self._entry(name) for name in ENTRIES}
        for name, other in self._links:
            self._routers[name].peer_linked(0, other)
        self.crashed: set[str] = set()

    def send(self) -> Reject:
        """Send the request again and return its error response."""
        self._response = None
        self._number += 1
        name = self._random.choice(ENTRIES)
        work = RoutedRequest(
            f'r{self._number}', 'pilot', POOL, 1, self._now + 60, True, 'print'
        )
        self._handle_effects(name, self._routers[name].submit(self._now, work))
        for _ in range(_MAX_STEPS):
            if self._response is not None:
                return self._response
            self._step(name)
        raise AssertionError('no response')

    def _entry(self, name: str) -> Router:
        router = Router(ProcessIdentity(name, 'first'), self._random)
        router.configure(0, [workspace('pilot')], [pool()])
        for server in SERVERS:
            info = SideInfo(server, POOL, server, 'galata', '127.0.0.1:1')
            router.side_connected(0, info)
            router.update_side_load(
                0, server, SideLoad('first', SidePhase.SERVING, 4, 0, 4)
            )
        return router

    def _step(self, name: str) -> None:
        waiting = [pair for pair, messages in self._links.items() if messages]
        if self._attempts:
            self._crash(name)
        elif waiting and self._random.randrange(2):
            self._deliver(*self._random.choice(waiting))
        else:
            self._now += 0 if waiting else _STEP_SECONDS
            self._handle_effects(name, self._routers[name].tick(self._now))

    def _crash(self, name: str) -> None:
        router, dispatch = self._attempts.popleft()
        self.crashed.add(dispatch.side)
        no_slots = SideLoad('first', SidePhase.SERVING, 0, 0, 0)
        for other in self._routers.values():
            other.update_side_load(self._now, dispatch.side, no_slots)
        effects = router.settle_attempt(
            self._now,
            dispatch.attempt_id,
            AttemptOutcome.FAILED,
            cost=0,
            answered=self._random.randrange(3) == 0,
        )
        self._handle_effects(name, effects)

    def _deliver(self, sender: str, receiver: str) -> None:
        message = self._links[sender, receiver].popleft()
        router = self._routers[receiver]
        if isinstance(message, Strike):
            router.apply_strike(self._now, message)
            self._links[receiver, sender].append(message.number)
        else:
            effects = router.strike_acknowledged(self._now, sender, message)
            self._handle_effects(receiver, effects)

    def _handle_effects(self, name: str, effects) -> None:
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            match effect:
                case Dispatch():
                    self._attempts.append((self._routers[name], effect))
                case Reject():
                    pending.extend(self._reject(name, effect))
                case SendToEntries(message=Strike() as strike):
                    self._send_strike(name, strike)

    def _reject(self, name: str, reject: Reject):
        if reject.strike:
            return self._routers[name].deliver_rejection(self._now, reject)
        self._response = reject
        return ()

    def _send_strike(self, name: str, strike: Strike) -> None:
        for sender, receiver in self._links:
            if sender == name:
                self._links[sender, receiver].append(strike)
