"""Find the requests that crash the servers that run them; no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

from sardinetrack.logs.events import EventLog
from sardinetrack.messages.api import Strike
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.part_quarantine import PartQuarantine, SentPrompt
from sardinetrack.routing.strikes import StrikeRegistry
from sardinetrack.turns.side_state import StrikeListener

SERVERS_TO_BLOCK: Final = 3
"""Different servers that crash while running a request before it is refused.

Every request that ran on a server beside the crashing one gets a strike too. In
a crash of a quarter of the engines one in sixteen of their requests meets two
crashes, and one in sixty meets three.
"""
STRIKE_TTL_SECONDS: Final = 60.0
"""How long a strike counts; callers send such a request again immediately."""
CRASH_CONFIRM_SECONDS: Final = 3.0
"""Longest time between the end of a connection and the sign of a crash.

A crashed server is detected by the next connection or by the instance list.
"""
_HAD_EVENTS: Final = 'had_events'
_NO_EVENT: Final = 'without_event'
_MAX_SUSPECTS: Final = 512
"""Per server, which runs 64 requests at a time and gets new ones when idle."""


def fingerprint(call: CallerRequest, workspace: str) -> str:
    """Hash what stays the same when a caller sends a request again."""
    digest = xxhash.xxh3_128(workspace.encode())
    digest.update(call.method)
    digest.update(call.target)
    digest.update(call.body)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """An attempt whose connection ended before its response was complete."""

    request_id: str
    has_events: bool
    """Whether this server had begun to respond."""
    shared_parts: tuple[str, ...]
    """Blocks of the prompt that others may have in common, for the log."""
    prompt: SentPrompt


_TimedRun = tuple[float, InterruptedRun]


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """What is known of a crash when it is confirmed."""

    strikes: tuple[Strike, ...]
    """Against the requests that ran there until just before."""
    runs: tuple[InterruptedRun, ...]

    @property
    def without_event(self) -> list[InterruptedRun]:
        """The runs to which the server had not begun to respond."""
        return [run for run in self.runs if not run.has_events]


class CrashWatch(StrikeListener):
    """Suspects the requests that ran on a server when it crashed.

    A connection that ends while a request runs proves no crash: responses are
    lost in transit too. Soon after, the server must also turn out to be
    unreachable or be removed from the instance list.
    """

    def __init__(self, log: EventLog) -> None:
        self.quarantine = PartQuarantine(log)
        self.strike_registry = StrikeRegistry(SERVERS_TO_BLOCK)
        self._suspects: dict[str, dict[str, float]] = {}
        self.interrupted = Counter(dict.fromkeys((_HAD_EVENTS, _NO_EVENT), 0))
        """Runs that confirmed crashes have interrupted."""
        self._runs: dict[str, list[_TimedRun]] = {}

    def refused_seconds(
        self, now: float, call: CallerRequest, workspace: str
    ) -> float:
        """Return for how long a request is refused; 0 if it is not."""
        if not self.strike_registry:
            return 0
        name = fingerprint(call, workspace)
        return self.strike_registry.blocked_seconds(now, name)

    def connection_ended(
        self,
        now: float,
        server: str,
        call: CallerRequest,
        workspace: str,
    ) -> Sequence[Strike]:
        """Record that a connection ended while a request ran.

        :return: a strike against the request, if that is certain already.
        """
        name = fingerprint(call, workspace)
        if self.strike_registry.count(now, name) >= SERVERS_TO_BLOCK - 1:
            # For a request with two strikes the next server need not be
            # confirmed as unreachable first: the server after it would crash
            # in that time.
            strikes = (Strike(name, server, STRIKE_TTL_SECONDS),)
            self.add_strikes(now, strikes)
            return strikes
        suspects = self._suspects.setdefault(server, {})
        suspects[name] = now
        if len(suspects) > _MAX_SUSPECTS:
            suspects.pop(next(iter(suspects)))
        return ()

    def run_interrupted(
        self, now: float, server: str, run: InterruptedRun
    ) -> None:
        """Record an attempt that a crash may have interrupted."""
        runs = self._runs.setdefault(server, [])
        runs.append((now, run))
        if len(runs) > _MAX_SUSPECTS:
            runs.pop(0)

    def confirm_crash(self, now: float, server: str) -> ServerCrash:
        """Record that a server is unreachable."""
        strikes = tuple(
            Strike(name, server, STRIKE_TTL_SECONDS)
            for name, ended_seconds in self._suspects.pop(server, {}).items()
            if now - ended_seconds <= CRASH_CONFIRM_SECONDS
        )
        self.add_strikes(now, strikes)
        runs = tuple(
            run
            for ended_seconds, run in self._runs.pop(server, ())
            if now - ended_seconds <= CRASH_CONFIRM_SECONDS
        )
        crash = ServerCrash(strikes, runs)
        silent = crash.without_event
        self.interrupted[_NO_EVENT] += len(silent)
        self.interrupted[_HAD_EVENTS] += len(runs) - len(silent)
        self.quarantine.crashed(now, [one.prompt for one in silent])
        return crash

    def forget(self, server: str) -> None:
        """Forget what ran on a server that has shut down in good order."""
        self._suspects.pop(server, None)
        self._runs.pop(server, None)

    def add_strikes(self, now: float, strikes: Iterable[Strike]) -> None:
        """Add strikes, from this entry or other ones."""
        for strike in strikes:
            self.strike_registry.add(now, strike)

    def served(self, call: CallerRequest, workspace: str) -> None:
        """Clear a request that was served completely."""
        if self.strike_registry:
            self.strike_registry.clear(fingerprint(call, workspace))
