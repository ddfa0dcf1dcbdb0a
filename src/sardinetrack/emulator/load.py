"""The load of an experiment: who asks what of which engines."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Final

from sardinetrack.placement.prompt import Prompt, PromptPart

_PART_SKEW: Final = 1.4
"""Exponent that makes some parts come more often, as the users' sheet has it:
the most frequent of 244 in some 1.5 of 100 requests."""


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment and its crowd; the defaults are of the users' ice-llm.

    Nine engines read 57 prompt tokens a millisecond, of which a third goes to
    decoding. Bulletins share one of 244 long parts and bring a part of their
    own, a few of them ten times as long. One workspace sends half.
    """

    engines: int = 9
    slots: int = 64
    rate_tokens: float = 40_000
    """Prompt tokens that an engine reads in a second."""
    memory_tokens: int = 582_039
    parts: int = 244
    shared_tokens: int = 5382
    own_log_mean: float = 8.1
    own_log_spread: float = 1.1
    own_least_tokens: int = 200
    own_most_tokens: int = 54_600
    answer_tokens: int = 200
    run_seconds: float = 3
    """From the first token to the last."""
    objective_seconds: float = 1
    patience_seconds: float = 0.4
    """Longest wait for a turn."""
    deadline_seconds: float = 15
    workspaces: tuple[str, ...] = ('flood', 'flood', 'flood', 'a', 'b', 'c')
    """One of them sends each request."""
    jump: float = 1
    """Times the usual rate, in the middle third of the time."""


@dataclass(frozen=True, slots=True)
class FewSlots(Shape):
    """Engines whose slots run out before their reading does.

    59 engines of 12 slots, as the users' largest ice-llm; own parts of 1,200
    tokens in the mean, read in 0.03 s, before answers that hold a slot for
    2 s. So 354 requests a second are all that the slots take, and the engines
    then read for less than half of their time.
    """

    engines: int = 59
    slots: int = 12
    memory_tokens: int = 418_179
    parts: int = 1200
    own_log_mean: float = 6.5
    run_seconds: float = 2
    objective_seconds: float = 0.8
    patience_seconds: float = 0.64
    deadline_seconds: float = 12


@dataclass(slots=True)
class Request:
    """One prompt of the crowd."""

    name: str
    workspace: str
    prompt: Prompt
    came_seconds: float
    returned: bool = False

    @property
    def own_tokens(self) -> int:
        """Tokens that no other request shares."""
        return self.prompt.blocks[-1].tokens


def draw(
    shape: Shape,
    per_second: float,
    seconds: float,
    seed: int,
) -> Iterator[Request]:
    """Draw the requests of a crowd, in the order in which they come.

    The same seed gives the same requests, whatever decides about them.
    """
    chance = Random(seed)
    moment = float(0)
    for number in count():
        moment += chance.expovariate(_rate(shape, per_second, moment, seconds))
        if moment > seconds:
            return
        yield _request(shape, chance, f'r{number}', moment)


def _rate(
    shape: Shape,
    per_second: float,
    moment: float,
    seconds: float,
) -> float:
    jumps = seconds <= 3 * moment <= 2 * seconds
    return per_second * shape.jump if jumps else per_second


def _request(
    shape: Shape,
    chance: Random,
    name: str,
    moment: float,
) -> Request:
    part = f'part-{int(shape.parts * chance.random() ** _PART_SKEW)}'
    drawn = chance.lognormvariate(shape.own_log_mean, shape.own_log_spread)
    own = int(min(shape.own_most_tokens, max(shape.own_least_tokens, drawn)))
    workspace = chance.choice(shape.workspaces)
    prompt = Prompt(
        (PromptPart(part, shape.shared_tokens), PromptPart(name, own)),
        shape.shared_tokens + own,
        shape.answer_tokens,
    )
    return Request(name, workspace, prompt, moment)
