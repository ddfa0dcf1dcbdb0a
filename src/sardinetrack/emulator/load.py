"""The load of an experiment, drawn from a seed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Final

from sardinetrack.placement.prompt import Prompt, PromptBlock

_PREFIX_SKEW: Final = 1.4
"""Exponent that makes some shared prefixes more frequent than others, as in
the users' deployments: the most frequent of 244 is in about 1.5 of 100
requests."""


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """A deployment and its load; the defaults are of the users' ice-llm.

    Nine engines prefill 57 prompt tokens a millisecond, a third of which is
    spent on decoding. Bulletins share one of 244 long prefixes and have a
    part of their own, in a few of them ten times as long. One workspace sends
    half of the requests.
    """

    engines: int = 9
    slots: int = 64
    rate_tokens: float = 40_000
    """Prompt tokens that an engine prefills in a second."""
    memory_tokens: int = 582_039
    shared_prefixes: int = 244
    shared_prefix_tokens: int = 5382
    own_log_mean: float = 8.1
    own_log_spread: float = 1.1
    min_own_tokens: int = 200
    max_own_tokens: int = 54_600
    output_tokens: int = 200
    run_seconds: float = 3
    """Time from the first token to the last."""
    objective_seconds: float = 1
    max_wait_seconds: float = 0.4
    """Maximum wait for a permit."""
    deadline_seconds: float = 15
    workspaces: tuple[str, ...] = ('flood', 'flood', 'flood', 'a', 'b', 'c')
    """The sender of each request is drawn from these."""
    rate_step: float = 1
    """Factor on the rate in the middle third of the time."""
    entries: int = 1
    """Entries through which the requests come, each with an equal share."""


@dataclass(frozen=True, slots=True)
class FewSlotsProfile(LoadProfile):
    """Engines whose slots are exhausted before their prefill capacity.

    59 engines of 12 slots, as the users' largest ice-llm. The requests' own
    parts have 1,200 tokens in the mean, prefilled in 0.03 s, and each request
    then occupies a slot for 2 s. So the slots can run at most 354 requests a
    second, and the engines then prefill for less than half of their time.
    """

    engines: int = 59
    slots: int = 12
    memory_tokens: int = 418_179
    shared_prefixes: int = 1200
    own_log_mean: float = 6.5
    run_seconds: float = 2
    objective_seconds: float = 0.8
    max_wait_seconds: float = 0.64
    deadline_seconds: float = 12


@dataclass(slots=True)
class Request:
    """One request of the load."""

    name: str
    workspace: str
    prompt: Prompt
    arrived_seconds: float
    is_retry: bool = False
    entry: int = 0
    """Number of the entry that it comes through."""

    @property
    def own_tokens(self) -> int:
        """Tokens of the prompt that no other request shares."""
        return self.prompt.blocks[-1].tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the prompt that other requests share."""
        return self.prompt.tokens - self.own_tokens

    @property
    def service_tokens(self) -> int:
        """The whole prompt, and the response counted twice."""
        return self.prompt.tokens + 2 * self.prompt.output_tokens


def draw_requests(
    shape: LoadProfile,
    per_second: float,
    seconds: float,
    seed: int,
) -> Iterator[Request]:
    """Draw the requests of a load in the order of their arrival.

    The same seed gives the same requests under every policy.

    :param shape: deployment and load.
    :param per_second: mean rate outside the step.
    :param seconds: length of the load.
    :param seed: seed of the random number generator.
    """
    rng = Random(seed)
    moment = float(0)
    for number in count():
        moment += rng.expovariate(_rate(shape, per_second, moment, seconds))
        if moment > seconds:
            return
        yield _request(shape, rng, f'r{number}', moment)


def _rate(
    shape: LoadProfile,
    per_second: float,
    moment: float,
    seconds: float,
) -> float:
    in_step = seconds <= 3 * moment <= 2 * seconds
    return per_second * shape.rate_step if in_step else per_second


def _request(
    shape: LoadProfile,
    rng: Random,
    name: str,
    moment: float,
) -> Request:
    prefix = f'part-{int(shape.shared_prefixes * rng.random() ** _PREFIX_SKEW)}'
    drawn = rng.lognormvariate(shape.own_log_mean, shape.own_log_spread)
    own = int(min(shape.max_own_tokens, max(shape.min_own_tokens, drawn)))
    workspace = rng.choice(shape.workspaces)
    prompt = Prompt(
        (
            PromptBlock(prefix, shape.shared_prefix_tokens),
            PromptBlock(name, own),
        ),
        shape.shared_prefix_tokens + own,
        shape.output_tokens,
    )
    return Request(name, workspace, prompt, moment)
