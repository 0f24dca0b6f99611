"""The task that finds out whether this host reaches upstreams.

Requests tell most of it. When answers stop coming it asks a few upstreams, and
while some are out of reach it asks one of them again and again.
"""

import asyncio
from collections.abc import Iterable
from random import Random

from wardstair.connection.pool import (
    CONNECTION_LIMIT,
    ConnectFailed,
    UpstreamPool,
)
from wardstair.connection.upstream import RawAnswer
from wardstair.decisions.reach import ALL, zone_group
from wardstair.state.belief import Belief
from wardstair.state.entries import UpstreamEntry
from wardstair.state.roles import ignore

# Upstreams asked in doubt; of different zones as far as there are.
ASKED_IN_DOUBT = 3
# Looks at a silence before it is believed: what came while this process did not
# run is read between them.
CLOSE_LOOKS = 3
CLOSE_LOOK_SECONDS = 0.02
# Part of the time of a silence after which it is looked at again.
RELOOK_SHARE = 0.2
_DEFAULT_PATH = '/'


class ReachabilityMonitor:
    """Asks upstreams when requests do not tell; one a process.

    Attributes:
        probes: Upstreams asked so far.
        on_doubt: Called when a doubt begins.
    """

    def __init__(
        self,
        belief: Belief,
        pool: UpstreamPool,
        random: Random,
    ) -> None:
        """Prepare without a task.

        Args:
            belief: What this host knows.
            pool: Connections to upstreams.
            random: Source of the choice of whom to ask.
        """
        self.probes = 0
        self.on_suspected = ignore
        self._reach = belief.reach
        self._belief = belief
        self._pool = pool
        self._random = random
        self._doubted = asyncio.Event()
        belief.reach.on_doubt = self._note_doubt
        belief.reach.on_opening_doubt = self._doubted.set

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._wait()
            await self._look()
            await self._follow_up()

    async def _look(self) -> None:
        """Begin a doubt if there is reason for one."""
        reach = self._reach
        if reach.is_failing:
            reach.begin_doubt('failures')
        elif reach.is_sound and await self._is_silent():
            reach.begin_doubt('silent')

    async def _follow_up(self) -> None:
        """Ask upstreams if any may be out of reach."""
        reach = self._reach
        if reach.is_doubted:
            await self._ask(self._spread())
            reach.end_doubt()
        elif reach.opening.is_doubted:
            await self._ask(self._spread())
            reach.end_opening_doubt()
        elif reach.lost or reach.opening.closed:
            reach.refresh()
            unreached = reach.lost | reach.opening.closed
            await self._ask(self._next_of_each(unreached))

    def _note_doubt(self) -> None:
        self._doubted.set()
        self.on_suspected()

    async def _wait(self) -> None:
        reach = self._reach
        self._doubted.clear()
        if reach.is_doubted or reach.opening.is_doubted:
            return
        try:
            async with asyncio.timeout(self._seconds_to_next()):
                await self._doubted.wait()
        except TimeoutError:
            # The usual case: nothing is in doubt.
            return

    def _seconds_to_next(self) -> float:
        times = self._reach.times()
        if not (self._reach.is_sound and self._reach.opening.is_sound):
            return times.probe
        left = times.silence - self._reach.silent_seconds
        return left if left > 0 else times.silence * RELOOK_SHARE

    async def _is_silent(self) -> bool:
        """Return whether answers have stopped coming."""
        answers = self._reach.answers
        if not self._reach.looks_silent():
            return False
        for _ in range(CLOSE_LOOKS):
            await asyncio.sleep(CLOSE_LOOK_SECONDS)
            if self._reach.answers != answers:
                return False
        return self._reach.looks_silent()

    def _members_of(self, group: str) -> list[UpstreamEntry]:
        """Return who may be asked of a group, in random order."""
        evacuated = self._belief.evacuated
        entries = [
            entry
            for entry in self._reach.members_of(group)
            if entry.zone not in evacuated
        ]
        self._random.shuffle(entries)
        return entries

    def _spread(self) -> list[UpstreamEntry]:
        """Return upstreams of different zones, and others if these are few."""
        entries = self._members_of(ALL)
        zones: dict[str, int] = {}
        turns = []
        for entry in entries:
            zone = zone_group(entry.zone)
            zones[zone] = zones.get(zone, 0) + 1
            turns.append((zones[zone], entry))
        turns.sort(key=lambda turn: turn[0])
        return [entry for _, entry in turns[:ASKED_IN_DOUBT]]

    def _next_of_each(self, groups: Iterable[str]) -> list[UpstreamEntry]:
        members = [self._members_of(group) for group in sorted(groups)]
        return [entries[0] for entries in members if entries]

    async def _ask(self, entries: list[UpstreamEntry]) -> None:
        await asyncio.gather(*map(self._probe, entries))

    async def _probe(self, entry: UpstreamEntry) -> None:
        """Ask one upstream anew; any answer says that it is reached."""
        self.probes += 1
        try:
            async with asyncio.timeout(self._reach.times().probe):
                is_reached = await self._exchange(entry)
        except TimeoutError:
            is_reached = False
        if is_reached:
            self._reach.note_reached(entry)
            self._reach.note_opened(entry)
        elif is_reached is not None:
            self._reach.note_failed(entry)
            self._reach.note_unopened(entry)

    async def _exchange(self, entry: UpstreamEntry) -> bool | None:
        """Return whether it answers; None if it could not be asked."""
        made = await self._pool.connect(entry.name, entry.host, entry.port)
        if isinstance(made, ConnectFailed):
            return None if made.reason == CONNECTION_LIMIT else False
        head = _probe_head(self._path_of(entry.service), entry)
        try:
            ended = await made.send(
                head,
                b'',
                is_own=lambda _pairs: True,
                is_head_only=False,
            )
        finally:
            made.close()
        return isinstance(ended, RawAnswer)

    def _path_of(self, service: str) -> str:
        steering = self._belief.steering
        known = None if steering is None else steering.services.get(service)
        return _DEFAULT_PATH if known is None else known.health_path


def _probe_head(path: str, entry: UpstreamEntry) -> bytes:
    lines = [f'GET {path} HTTP/1.1', f'Host: {entry.host}:{entry.port}']
    lines.append('Connection: close')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
