"""Whether an upstream ended while it had a request.

A broken exchange alone says little: connections break, resting ones are
forgotten, an upstream may lose an answer. An upstream that has ended does not
listen any more, or another life of it says so.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from wardstair.connection.probe import ProbeOutcome, probe
from wardstair.decisions.controls import Placed, control_groups
from wardstair.decisions.suspicion import SUSPECT_FROM
from wardstair.process.log import log_event, log_warning
from wardstair.state.entries import UpstreamEntry
from wardstair.state.suspects import SuspectTable
from wardstair.state.upstream import Upstream

# A live upstream that has too many connections may refuse one, hardly two in
# turn; one that ended was seen to be back after 1.2 s at the earliest.
PROBES = 2
PROBE_PAUSE_SECONDS = 0.15
# How long the word of others is waited for where something listens: only of one
# that was back before it was asked, which registers at once. With the way cut
# it is the end of the entry, whose period is the deployment's.
LISTENING_SECONDS = 2.0
LOOK_SECONDS = 0.25
# Exchanges of one end are noticed within a round trip or two of each other.
SAME_END_SECONDS = 1.0

Probe = Callable[[str, int], Awaitable[ProbeOutcome]]


@dataclass(slots=True)
class _Case:
    """Exchanges with one life that broke.

    Attributes:
        upstream: The life.
        requests: Requests whose exchange broke before the upstream was asked.
        later: Those whose exchange broke since then.
        is_likely: Whether it has refused a connection since. A broken exchange
            alone is no sign: where answers were lost, 40 resends a day that
            would have been answered were withheld for it.
        is_proved: Whether that is proved.
    """

    upstream: Upstream
    requests: set[str] = field(default_factory=set)
    later: set[str] = field(default_factory=set)
    is_likely: bool = False
    is_proved: bool = False

    def counts(self, request: str) -> bool:
        """Return whether it counts against a request beside what is proved."""
        if self.is_proved or not self.is_likely:
            return False
        return request in self.requests or request in self.later

    def begin_again(self) -> None:
        """Leave those that broke while the upstream lived; ask for the rest."""
        self.requests = self.later
        self.later = set()


class ExitDetector:
    """Follows broken exchanges up; owns the tasks that do."""

    def __init__(
        self,
        suspects: SuspectTable,
        newest: Callable[[str], UpstreamEntry | None],
        expiry_seconds: Callable[[], float],
        in_service: Callable[[], Iterable[UpstreamEntry]] = tuple,
        ask: Probe = probe,
    ) -> None:
        """Prepare without a case.

        Args:
            suspects: Where proofs go.
            newest: Returns the entry of the newest life of a name, if it is
                registered.
            expiry_seconds: Returns how long the entry of an upstream that ended
                may stay.
            in_service: Returns the entries of all upstreams that take work.
            ask: Finds out whether anything listens at an address.
        """
        self.suspects = suspects
        self._newest = newest
        self._lapse_seconds = expiry_seconds
        self._in_service = in_service
        self._probe = ask
        self._cases: dict[str, _Case] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_idle(self) -> bool:
        """Whether nothing at all is suspected, so that no request is."""
        return not (self._cases or self.suspects.records)

    def note_broken(self, request: str, upstream: Upstream) -> None:
        """Note that an exchange ended without an answer.

        Args:
            request: The request's digest.
            upstream: Who had it.
        """
        if not upstream.takes_work:
            # It is leaving, or has left: its end is planned.
            return
        life = upstream.life
        case = self._cases.get(life)
        if case is None:
            case = _Case(upstream, {request})
            self._cases[life] = case
            self._start(case)
            return
        case.later.add(request)
        if case.is_proved:
            self.suspects.note_ended((request,), life)

    def count(self, request: str) -> int:
        """Return lives that count against a request, likely ones included."""
        open_cases = sum(case.counts(request) for case in self._cases.values())
        return open_cases + self.suspects.count(request)

    def is_suspect(self, request: str) -> bool:
        """Return whether a request is to be sent once only, without a hedge."""
        return self.count(request) >= SUSPECT_FROM

    def close(self) -> None:
        """End all tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    def _start(self, case: _Case) -> None:
        task = asyncio.ensure_future(self._follow_up(case))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A fault of ours; the next broken exchange begins a new case.
            log_warning('witness-failed', error=repr(task.exception()))

    async def _follow_up(self, case: _Case) -> None:
        try:
            if await self._has_ended(case):
                self._prove(case)
                await asyncio.sleep(SAME_END_SECONDS)
        finally:
            self._cases.pop(case.upstream.life, None)

    async def _has_ended(self, case: _Case) -> bool:
        """Ask after each break until it has ended, or nothing more is said."""
        while case.requests:
            outcome = await self._asked(case)
            is_reached = outcome is ProbeOutcome.listening
            if not is_reached and not await self._reaches_others(
                case.upstream.entry,
            ):
                # The exchange may have broken on a way that is cut.
                return False
            if outcome is ProbeOutcome.refused:
                return True
            case.is_likely = False
            if await self._wait_for_word(case, outcome):
                return True
            case.begin_again()
        return False

    async def _wait_for_word(self, case: _Case, outcome: ProbeOutcome) -> bool:
        """Return whether others say so; False once there is more to ask."""
        loop = asyncio.get_running_loop()
        end = loop.time() + LISTENING_SECONDS
        if outcome is ProbeOutcome.unknown:
            end = loop.time() + self._lapse_seconds()
        while loop.time() < end and not case.later:
            if self._is_told(case.upstream, outcome):
                return True
            await asyncio.sleep(LOOK_SECONDS)
        return False

    async def _asked(self, case: _Case) -> ProbeOutcome:
        entry = case.upstream.entry
        outcome = ProbeOutcome.unknown
        for number in range(PROBES):
            if number:
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
            outcome = await self._probe(entry.host, entry.port)
            if outcome is not ProbeOutcome.refused:
                return outcome
            case.is_likely = True
        return outcome

    async def _reaches_others(self, refused: UpstreamEntry) -> bool:
        """Return whether upstreams near one that refuses are reached."""
        others = {
            entry.name: entry
            for entry in self._in_service()
            if entry.name != refused.name
        }
        groups = control_groups(
            _placed(refused),
            [_placed(entry) for entry in others.values()],
        )
        controls = {name for group in groups for name in group}
        asked = [others[name] for name in controls]
        outcomes = await asyncio.gather(
            *(self._probe(entry.host, entry.port) for entry in asked),
        )
        reached = {
            entry.name
            for entry, outcome in zip(asked, outcomes, strict=True)
            if outcome is ProbeOutcome.listening
        }
        is_reaching = all(reached.intersection(group) for group in groups)
        if not is_reaching:
            log_event(
                'end-not-proved',
                upstream=refused.name,
                asked=','.join(sorted(controls)),
                reached=','.join(sorted(reached)),
            )
        return is_reaching

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
        requests = case.requests | case.later
        log_event(
            'upstream-ended',
            upstream=case.upstream.name,
            born=case.upstream.entry.born,
            contents=','.join(sorted(requests)),
        )
        self.suspects.note_ended(requests, case.upstream.life)


def _placed(entry: UpstreamEntry) -> Placed:
    return Placed(entry.name, entry.service, entry.zone)
