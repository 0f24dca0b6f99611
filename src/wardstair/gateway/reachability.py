"""Monitors whether this host can reach upstreams.

The outcomes of requests usually show it. If answers stop arriving, the monitor
probes a few upstreams. While a group of upstreams is unreachable, it probes one
of the group repeatedly.
"""

import asyncio
from collections.abc import Iterable
from random import Random

from wardstair.connection.pool import (
    CONNECTION_LIMIT,
    ConnectFailed,
    UpstreamPool,
)
from wardstair.connection.upstream import RawAnswer, UpstreamConnection
from wardstair.decisions.reachability import ALL, zone_group
from wardstair.gateway.bodies import (
    BodyCapacity,
    MemoryLease,
    memory_of,
)
from wardstair.state.entries import UpstreamEntry
from wardstair.state.local_state import LocalState
from wardstair.state.roles import ignore

# Upstreams probed when reachability is in question, in different zones if
# possible.
PROBES_WHEN_SUSPECT = 3
# Checks before silence counts as real. Answers that arrived while this process
# was not scheduled are read between the checks.
SILENCE_CHECKS = 3
SILENCE_CHECK_SECONDS = 0.02
# Fraction of the silence timeout after which an ongoing silence is checked
# again.
RECHECK_FRACTION = 0.2
# Maximum length of the answer to a probe, which is not used further.
MAX_PROBE_BYTES = 262144
_DEFAULT_PROBE_PATH = '/'
# Whether a connection is kept after a probe.
_CLOSE = 'close'
_KEEP = 'keep-alive'


class ReachabilityMonitor:
    """Probes upstreams if requests do not show reachability; one per process.

    Attributes:
        probes: Number of upstreams probed.
        on_suspect: Called when upstreams are suspected to be unreachable.
    """

    def __init__(
        self,
        local_state: LocalState,
        pool: UpstreamPool,
        random: Random,
    ) -> None:
        """Create a monitor without starting it.

        Args:
            local_state: The local state of this host.
            pool: Connections to upstreams.
            random: Source of the random choice of upstreams.
        """
        self.probes = 0
        self.on_suspect = ignore
        self._reachability = local_state.reachability
        self._local_state = local_state
        self._pool = pool
        self._random = random
        self._wakeup = asyncio.Event()
        local_state.reachability.on_suspect = self._on_suspect
        local_state.reachability.on_opening_suspect = self._wakeup.set

    async def run(self) -> None:
        """Monitor until cancelled."""
        while True:
            await self._wait()
            await self._check_silence()
            await self._probe_unreachable()

    async def _check_silence(self) -> None:
        """Suspect a loss of reachability after failures or silence."""
        reachability = self._reachability
        if reachability.is_failing:
            reachability.mark_suspect('failures')
        elif reachability.is_sound and await self._is_silent():
            reachability.mark_suspect('silent')

    async def _probe_unreachable(self) -> None:
        """Probe upstreams if any may be unreachable."""
        reachability = self._reachability
        if reachability.is_suspect:
            await self._probe_all(self._across_zones())
            reachability.clear_suspect()
        elif reachability.opening.is_suspect:
            await self._probe_all(self._across_zones())
            reachability.clear_opening_suspect()
        elif reachability.lost or reachability.opening.closed:
            reachability.refresh()
            unreached = reachability.lost | reachability.opening.closed
            await self._probe_all(self._one_per_group(unreached))

    def _on_suspect(self) -> None:
        self._wakeup.set()
        self.on_suspect()

    async def _wait(self) -> None:
        reachability = self._reachability
        self._wakeup.clear()
        if reachability.is_suspect or reachability.opening.is_suspect:
            return
        try:
            async with asyncio.timeout(self._seconds_to_next()):
                await self._wakeup.wait()
        except TimeoutError:
            # The usual case: nothing is suspected.
            return

    def _seconds_to_next(self) -> float:
        times = self._reachability.times()
        if not (
            self._reachability.is_sound and self._reachability.opening.is_sound
        ):
            return times.probe
        left = times.silence - self._reachability.silent_seconds
        return left if left > 0 else times.silence * RECHECK_FRACTION

    async def _is_silent(self) -> bool:
        """Return whether answers have stopped arriving."""
        answers = self._reachability.answers
        if not self._reachability.looks_silent():
            return False
        for _ in range(SILENCE_CHECKS):
            await asyncio.sleep(SILENCE_CHECK_SECONDS)
            if self._reachability.answers != answers:
                return False
        return self._reachability.looks_silent()

    def _probe_candidates(self, group: str) -> list[UpstreamEntry]:
        """Return the upstreams of a group outside evacuated zones, shuffled."""
        evacuated = self._local_state.evacuated
        entries = [
            entry
            for entry in self._reachability.members_of(group)
            if entry.zone not in evacuated
        ]
        self._random.shuffle(entries)
        return entries

    def _across_zones(self) -> list[UpstreamEntry]:
        """Return upstreams of different zones, filled up if zones are few."""
        entries = self._probe_candidates(ALL)
        zones: dict[str, int] = {}
        by_turn = []
        for entry in entries:
            zone = zone_group(entry.zone)
            zones[zone] = zones.get(zone, 0) + 1
            by_turn.append((zones[zone], entry))
        by_turn.sort(key=lambda turn: turn[0])
        return [entry for _, entry in by_turn[:PROBES_WHEN_SUSPECT]]

    def _one_per_group(self, groups: Iterable[str]) -> list[UpstreamEntry]:
        members = [self._probe_candidates(group) for group in sorted(groups)]
        return [entries[0] for entries in members if entries]

    async def _probe_all(self, entries: list[UpstreamEntry]) -> None:
        await asyncio.gather(*map(self._probe, entries))

    async def _probe(self, entry: UpstreamEntry) -> None:
        """Probe one upstream; any answer is a success.

        New connections may fail while open ones work. So an idle connection is
        probed as well, and a failure counts against the upstream only if no
        open connection may still work.
        """
        self.probes += 1
        idle = self._pool.borrow(entry.name, is_once=False)
        is_in_use = idle is None and self._pool.is_connected(entry.name)
        is_open, is_reached = await asyncio.gather(
            self._answers_on_new(entry),
            self._answers_on(idle, entry),
        )
        if is_open or is_reached:
            self._reachability.note_reached(entry)
        elif is_open is not None and not (
            is_in_use and self._reachability.is_sound
        ):
            self._reachability.note_failed(entry)
        if is_open:
            self._reachability.note_opened(entry)
        elif is_open is not None:
            self._reachability.note_unopened(entry)

    async def _answers_on_new(self, entry: UpstreamEntry) -> bool | None:
        """Return whether an upstream answers on a new connection.

        Returns:
            None if there may be no further connection to it.
        """
        try:
            async with asyncio.timeout(self._reachability.times().probe):
                connected = await self._pool.connect(
                    entry.name,
                    entry.host,
                    entry.port,
                )
                if isinstance(connected, ConnectFailed):
                    is_full = connected.reason == CONNECTION_LIMIT
                    return None if is_full else False
                return await self._exchange(connected, entry, _CLOSE)
        except TimeoutError:
            return False

    async def _answers_on(
        self,
        idle: UpstreamConnection | None,
        entry: UpstreamEntry,
    ) -> bool:
        """Return whether an upstream answers on an idle connection, if any."""
        if idle is None:
            return False
        try:
            async with asyncio.timeout(self._reachability.times().probe):
                has_answered = await self._exchange(idle, entry, _KEEP)
        except TimeoutError:
            return False
        if has_answered:
            self._pool.give_back(entry.name, idle)
        return has_answered

    async def _exchange(
        self,
        connection: UpstreamConnection,
        entry: UpstreamEntry,
        persistence: str,
    ) -> bool:
        """Return whether an upstream answers a health check."""
        sent = connection.send(
            _probe_head(self._path_of(entry.service), entry, persistence),
            b'',
            is_own=lambda _pairs: True,
            is_head_only=False,
            memory=MemoryLease(BodyCapacity(memory_of(MAX_PROBE_BYTES))),
        )
        has_answered = False
        try:
            has_answered = isinstance(await sent, RawAnswer)
        finally:
            if persistence == _CLOSE or not has_answered:
                connection.close()
        return has_answered

    def _path_of(self, service: str) -> str:
        steering = self._local_state.steering
        known = None if steering is None else steering.services.get(service)
        return _DEFAULT_PROBE_PATH if known is None else known.health_path


def _probe_head(path: str, entry: UpstreamEntry, persistence: str) -> bytes:
    lines = [f'GET {path} HTTP/1.1', f'Host: {entry.host}:{entry.port}']
    lines.append(f'Connection: {persistence}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
