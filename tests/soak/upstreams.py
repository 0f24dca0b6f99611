"""Upstreams of a play, which serve, fail, leave and restart."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lib.specs import ADDRESS, upstream_spec
from lib.upstream_standin import Seen, whole_answer

from soak.endless import EndlessWay, answer_without_end
from soak.keys import ORGANISATION, PRIVATE
from soak.ledger import Ledger, Naming, Run
from soak.notices import Arrival, Departure, Leaving, Pausing, Removed
from soak.proxy import Proxy

SERVICES = ('views', 'orders')
# Time for which an upstream is cold after a start during a play: twice the wait
# of a host that starts at the same time.
COLD_SECONDS = 6.0
SLOTS = 4
QUEUE = 8
WORK_SECONDS = 0.02
# Part of the path of requests that terminate each upstream that runs them.
HARMFUL = '/harmful-'
NOT_RUN = 'Wardstair-Not-Executed: 1\r\n'
# Share of answers that a healthy upstream loses, so that each play has some.
LOST_SHARE = 0.01
_SEAL = 'Wardstair-Server-Seal: s.1\r\n'


def _now_milliseconds() -> int:
    return time.time_ns() // 1_000_000


@dataclass
class Habits:
    """How an upstream behaves at present.

    Attributes:
        slowness: Factor on its service time.
        lost_share: Share of answers that it loses after running the request.
        surplus_share: Share of answers that it sends twice.
        is_mute: Whether it accepts requests but answers none.
        endless: What its answers send without an end, if anything.
    """

    slowness: float = 1.0
    lost_share: float = LOST_SHARE
    surplus_share: float = 0.0
    is_mute: bool = False
    endless: EndlessWay | None = None


class SoakUpstream:
    """One upstream behind a proxy of its own, across restarts."""

    def __init__(
        self,
        place: int,
        zone: str,
        ledger: Ledger,
        random: Random,
        lost_share: float = LOST_SHARE,
        cold_seconds: float = COLD_SECONDS,
    ) -> None:
        """Create an upstream that is not listening yet."""
        self._cold_seconds = cold_seconds
        self.lost_share = lost_share
        self.zone = zone
        self.incarnation = 0
        # Incarnation that its name refers to; a restart may keep the name.
        self._named_incarnation = 0
        self.born = _now_milliseconds()
        self.service = SERVICES[place % len(SERVICES)]
        self.cold_until = 0.0
        self.habits = Habits()
        # Rate limit that it announces, if any.
        self.naming: Naming | None = None
        # Notices that it sends in answers.
        self.leaving: Leaving | None = None
        self.pausing: Pausing | None = None
        # Set while its entry says draining and connections are silent.
        self.departure: Departure | None = None
        # Set while it serves without an entry.
        self.removed: Removed | None = None
        self._place = place
        self._ledger = ledger
        self._random = random
        self._running = 0
        self._registered_incarnation = -1
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.proxy = Proxy(0)
        # Called when a harmful request has started to run.
        self.on_harm: Callable[[SoakUpstream], None] = lambda _upstream: None

    @property
    def name(self) -> str:
        """Its name, which its next incarnation may keep."""
        return f'i-{self._place}-{self._named_incarnation}'

    def spec(self, **status: object) -> dict[str, object]:
        """Return the entry with which it registers itself."""
        if self._registered_incarnation != self.incarnation:
            self._registered_incarnation = self.incarnation
            seconds = self._cold_seconds if self.incarnation else 0.0
            self.cold_until = time.monotonic() + seconds
        left = max(0.0, self.cold_until - time.monotonic())
        status = {'cold_left_ms': int(left * 1000), **status}
        entry = upstream_spec(
            self.proxy.port,
            self.service,
            self.zone,
            **status,
        )
        return {**entry, 'born': self.born}

    async def start(self) -> None:
        """Start listening, behind the proxy."""
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        port = int(self._server.sockets[0].getsockname()[1])
        self.proxy = Proxy(port)
        await self.proxy.start()

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.crash()
        await self.proxy.stop()

    def crash(self, *, keeps_name: bool = False) -> None:
        """End this incarnation at once; the next one takes over its address.

        Args:
            keeps_name: Whether the next incarnation has the same name.
        """
        self.incarnation += 1
        if not keeps_name:
            self._named_incarnation = self.incarnation
        self.born = max(_now_milliseconds(), self.born + 1)
        self._running = 0
        self.habits = Habits()
        self.naming = None
        self.leaving = None
        self.departure = None
        self.removed = None
        self.pausing = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        incarnation = self.incarnation
        try:
            while incarnation == self.incarnation:
                raw = await reader.readuntil(b'\r\n\r\n')
                seen = Seen(raw.decode('latin-1'), b'')
                length = int(seen.header('Content-Length') or 0)
                seen.body = await reader.readexactly(length)
                await self._answer(seen, reader, writer, incarnation)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self,
        seen: Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        incarnation: int,
    ) -> None:
        name = seen.request_id
        if seen.header('Wardstair-Expect-Instance') != self.name:
            misdirected = '421 Misdirected Request'
            writer.write(whole_answer(name, b'', misdirected, ''))
            return
        self._check_organisation(seen)
        if time.monotonic() < self.cold_until:
            self._ledger.note_cold(name, self.name)
        if self.naming is not None:
            self.naming.came.append(time.monotonic())
        arrival = self._note_arrival(name)
        pausing = self.pausing
        if arrival and pausing and pausing.is_rejecting:
            self._reject_with_pause(arrival, pausing, writer)
            return
        if self._running >= SLOTS + QUEUE:
            full = '503 Service Unavailable'
            extra = NOT_RUN + self._limit_header()
            writer.write(whole_answer(name, b'', full, extra))
            return
        run = self._ledger.note_run(name, self.name, self.service)
        if HARMFUL in seen.line:
            self._ledger.note_end_under(seen.line)
            self.on_harm(self)
            return
        self._running += 1
        await asyncio.sleep(self._draw_work_seconds())
        if incarnation != self.incarnation:
            self._mark_faulted(run)
            return
        self._running -= 1
        if self.habits.is_mute:
            self._mark_faulted(run)
            # Waits until the gateway times out and closes the connection.
            await reader.read(1)
            return
        if self.habits.endless is not None:
            self._mark_faulted(run)
            await answer_without_end(self.habits.endless, name, writer)
            return
        await self._write(name, writer, run)

    async def _write(
        self,
        name: str,
        writer: asyncio.StreamWriter,
        run: Run | None,
    ) -> None:
        habits = self.habits
        if self._random.random() < max(habits.lost_share, self.lost_share):
            self._mark_faulted(run)
            writer.transport.abort()
            return
        body = f'{name} {self.name}'.encode()
        extra = _SEAL + self._limit_header() + self._leaving_header(name)
        writer.write(whole_answer(name, body, extra=extra))
        if self._random.random() < habits.surplus_share:
            writer.write(whole_answer(name, body, extra=extra))
        await writer.drain()

    def _check_organisation(self, seen: Seen) -> None:
        if seen.header('Wardstair-Credential') is not None:
            self._ledger.broken.append(f'{seen.request_id} carries its API key')
        received = seen.header('Wardstair-Tenant')
        wanted = ORGANISATION if PRIVATE in seen.line else None
        if received != wanted:
            self._ledger.broken.append(
                f'{seen.request_id} carries organisation {received}, '
                f'not {wanted}',
            )

    def _note_arrival(self, name: str) -> Arrival | None:
        arrival = self._ledger.arrival(name)
        notices = (self.leaving, self.pausing, self.departure, self.removed)
        for notice in notices:
            if arrival is not None and notice is not None:
                notice.came.append(arrival)
        return arrival

    def _reject_with_pause(
        self,
        arrival: Arrival,
        pausing: Pausing,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = arrival.request.request_id
        extra = f'{NOT_RUN}Retry-After: {pausing.seconds!r}\r\n'
        unavailable = '503 Service Unavailable'
        writer.write(whole_answer(name, b'', unavailable, extra))
        pausing.rejected.append(arrival)

    def _leaving_header(self, name: str) -> str:
        known = self._ledger.tries.get(name)
        if self.leaving is None or known is None:
            return ''
        self.leaving.answered.append(known)
        return 'Server-Leaving: 1\r\n'

    def _limit_header(self) -> str:
        naming = self.naming
        return '' if naming is None else f'Server-Limit: {naming.rate}\r\n'

    def _draw_work_seconds(self) -> float:
        mean = WORK_SECONDS * self.habits.slowness
        return self._random.expovariate(1 / mean)

    def _mark_faulted(self, run: Run | None) -> None:
        if run is not None:
            run.is_faulted = True
