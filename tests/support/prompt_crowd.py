"""A crowd of prompts with shared parts before engines, without a network.

The pattern: bulletins of many users share one of 244 long parts (5,382 tokens)
and bring 6,610 tokens of their own, a few of them ten times as many; four
workspaces, one of which sends half. Figures: the users' sheet of ice-llm, nine
engines of 56.9 prompt tokens a millisecond, of which a third goes to decoding,
and a memory of 582,039 tokens. Placement, holdings and admission are the
product's own objects; the naive policies only change the order of servers.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import count
from random import Random

from sardinetrack.admission.reading import Ask, Granted, ReadingAdmission
from sardinetrack.fairness.recent import RecentService
from sardinetrack.placement.choice import by_prompt, in_time
from sardinetrack.placement.holdings import Holdings
from sardinetrack.placement.home import shared_part
from sardinetrack.placement.load import ServerLoad
from sardinetrack.relay.api import Prompt, PromptPart
from sardinetrack.topology.servers import BackendServer

ENGINES = 9
RATE_TOKENS = 40_000
MEMORY_TOKENS = 582_039
PARTS = 244
SHARED_TOKENS = 5382
OWN_TOKENS = 6610
WORD_SECONDS = 0.15
PATIENCE_SECONDS = 0.4
GUEST_SECONDS = 0.02
OBJECTIVE_SECONDS = 1.0
RUN_SECONDS = 3.0
"""From the first token to the last."""


@dataclass(slots=True)
class Request:
    """One prompt of the crowd."""

    name: str
    workspace: str
    prompt: Prompt
    came: float
    tried: list[str] = field(default_factory=list)


class Engine:
    """Reads one prompt after the other, and keeps what it has read."""

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.admission = ReadingAdmission(64, MEMORY_TOKENS)
        self.free_at = float(0)
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.told: set[str] = set()

    def read(self, now: float, request: Request) -> tuple[float, int]:
        """Queue a prompt; tell when it is read, and the tokens read again."""
        part = shared_part(request.prompt)
        own = request.prompt.parts[-1].tokens
        again = 0 if part in self.kept else SHARED_TOKENS
        self._keep(part, SHARED_TOKENS)
        self._keep(request.name, own)
        self.free_at = max(now, self.free_at) + (own + again) / RATE_TOKENS
        return self.free_at, again

    def _keep(self, part: str, tokens: int) -> None:
        self.kept.pop(part, None)
        self.kept[part] = tokens
        while sum(self.kept.values()) > MEMORY_TOKENS:
            self.kept.popitem(last=False)


class Crowd:
    """Plays one load under one order of servers."""

    def __init__(self, seed: int, policy: str, per_second: float) -> None:
        """Draw the load from a seed: it is the same under each policy."""
        self.read_again = 0
        self.in_time = 0
        self.asked = 0
        self.refused_beside_idle = 0
        self._draw = Random(seed)
        self._policy = policy
        self._per_second = per_second
        self._choice = Random(seed)
        self._numbers = count()
        self._events: list[tuple[float, int, str, object]] = []
        self._service = RecentService()
        self._holdings = Holdings()
        self._requests: dict[str, Request] = {}
        self._engines = {
            f'i-{number}': Engine(_server(number)) for number in range(ENGINES)
        }
        self._loads = {
            name: ServerLoad(slots_left=64, rate_tokens=RATE_TOKENS)
            for name in self._engines
        }

    def play(self, seconds: float) -> None:
        """Play the load."""
        moment = float(0)
        while moment < seconds:
            moment += self._draw.expovariate(self._per_second)
            self._at(moment, 'come', self._request(moment))
        for number in range(int(seconds / WORD_SECONDS)):
            self._at(number * WORD_SECONDS, 'word', None)
        while self._events:
            now, _, kind, what = heapq.heappop(self._events)
            getattr(self, f'_{kind}')(now, what)

    def _come(self, now: float, request: Request) -> None:
        self.asked += 1
        self._requests[request.name] = request
        self._ask_next(now, request)

    def _ask_next(self, now: float, request: Request) -> None:
        part = shared_part(request.prompt)
        held = self._holdings.of(now, part)
        servers = [engine.server for engine in self._engines.values()]
        found = by_prompt(request.prompt, servers, self._loads, held)
        if self._policy == 'random':
            self._choice.shuffle(found)
        elif self._policy == 'least loaded':
            found.sort(key=lambda one: one.wait_seconds)
        found = [
            one for one in found if one.server.instance not in request.tried
        ]
        left = max(0, PATIENCE_SECONDS - (now - request.came))
        if request.tried:
            found = in_time(found, left)
        if len(request.tried) == 3:
            self._refuse(now)
            return
        best = found[0]
        patience = left
        if best.again_tokens and self._policy == 'home':
            patience = GUEST_SECONDS
        request.tried.append(best.server.instance)
        ask = Ask(
            request.name,
            request.workspace,
            best.new_tokens,
            request.prompt.parts[-1].tokens,
            200,
            patience,
            served_tokens=self._service.tokens(now, request.workspace),
        )
        admission = self._engines[best.server.instance].admission
        self._take(now, best.server.instance, admission.ask(now, ask))
        self._at(now + patience, 'tick', best.server.instance)

    def _take(self, now: float, name: str, verdicts: object) -> None:
        engine = self._engines[name]
        for verdict in verdicts:
            request = self._requests[verdict.ask_id]
            if not isinstance(verdict, Granted):
                self._at(now, 'again', request)
                continue
            done, again = engine.read(now, request)
            self.read_again += again
            part = shared_part(request.prompt)
            engine.told.add(part)
            tokens = request.prompt.parts[-1].tokens + again
            self._service.add(now, request.workspace, tokens)
            self._loads[name].added_tokens += tokens
            self._at(done, 'begun', (name, request))

    def _again(self, now: float, request: Request) -> None:
        self._ask_next(now, request)

    def _refuse(self, now: float) -> None:
        idle = [
            one for one in self._engines.values() if one.free_at < now - 0.2
        ]
        self.refused_beside_idle += bool(idle)

    def _begun(self, now: float, what: tuple[str, Request]) -> None:
        name, request = what
        self.in_time += now - request.came <= OBJECTIVE_SECONDS
        admission = self._engines[name].admission
        self._take(now, name, admission.begun(now, request.name))
        self._at(now + RUN_SECONDS, 'ended', what)

    def _ended(self, now: float, what: tuple[str, Request]) -> None:
        name, request = what
        admission = self._engines[name].admission
        self._take(now, name, admission.ended(now, request.name))

    def _tick(self, now: float, name: str) -> None:
        self._take(now, name, self._engines[name].admission.tick(now))

    def _word(self, now: float, _: None) -> None:
        for name, engine in self._engines.items():
            self._loads[name].hear(
                now,
                engine.admission.wait_seconds(),
                engine.admission.rate_tokens,
                engine.admission.slots_left,
            )
            self._holdings.note(now, engine.server.ip, engine.told)
            engine.told.clear()

    def _request(self, moment: float) -> Request:
        name = f'r{next(self._numbers)}'
        part = f'part-{int(PARTS * self._draw.random() ** 1.4)}'
        own = int(self._draw.lognormvariate(8.1, 1.1))
        own = min(54_600, max(200, own))
        workspace = self._draw.choice(
            ('flood', 'flood', 'flood', 'a', 'b', 'c')
        )
        parts = (PromptPart(part, SHARED_TOKENS), PromptPart(name, own))
        prompt = Prompt(parts, SHARED_TOKENS + own, 200)
        return Request(name, workspace, prompt, moment)

    def _at(self, moment: float, kind: str, what: object) -> None:
        heapq.heappush(
            self._events,
            (moment, next(self._numbers), kind, what),
        )


def _server(number: int) -> BackendServer:
    return BackendServer(
        f'i-{number}',
        'models',
        f'10.0.0.{number}',
        80,
        'galata',
        64,
        leaving=False,
    )
