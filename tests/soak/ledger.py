"""What callers and upstreams saw, and whether the promises were kept."""

import time
from dataclasses import dataclass, field
from enum import StrEnum

from soak.cuts import CutOff
from soak.notices import Arrival, Departure, Leaving, Pausing

# Requests that a cold upstream bears in a second: four, by half more, and two.
# Hosts that keep to it send half of that; few callers are enough to exceed it.
COLD_RATE = 4.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 2.0
MOST_COLD = int(COLD_RATE * COLD_OVERSHOOT + COLD_SLACK)
# Name of the fault by which a caller sends such a request.
HARM = 'send_harmful'
# A request that has ended three upstreams may end three more later than this,
# which is the time of contact that gateways take when nothing else is said.
KNOWN_SECONDS = 4.0
ENDED_BEFORE = 3
MOST_ENDED_LATE = 3
# Name of the fault by which an upstream names a limit, and what it bears of it:
# half more than it names and five requests in any four seconds, from four
# seconds after it first named it, also by what hosts do that were just started.
LIMIT = 'name_limit'
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
LIMIT_SECONDS = 4.0
# Statuses by which a caller is told that its request has not run.
PROMISES = frozenset((408, 421, 429, 503))


class Kind(StrEnum):
    """What a request may bear."""

    safe = 'safe'
    once = 'once'
    # Safe as well, and divided among services by weight.
    divided = 'divided'
    # A request that only tells which version is in force.
    probe = 'probe'


@dataclass
class Run:
    """A run of a request at an upstream."""

    upstream: str
    at: float
    service: str = ''
    is_faulted: bool = False


@dataclass(frozen=True)
class ColdArrival:
    """A request that came to an upstream while it was cold."""

    sent_at: float
    at: float


@dataclass
class Try:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: What it may bear.
        gateway: Name of the gateway's life that it was sent to.
        sent_at: When it had been sent whole.
        ended_at: When its answer had come, or its connection ended.
        status: Status of its answer; 0 if there was none.
        body: Body of its answer.
        runs: Its runs.
    """

    request_id: str
    kind: Kind
    gateway: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = -1
    body: str = ''
    runs: list[Run] = field(default_factory=list)


@dataclass
class Span:
    """A time in which something was at fault."""

    name: str
    begin: float
    end: float = float('inf')


@dataclass
class Naming:
    """A time in which an upstream names a limit.

    Attributes:
        upstream: Its name.
        rate: Requests a second.
        begin: When it first did.
        came: When requests came since.
    """

    upstream: str
    rate: float
    begin: float = field(default_factory=time.monotonic)
    came: list[float] = field(default_factory=list)

    @property
    def borne(self) -> float:
        """Requests that it bears in a window."""
        return self.rate * LIMIT_OVERSHOOT * LIMIT_SECONDS + LIMIT_SLACK


@dataclass
class Ledger:
    """All tries of a play, and what was at fault meanwhile.

    Attributes:
        tries: By id.
        unknown: Ids that upstreams ran and no caller sent.
        broken: Promises found broken while the play runs.
        spans: Times of faults.
        cuts: Times in which hosts reach no upstream.
        stopped: Lives of gateways that were asked to stop and nothing else.
        cold: What came to each upstream while it was cold.
        ended: When upstreams ended under each harmful request.
        named: Limits that upstreams named.
        notices: Upstreams that said what they take.
    """

    tries: dict[str, Try] = field(default_factory=dict)
    unknown: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    cuts: list[CutOff] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    cold: dict[str, list[ColdArrival]] = field(default_factory=dict)
    ended: dict[str, list[float]] = field(default_factory=dict)
    named: list[Naming] = field(default_factory=list)
    notices: list[Leaving | Pausing | Departure] = field(default_factory=list)

    def begin(self, request_id: str, kind: Kind, gateway: str) -> Try:
        """Note a request that is about to be sent."""
        made = Try(request_id, kind, gateway, sent_at=time.monotonic())
        self.tries[request_id] = made
        return made

    def arrival(self, request_id: str) -> Arrival | None:
        """Return the arrival of a request now; None if no caller sent it."""
        known = self.tries.get(request_id)
        return None if known is None else Arrival(known, time.monotonic())

    def note_cold(self, request_id: str, upstream: str) -> None:
        """Note that a request has come to a cold upstream."""
        known = self.tries.get(request_id)
        if known is not None:
            came = ColdArrival(known.sent_at, time.monotonic())
            self.cold.setdefault(upstream, []).append(came)

    def note_end_under(self, line: str) -> None:
        """Note that an upstream ends under a harmful request."""
        self.ended.setdefault(line, []).append(time.monotonic())

    def note_run(
        self,
        request_id: str,
        upstream: str,
        service: str = '',
    ) -> Run | None:
        """Note that an upstream has begun to work on a request."""
        known = self.tries.get(request_id)
        if known is None:
            self.unknown.append(request_id)
            return None
        run = Run(upstream, time.monotonic(), service)
        known.runs.append(run)
        return run

    def fault(self, name: str) -> Span:
        """Note that a fault begins."""
        span = Span(name, time.monotonic())
        self.spans.append(span)
        return span

    def check(self) -> list[str]:
        """Return the promises that were broken, in words."""
        found = list(self.broken)
        found.extend(f'ran unasked: {name}' for name in self.unknown)
        found.extend(self._check_cold())
        found.extend(self._check_ended())
        found.extend(self._check_limits())
        for notice in self.notices:
            found.extend(notice.check(self.spans))
        callers = [
            one for one in self.tries.values() if one.kind is not Kind.probe
        ]
        for cut in self.cuts:
            found.extend(cut.check(callers))
        for one in self.tries.values():
            found.extend(_check_try(one))
            if self._is_cut_by_stop(one):
                found.append(f'cut by a planned stop: {one}')
        return found

    def tell_limits(self) -> list[str]:
        """Return how near each limit was to being exceeded, in words."""
        return [
            f'{one.upstream} named {one.rate}: {self._most_of(one)} of '
            f'{len(one.came)} in {LIMIT_SECONDS} s where {one.borne} are borne'
            for one in self.named
        ]

    def _check_cold(self) -> list[str]:
        found = []
        for name, came in self.cold.items():
            most = max(_in_second(came, one.sent_at) for one in came)
            if most > MOST_COLD:
                found.append(f'{most} requests in a second to cold {name}')
        return found

    def _check_ended(self) -> list[str]:
        found = []
        for line, times in self.ended.items():
            known_at = sorted(times)[:ENDED_BEFORE][-1] + KNOWN_SECONDS
            late = [
                at for at in times if at > known_at and self._is_calm(at, HARM)
            ]
            if len(late) > MOST_ENDED_LATE:
                found.append(
                    f'{len(late)} upstreams ended too late under {line}, '
                    f'{len(times)} in all',
                )
        return found

    def _check_limits(self) -> list[str]:
        return [
            f'{most} requests in {LIMIT_SECONDS} s came to '
            f'{one.upstream}, which had named {one.rate}'
            for one in self.named
            if (most := self._most_of(one)) > one.borne
        ]

    def _most_of(self, naming: Naming) -> int:
        """Return what came most in a window in which a limit had to hold."""
        counts = [
            sum(1 for at in naming.came if first <= at < first + LIMIT_SECONDS)
            for first in naming.came
            if first >= naming.begin + KNOWN_SECONDS
            and self._is_calm(first, LIMIT)
            and self._is_calm(first + LIMIT_SECONDS, LIMIT)
        ]
        return max(counts, default=0)

    def _is_calm(self, at: float, besides: str) -> bool:
        """Return whether nothing else kept hosts from knowing at a time."""
        return not any(
            span.begin < at and span.end > at - KNOWN_SECONDS
            for span in self.spans
            if span.name != besides
        )

    def _is_cut_by_stop(self, one: Try) -> bool:
        if one.status != 0 or not one.runs or one.gateway not in self.stopped:
            return False
        if any(run.is_faulted for run in one.runs):
            return False
        return not any(
            span.begin < one.ended_at and span.end > one.sent_at
            for span in self.spans
        )


def _in_second(came: list[ColdArrival], begin: float) -> int:
    """Count what was sent and came within a second.

    What was sent before and held up on the way says nothing of the senders.
    """
    return sum(1 for one in came if begin <= one.sent_at and one.at < begin + 1)


def _check_try(one: Try) -> list[str]:
    found = []
    if one.kind is Kind.once and len(one.runs) > 1:
        found.append(f'ran {len(one.runs)} times: {one}')
    # A safe request may have run at an upstream before another turned it away.
    if one.status in PROMISES and one.kind is Kind.once and one.runs:
        found.append(f'told that it has not run, but it has: {one}')
    if one.status == 200:
        request_id, _, upstream = one.body.partition(' ')
        ran_at = {run.upstream for run in one.runs}
        if request_id != one.request_id or upstream not in ran_at:
            found.append(f'got an answer that is not its own: {one}')
    return found
