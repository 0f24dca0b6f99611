"""Whether an upstream ended while it had a request.

A broken exchange alone says little: connections break, resting ones are
forgotten, an upstream may lose an answer. An upstream that has ended does not
listen any more, or another life of it says so.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from wardstair.connection.probe import ProbeOutcome, probe
from wardstair.decisions.suspicion import SUSPECT_FROM
from wardstair.process.log import log_event
from wardstair.state.entries import UpstreamEntry
from wardstair.state.suspects import SuspectTable
from wardstair.state.upstream import Upstream

# A live upstream that has too many connections may refuse one, hardly two in
# turn; one that ended was seen to be back after 1.2 s at the earliest.
PROBES = 2
PROBE_PAUSE_SECONDS = 0.15
# An upstream's entry lapses after three of its heartbeats, 4.5 s; a new life
# registers within seconds.
WORD_SECONDS = 6.0
LOOK_SECONDS = 0.25

Probe = Callable[[str, int], Awaitable[ProbeOutcome]]


@dataclass(slots=True)
class _Case:
    """Requests that one life had when an exchange with it broke.

    Attributes:
        upstream: The life.
        requests: Digests of the requests.
        is_likely: Whether it has probably ended, as far as is known.
        is_proved: Whether that is proved.
    """

    upstream: Upstream
    requests: set[str] = field(default_factory=set)
    is_likely: bool = True
    is_proved: bool = False


class Witness:
    """Follows broken exchanges up; owns the tasks that do."""

    def __init__(
        self,
        suspects: SuspectTable,
        newest: Callable[[str], UpstreamEntry | None],
        ask: Probe = probe,
    ) -> None:
        """Prepare without a case.

        Args:
            suspects: Where proofs go.
            newest: Returns the entry of the newest life of a name, if it is
                registered.
            ask: Finds out whether anything listens at an address.
        """
        self.suspects = suspects
        self._newest = newest
        self._probe = ask
        self._cases: dict[str, _Case] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_idle(self) -> bool:
        """Whether nothing at all is suspected, so that no request is."""
        return not (self._cases or self.suspects.records)

    def note_broken(
        self,
        request: str,
        upstream: Upstream,
        *,
        is_forgotten: bool,
    ) -> None:
        """Note that an exchange ended without an answer.

        Args:
            request: The request's digest.
            upstream: Who had it.
            is_forgotten: Whether its connection may have been forgotten while
                it rested.
        """
        if not upstream.takes_work:
            # It is leaving, or has left: its end is planned.
            return
        life = upstream.life
        case = self._cases.get(life)
        if case is not None:
            case.requests.add(request)
            case.is_likely = case.is_likely or not is_forgotten
            if case.is_proved:
                self.suspects.note_ended((request,), life)
            return
        self._cases[life] = _Case(upstream, {request}, not is_forgotten)
        task = asyncio.ensure_future(self._follow_up(self._cases[life]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count(self, request: str) -> int:
        """Return lives that count against a request, likely ones included."""
        open_cases = sum(
            1
            for case in self._cases.values()
            if request in case.requests
            and case.is_likely
            and not case.is_proved
        )
        return open_cases + self.suspects.count(request)

    def is_suspect(self, request: str) -> bool:
        """Return whether a request is to be sent once only, without a hedge."""
        return self.count(request) >= SUSPECT_FROM

    def close(self) -> None:
        """End all tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _follow_up(self, case: _Case) -> None:
        life = case.upstream.life
        try:
            if await self._has_ended(case):
                self._prove(case)
                # Exchanges of the same end may be noticed later.
                await asyncio.sleep(WORD_SECONDS)
        finally:
            self._cases.pop(life, None)

    async def _has_ended(self, case: _Case) -> bool:
        upstream = case.upstream
        outcome = await self._asked(upstream)
        if outcome is ProbeOutcome.refused:
            return True
        case.is_likely = False
        loop = asyncio.get_running_loop()
        end = loop.time() + WORD_SECONDS
        while loop.time() < end:
            if self._is_told(upstream, outcome):
                return True
            await asyncio.sleep(LOOK_SECONDS)
        return False

    async def _asked(self, upstream: Upstream) -> ProbeOutcome:
        entry = upstream.entry
        outcome = ProbeOutcome.unknown
        for number in range(PROBES):
            if number:
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
            outcome = await self._probe(entry.host, entry.port)
            if outcome is not ProbeOutcome.refused:
                return outcome
        return outcome

    def _is_told(self, upstream: Upstream, outcome: ProbeOutcome) -> bool:
        """Return whether others say that this life has ended.

        An entry that goes while something listens tells nothing: its upstream
        may leave without a word and serve on.
        """
        if upstream.has_ended:
            return True
        newest = self._newest(upstream.name)
        if newest is not None:
            return newest.born > upstream.entry.born
        return outcome is ProbeOutcome.unknown and upstream.gone_at is not None

    def _prove(self, case: _Case) -> None:
        case.is_proved = True
        log_event(
            'upstream-ended',
            upstream=case.upstream.name,
            born=case.upstream.entry.born,
            contents=','.join(sorted(case.requests)),
        )
        self.suspects.note_ended(case.requests, case.upstream.life)
