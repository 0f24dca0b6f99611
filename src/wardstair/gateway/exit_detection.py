"""Detects whether an upstream process exited while it handled a request.

A broken exchange alone is weak evidence: connections break, idle connections
are dropped, and an upstream may lose an answer. An upstream whose process has
exited refuses connections, or a later incarnation of it is registered.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from wardstair.connection.probe import ProbeOutcome, probe
from wardstair.decisions.comparison_groups import (
    UpstreamLocation,
    find_comparison_groups,
)
from wardstair.decisions.suspicion import SUSPECT_THRESHOLD
from wardstair.process.log import log_event, log_warning
from wardstair.state.entries import UpstreamEntry
from wardstair.state.suspects import SuspectTable
from wardstair.state.upstream import Upstream

# A running upstream with too many connections may refuse one connection but
# hardly two in a row. Upstreams that restarted were back after 1.2 s at the
# earliest, so both probes come before that.
PROBE_COUNT = 2
PROBE_PAUSE_SECONDS = 0.15
# How long to wait for confirmation of an exit while the address accepts
# connections. The only exit possible then is one followed by a restart before
# the probe, and a restarted upstream registers at once. If the network path is
# cut, the wait lasts until the upstream's entry expires, which depends on the
# deployment's heartbeat.
LISTENING_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.25
# Exchanges broken by one exit are noticed within a round trip or two of each
# other.
SAME_EXIT_SECONDS = 1.0

Probe = Callable[[str, int], Awaitable[ProbeOutcome]]


@dataclass(slots=True)
class _ExitCheck:
    """A check of one incarnation whose exchanges broke.

    Attributes:
        upstream: The upstream.
        requests: Requests whose exchange broke before the upstream was probed.
        later: Requests whose exchange broke since then.
        is_likely: Whether the upstream has refused a connection since. A broken
            exchange alone is not counted: when it was, and answers were lost,
            40 resends a day were withheld that would have been answered.
        is_proved: Whether the exit is proved.
    """

    upstream: Upstream
    requests: set[str] = field(default_factory=set)
    later: set[str] = field(default_factory=set)
    is_likely: bool = False
    is_proved: bool = False

    def counts_against(self, request: str) -> bool:
        """Return whether a likely, unproved exit counts against a request."""
        if self.is_proved or not self.is_likely:
            return False
        return request in self.requests or request in self.later

    def start_next_round(self) -> None:
        """Drop the exchanges that broke while the upstream was running.

        The next round of probes concerns those that broke since.
        """
        self.requests = self.later
        self.later = set()


class ExitDetector:
    """Checks after broken exchanges whether the upstream has exited."""

    def __init__(
        self,
        suspects: SuspectTable,
        newest: Callable[[str], UpstreamEntry | None],
        expiry_seconds: Callable[[], float],
        in_service: Callable[[], Iterable[UpstreamEntry]] = tuple,
        probe_address: Probe = probe,
    ) -> None:
        """Create a detector without checks.

        Args:
            suspects: Table that records proved exits.
            newest: Returns the entry of the newest incarnation of an upstream
                by name, or None if it is not registered.
            expiry_seconds: Returns the time until the entry of an upstream that
                exited has expired, in seconds.
            in_service: Returns the entries of all upstreams that take work.
            probe_address: Finds out whether anything listens at an address.
        """
        self.suspects = suspects
        self._newest = newest
        self._expiry_seconds = expiry_seconds
        self._in_service = in_service
        self._probe = probe_address
        self._checks: dict[str, _ExitCheck] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no exit is being checked and no request is on record."""
        return not (self._checks or self.suspects.records)

    def note_broken(self, request: str, upstream: Upstream) -> None:
        """Note that an exchange ended without an answer.

        Args:
            request: The request's digest.
            upstream: The upstream that it was sent to.
        """
        if not upstream.takes_work:
            # It is leaving or has left, so its exit is planned.
            return
        incarnation = upstream.incarnation
        check = self._checks.get(incarnation)
        if check is None:
            check = _ExitCheck(upstream, {request})
            self._checks[incarnation] = check
            self._start(check)
            return
        check.later.add(request)
        if check.is_proved:
            self.suspects.note_ended((request,), incarnation)

    def count(self, request: str) -> int:
        """Return how many exits, proved or likely, count against a request."""
        likely_exits = sum(
            check.counts_against(request) for check in self._checks.values()
        )
        return likely_exits + self.suspects.count(request)

    def is_suspect(self, request: str) -> bool:
        """Return whether a request may be sent only once, without a hedge."""
        return self.count(request) >= SUSPECT_THRESHOLD

    def close(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    def _start(self, check: _ExitCheck) -> None:
        task = asyncio.ensure_future(self._run_check(check))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # An internal error; the next broken exchange starts a new check.
            log_warning('witness-failed', error=repr(task.exception()))

    async def _run_check(self, check: _ExitCheck) -> None:
        try:
            if await self._detect_exit(check):
                self._prove(check)
                await asyncio.sleep(SAME_EXIT_SECONDS)
        finally:
            self._checks.pop(check.upstream.incarnation, None)

    async def _detect_exit(self, check: _ExitCheck) -> bool:
        """Return whether the upstream has exited.

        Probes again as long as further exchanges break.
        """
        while check.requests:
            outcome = await self._probe_upstream(check)
            is_listening = outcome is ProbeOutcome.listening
            if not is_listening and not await self._reaches_comparison_group(
                check.upstream.entry,
            ):
                # The exchange may have broken because the network path is cut.
                return False
            if outcome is ProbeOutcome.refused:
                return True
            check.is_likely = False
            if await self._wait_for_confirmation(check, outcome):
                return True
            check.start_next_round()
        return False

    async def _wait_for_confirmation(
        self, check: _ExitCheck, outcome: ProbeOutcome
    ) -> bool:
        """Wait until the exit is confirmed; stop at the next broken exchange.

        Returns:
            Whether it was confirmed.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + LISTENING_TIMEOUT_SECONDS
        if outcome is ProbeOutcome.unknown:
            end = loop.time() + self._expiry_seconds()
        while loop.time() < end and not check.later:
            if self._is_exit_confirmed(check.upstream, outcome):
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def _probe_upstream(self, check: _ExitCheck) -> ProbeOutcome:
        entry = check.upstream.entry
        outcome = ProbeOutcome.unknown
        for number in range(PROBE_COUNT):
            if number:
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
            outcome = await self._probe(entry.host, entry.port)
            if outcome is not ProbeOutcome.refused:
                return outcome
            check.is_likely = True
        return outcome

    async def _reaches_comparison_group(self, refused: UpstreamEntry) -> bool:
        """Return whether each comparison group of an upstream is reachable."""
        others = {
            entry.name: entry
            for entry in self._in_service()
            if entry.name != refused.name
        }
        groups = find_comparison_groups(
            _location_of(refused),
            [_location_of(entry) for entry in others.values()],
        )
        group_members = {name for group in groups for name in group}
        probed_entries = [others[name] for name in group_members]
        outcomes = await asyncio.gather(
            *(self._probe(entry.host, entry.port) for entry in probed_entries),
        )
        reached = {
            entry.name
            for entry, outcome in zip(probed_entries, outcomes, strict=True)
            if outcome is ProbeOutcome.listening
        }
        is_path_working = all(reached.intersection(group) for group in groups)
        if not is_path_working:
            log_event(
                'end-not-proved',
                upstream=refused.name,
                asked=','.join(sorted(group_members)),
                reached=','.join(sorted(reached)),
            )
        return is_path_working

    def _is_exit_confirmed(
        self, upstream: Upstream, outcome: ProbeOutcome
    ) -> bool:
        """Return whether other sources show that this incarnation has exited.

        The removal of an entry while its address accepts connections proves
        nothing: the upstream may deregister and continue to serve.
        """
        if upstream.has_ended:
            return True
        newest = self._newest(upstream.name)
        if newest is not None:
            return newest.born > upstream.entry.born
        return outcome is ProbeOutcome.unknown and upstream.gone_at is not None

    def _prove(self, check: _ExitCheck) -> None:
        check.is_proved = True
        requests = check.requests | check.later
        log_event(
            'upstream-ended',
            upstream=check.upstream.name,
            born=check.upstream.entry.born,
            contents=','.join(sorted(requests)),
        )
        self.suspects.note_ended(requests, check.upstream.incarnation)


def _location_of(entry: UpstreamEntry) -> UpstreamLocation:
    return UpstreamLocation(entry.name, entry.service, entry.zone)
