"""What callers and upstreams observed, and checks of the guarantees."""

import time
from dataclasses import dataclass, field
from enum import StrEnum

from soak.cuts import CutOff
from soak.endless import check_memory
from soak.notices import Arrival, Departure, Leaving, Pausing, Removed

# Requests per second that a cold upstream may receive: the rate of 4, plus half
# of it, plus 2. Hosts that comply send half of that, and few callers suffice to
# exceed it.
COLD_RATE = 4.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 2.0
MOST_COLD = int(COLD_RATE * COLD_OVERSHOOT + COLD_SLACK)
# Name of the fault in which a caller sends a harmful request.
HARM = 'send_harmful'
# After a request has terminated ENDED_BEFORE upstreams, it may terminate at
# most MOST_ENDED_LATE more once PROPAGATION_SECONDS, the default contact time
# of gateways, have passed.
PROPAGATION_SECONDS = 4.0
ENDED_BEFORE = 3
MOST_ENDED_LATE = 3
# Name of the fault in which an upstream sends answers without an end.
ENDLESS = 'answer_endlessly'
# Name of the fault in which an upstream announces a rate limit, and the
# requests that it tolerates: in any window of 4 s, one and a half times the
# limit plus 5 requests, from 4 s after the first announcement. Requests from
# hosts that have just started count as well.
LIMIT = 'name_limit'
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5
LIMIT_SECONDS = 4.0
# Statuses that report to the caller that its request has not run.
PROMISES = frozenset((408, 421, 429, 503))


class Kind(StrEnum):
    """How a request may be run."""

    safe = 'safe'
    once = 'once'
    # Safe as well, and split among services by weight.
    divided = 'divided'
    # Only shows which configuration version is in force.
    probe = 'probe'


@dataclass
class Run:
    """An execution of a request by an upstream."""

    upstream: str
    at: float
    service: str = ''
    is_faulted: bool = False


@dataclass(frozen=True)
class ColdArrival:
    """A request that arrived at an upstream while it was cold."""

    sent_at: float
    at: float


@dataclass
class Try:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: How it may be run.
        gateway: Name of the gateway process that it was sent to.
        sent_at: Monotonic time at which it was recorded, just before sending.
        ended_at: Monotonic time at which its answer was complete or its
            connection closed.
        status: Status of its answer; 0 if the connection closed without one,
            -1 if the caller got no outcome.
        body: Body of its answer.
        runs: Its executions by upstreams.
        is_overdue: Whether the caller waited beyond the request's deadline.
    """

    request_id: str
    kind: Kind
    gateway: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = -1
    body: str = ''
    runs: list[Run] = field(default_factory=list)
    is_overdue: bool = False

    @property
    def upstream(self) -> str:
        """Name of the upstream whose answer the caller got."""
        return self.body.partition(' ')[-1]


@dataclass
class Span:
    """A period in which a fault was active."""

    name: str
    begin: float
    end: float = float('inf')


@dataclass
class Naming:
    """A period in which an upstream announces a rate limit.

    Attributes:
        upstream: Its name.
        rate: Requests per second.
        begin: Monotonic time of the first announcement.
        came: Monotonic times at which requests arrived since.
    """

    upstream: str
    rate: float
    begin: float = field(default_factory=time.monotonic)
    came: list[float] = field(default_factory=list)

    @property
    def borne(self) -> float:
        """Requests that it tolerates in a window."""
        return self.rate * LIMIT_OVERSHOOT * LIMIT_SECONDS + LIMIT_SLACK


@dataclass
class Ledger:
    """All requests of a play, and the faults during it.

    Attributes:
        tries: Requests by id.
        unknown: Ids of requests that an upstream ran but no caller sent.
        broken: Violations found while the play runs.
        spans: Periods in which faults were active.
        cuts: Periods in which hosts reach no upstream.
        stopped: Names of gateway processes that got a planned stop.
        cold: Arrivals at each upstream while it was cold.
        ended: Monotonic times at which upstreams exited, by harmful request.
        named: Rate limits that upstreams announced.
        notices: Notices that upstreams sent.
        resident: Peak resident bytes of gateways, by name of the process.
        put_at: Monotonic times at which versions were written, and these.
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
    notices: list[Leaving | Pausing | Departure | Removed] = field(
        default_factory=list,
    )

    resident: dict[str, int] = field(default_factory=dict)
    put_at: list[tuple[float, int]] = field(default_factory=list)

    def begin(self, request_id: str, kind: Kind, gateway: str) -> Try:
        """Record a request that is about to be sent."""
        made = Try(request_id, kind, gateway, sent_at=time.monotonic())
        self.tries[request_id] = made
        return made

    def arrival(self, request_id: str) -> Arrival | None:
        """Return an arrival of a request now, or None if no caller sent it."""
        known = self.tries.get(request_id)
        return None if known is None else Arrival(known, time.monotonic())

    def note_cold(self, request_id: str, upstream: str) -> None:
        """Record that a request arrived at a cold upstream."""
        known = self.tries.get(request_id)
        if known is not None:
            came = ColdArrival(known.sent_at, time.monotonic())
            self.cold.setdefault(upstream, []).append(came)

    def note_end_under(self, line: str) -> None:
        """Record that an upstream exits because of a harmful request."""
        self.ended.setdefault(line, []).append(time.monotonic())

    def note_run(
        self,
        request_id: str,
        upstream: str,
        service: str = '',
    ) -> Run | None:
        """Record that an upstream has started to run a request."""
        known = self.tries.get(request_id)
        if known is None:
            self.unknown.append(request_id)
            return None
        run = Run(upstream, time.monotonic(), service)
        known.runs.append(run)
        return run

    def fault(self, name: str) -> Span:
        """Record the start of a fault."""
        span = Span(name, time.monotonic())
        self.spans.append(span)
        return span

    def check(self) -> list[str]:
        """Return a description of each violated guarantee."""
        found = list(self.broken)
        found.extend(
            f'ran without having been sent by a caller: {name}'
            for name in self.unknown
        )
        found.extend(self._check_cold())
        found.extend(self._check_ended())
        found.extend(self._check_limits())
        found.extend(check_memory(self.resident))
        found.extend(self._check_overdue())
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
        """Return a description of the utilization of each rate limit."""
        return [
            f'{one.upstream} named {one.rate}: {self._max_arrivals(one)} of '
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
            known_at = sorted(times)[:ENDED_BEFORE][-1] + PROPAGATION_SECONDS
            late = [
                at
                for at in times
                if at > known_at and self._is_undisturbed(at, HARM)
            ]
            if len(late) > MOST_ENDED_LATE:
                found.append(
                    f'{len(late)} upstreams ended too late under {line}, '
                    f'{len(times)} in all',
                )
        return found

    def _check_overdue(self) -> list[str]:
        return [
            f'got no answer within its time: {one}'
            for one in self.tries.values()
            if one.is_overdue and self._is_undisturbed(one.ended_at, ENDLESS)
        ]

    def _check_limits(self) -> list[str]:
        return [
            f'{most} requests in {LIMIT_SECONDS} s came to '
            f'{one.upstream}, which had named {one.rate}'
            for one in self.named
            if (most := self._max_arrivals(one)) > one.borne
        ]

    def _max_arrivals(self, naming: Naming) -> int:
        """Return the most arrivals in any window in which a limit applied."""
        counts = [
            sum(1 for at in naming.came if first <= at < first + LIMIT_SECONDS)
            for first in naming.came
            if first >= naming.begin + PROPAGATION_SECONDS
            and self._is_undisturbed(first, LIMIT)
            and self._is_undisturbed(first + LIMIT_SECONDS, LIMIT)
        ]
        return max(counts, default=0)

    def _is_undisturbed(self, at: float, ignored_fault: str) -> bool:
        """Return whether no other fault kept hosts from being up to date."""
        return not any(
            span.begin < at and span.end > at - PROPAGATION_SECONDS
            for span in self.spans
            if span.name != ignored_fault
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
    """Count requests that were both sent and received within a second.

    Requests that were sent earlier and delayed on the path don't show the rate
    of the senders.
    """
    return sum(1 for one in came if begin <= one.sent_at and one.at < begin + 1)


def _check_try(one: Try) -> list[str]:
    found = []
    if one.kind is Kind.once and len(one.runs) > 1:
        found.append(f'ran {len(one.runs)} times: {one}')
    # A safe request may have run at one upstream before another rejected it.
    if one.status in PROMISES and one.kind is Kind.once and one.runs:
        found.append(f'told that it has not run, but it has: {one}')
    if one.status == 200:
        request_id = one.body.partition(' ')[0]
        ran_at = {run.upstream for run in one.runs}
        if request_id != one.request_id or one.upstream not in ran_at:
            found.append(f'got an answer that is not its own: {one}')
    return found
