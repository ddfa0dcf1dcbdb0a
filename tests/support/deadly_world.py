"""Prompts with a part that crashes engines, beside sound ones, on loopback."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from random import Random

from sardinetrack.topology.freshness import boot_clock
from tests.support.version_world import (
    CallerStream,
    VersionedEngine,
    VersionWorld,
)

CONTACT_SECONDS = 3.0
"""Within which entries in touch must have stopped. Source: the users' pages."""
ALLOWED_CRASHES = 5
"""Crashes by one part from which that time counts. Source: as above."""
_CRASH_SECONDS = 0.1
"""Between the arrival of a deadly request and the crash."""
_DOWN_SECONDS = 2.0
_REPLACE_SECONDS = 3.0
_SOUND_A_SECOND = 25
_FIRST_PARTS = ('first-0', 'first-1')
_SECOND_PARTS = tuple(f'second-{number}' for number in range(6))
_NUMBERS = count()
_STREAM_SECONDS = 3.0


class FragileEngine(VersionedEngine):
    """Crashes as it begins to respond to a prompt with a deadly part."""

    def __init__(self, instance):
        super().__init__(instance)
        self.world = None
        self.starts = 1

    async def _run(self, fields, writer, made, count=None):
        prompt = fields['x-sardinetrack-prefix-hash']
        self.world.note_arrival(self.world.deadly_part(prompt))
        if self.world.deadly_part(prompt):
            await asyncio.sleep(_CRASH_SECONDS)
            if not self.down:
                self.world.crash(self, self.world.deadly_part(prompt))
            return
        await super()._run(fields, writer, made)

    async def crash_and_return(self):
        """End, cut everything, and be back later under another id."""
        await self.crash()
        await asyncio.sleep(_DOWN_SECONDS)
        self.starts += 1
        self.instance = f'{self.ip}-{self.starts}'
        self.writers.clear()
        await self.open()
        self.down = False
        self.world.list_servers()


@dataclass
class SoundCall:
    """What the caller of a sound prompt got at its first attempt."""

    sent_seconds: float
    stream: CallerStream

    @property
    def has_begun(self):
        return bool(self.stream.numbers)


class DeadlyWorld(VersionWorld):
    """Nine engines and three entries; records crashes by deadly parts."""

    def __init__(self, deadly):
        super().__init__()
        self.server_type = FragileEngine
        self.deadly = deadly
        self.crashes = {part: [] for part in deadly}
        self.arrivals = {part: [] for part in deadly}
        """When requests reached engines, by their deadly part."""
        self.other_crashes = []
        self.sound = []
        self._rng = Random(1)
        self._tasks = set()

    async def open_deadly(self, engines=9, entries=3):
        versions = ['v1' for _ in range(engines)]
        await self.open_fleet(versions, entries=entries)
        for number, engine in enumerate(self.servers):
            engine.world = self
            engine.failure_domain = f'zone-{number % 3}'
        self.list_servers()
        self._start(self._confirm_views())

    def deadly_part(self, prompt):
        parts = {one.partition(':')[0] for one in prompt.split(',')}
        return next((one for one in self.deadly if one in parts), None)

    def note_arrival(self, part):
        if part is not None:
            self.arrivals[part].append(self.loop.time())

    def crash(self, engine, part=None):
        """Crash an engine, by a part or by itself."""
        if part is None:
            self.other_crashes.append(self.loop.time())
        else:
            self.crashes[part].append(self.loop.time())
        self._start(engine.crash_and_return())

    async def send_sound(self, seconds, new_fraction=0):
        """Send sound requests that share their caller and parts.

        :param new_fraction: of them, whose second part was never seen before.
        """
        for _ in range(int(seconds * _SOUND_A_SECOND)):
            second = self._rng.choice(_SECOND_PARTS)
            if self._rng.random() < new_fraction:
                second = f'new-{next(_NUMBERS)}'
            prefix = self._prefix(self._rng.choice(_FIRST_PARTS), second)
            call = SoundCall(self.loop.time(), self._stream(prefix))
            self.sound.append(call)
            self._start(self._request(call.stream))
            await asyncio.sleep(1 / _SOUND_A_SECOND)

    async def replace_processes(self):
        """End all sides and an entry, and start them without any records."""
        await asyncio.sleep(_REPLACE_SECONDS)
        # Engines that have crashed have other ids than their sides knew.
        for side in self.sides.values():
            await side.__aexit__(None, None, None)
        self.sides.clear()
        for engine in self.servers:
            await self._open_side(engine)
        await self.kill_entry(0)
        await self.open_entry()
        self.list_servers()

    async def send_deadly(self, seconds, every_seconds, place):
        """Send requests with each deadly part, no two alike.

        :param place: of the part in the prompt, 0 for the first.
        """
        for _ in range(int(seconds / every_seconds)):
            for part in self.deadly:
                parts = [
                    self._rng.choice(_FIRST_PARTS),
                    self._rng.choice(_SECOND_PARTS),
                ]
                parts[place] = part
                self._start(self._request(self._stream(self._prefix(*parts))))
                await asyncio.sleep(every_seconds / len(self.deadly))

    async def crash_by_themselves(self, seconds, every_seconds, engines):
        """Crash some engines at a time, with no prompt to blame."""
        for _ in range(int(seconds / every_seconds)):
            running = [one for one in self.servers if not one.down]
            for engine in self._rng.sample(running, engines):
                self.crash(engine)
            await asyncio.sleep(every_seconds)

    @property
    def refused_for_crashes(self):
        """The number of requests that entries refused because of crashes."""
        return sum(
            state.meters.outcomes[kind]
            for state in self.entry_states
            for kind in ('not_run_prompt_part', 'not_run_crashes')
        )

    def sent_after_contact(self, part):
        """Count the arrivals after which entries in touch had to stop."""
        crashes = self.crashes[part]
        if len(crashes) < ALLOWED_CRASHES:
            return 0
        bound = crashes[ALLOWED_CRASHES - 1] + CONTACT_SECONDS
        return sum(one > bound for one in self.arrivals[part])

    def begun_fractions(self, after_seconds):
        """Return which fractions of the sound requests have begun.

        :param after_seconds: after the crash from which on they count.
        :return: before the first crash, and from then on.
        """
        times = self.crashes.values() or (self.other_crashes,)
        first = min(at[0] for at in times)
        last = max(at[:ALLOWED_CRASHES][-1] for at in times)
        calm = [one for one in self.sound if one.sent_seconds < first]
        later = [
            one for one in self.sound if one.sent_seconds > last + after_seconds
        ]
        return _begun(calm), _begun(later)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await super().close()

    async def _confirm_views(self):
        while True:
            for state in self.entry_states:
                state.freshness.confirm(boot_clock())
            await asyncio.sleep(1)

    def _start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _prefix(self, first, second):
        return f'{first}:300,{second}:300,own-{next(_NUMBERS)}:20'

    def _stream(self, prefix):
        stream = CallerStream(next(_NUMBERS))
        stream.target = f'/stream/{stream.first_request}'
        stream.prefix = prefix
        return stream

    async def _request(self, stream):
        entry = self._rng.randrange(len(self.entries))
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(_STREAM_SECONDS):
                await self.read(stream, entry)


def _begun(calls):
    return sum(one.has_begun for one in calls) / len(calls)
