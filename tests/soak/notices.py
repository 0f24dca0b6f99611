"""Notices that upstreams send, and checks that gateways comply with them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wardstair.gateway.settings import Bounds

if TYPE_CHECKING:
    from soak.ledger import Span, Try

# The default of gateways.
DRAIN_SECONDS = Bounds().drain_seconds
# Bounds of gateways in plays that check when the store's entries take effect.
ENTRY_BOUNDS = Bounds(
    drain_seconds=2.5,
    apply_seconds=2.5,
    evacuate_seconds=2.5,
    contact_seconds=3.0,
)
# Requests tolerated per gateway during a pause, counted from MARGIN_SECONDS
# after the upstream asked for it.
MOST_IN_PAUSE = 2
MARGIN_SECONDS = 0.5
# Names of the faults that excuse a gateway. Restarts are not among them, since
# a restarted gateway counts as a new process.
FREEZE = frozenset(('pause_gateway',))
CUTS = FREEZE | {'cut_upstream'}


@dataclass(frozen=True)
class Arrival:
    """A request that arrived at an upstream which has sent a notice.

    Attributes:
        request: The request as the caller sent it.
        at: Monotonic time of arrival.
    """

    request: 'Try'
    at: float


@dataclass
class Leaving:
    """An upstream process that announces in its answers that it is leaving.

    Attributes:
        upstream: Its name.
        came: Arrivals since its first announcement.
        answered: Requests whose answers carried the announcement.
    """

    upstream: str
    came: list[Arrival] = field(default_factory=list)
    answered: list['Try'] = field(default_factory=list)

    def check(self, spans: list['Span']) -> list[str]:
        """Return a description of each request sent too late after a notice.

        A gateway is told by an answer that it passes on. An answer that is lost
        on the way, or comes after that of another upstream, tells it nothing.
        """
        notified_at: dict[str, float] = {}
        for one in self.answered:
            if one.status == 200 and one.upstream == self.upstream:
                known = notified_at.get(one.gateway, one.ended_at)
                notified_at[one.gateway] = min(known, one.ended_at)
        return [
            f'{arrival.request} came to {self.upstream} {late:.2f} s after it '
            'had said that it leaves'
            for arrival in self.came
            if (late := _late(arrival, notified_at)) > DRAIN_SECONDS
            and not _is_excused(arrival.at - late, arrival.at, spans, FREEZE)
        ]


@dataclass
class Pausing:
    """A period in which an upstream rejects all requests and asks for a pause.

    Attributes:
        upstream: Its name.
        seconds: Length of the pause that it asks for.
        came: Arrivals since, including those after it accepts requests again.
        rejected: Arrivals that it rejected.
        is_rejecting: Whether it still rejects requests.
    """

    upstream: str
    seconds: float
    came: list[Arrival] = field(default_factory=list)
    rejected: list[Arrival] = field(default_factory=list)
    is_rejecting: bool = True

    def check(self, spans: list['Span']) -> list[str]:
        """Return a description of each gateway that ignored a pause."""
        most: dict[str, int] = {}
        for asked in self.rejected:
            begin = asked.at + MARGIN_SECONDS
            end = asked.at + self.seconds
            if _is_excused(asked.at, end, spans, CUTS):
                continue
            gateway = asked.request.gateway
            count = sum(
                1
                for one in self.came
                if one.request.gateway == gateway and begin < one.at < end
            )
            most[gateway] = max(count, most.get(gateway, 0))
        return [
            f'{count} requests came from {gateway} to {self.upstream} in its '
            f'pause of {self.seconds:.1f} s'
            for gateway, count in most.items()
            if count > MOST_IN_PAUSE
        ]


@dataclass
class Departure:
    """An upstream whose entry says draining while connections fall silent.

    Attributes:
        upstream: Its name.
        silenced_at: Monotonic time at which open connections to the store
            fell silent.
        written_at: Monotonic time at which the draining entry was written.
        came: Arrivals since.
    """

    upstream: str
    silenced_at: float
    written_at: float
    came: list[Arrival] = field(default_factory=list)

    def check(self, spans: list['Span']) -> list[str]:
        """Return a description of each request sent too late after it."""
        due = max(
            self.written_at + ENTRY_BOUNDS.drain_seconds,
            self.silenced_at + ENTRY_BOUNDS.contact_seconds,
        )
        return [
            f'{arrival.request} came to {self.upstream} '
            f'{arrival.request.sent_at - self.written_at:.2f} s after its '
            'entry had said that it drains'
            for arrival in self.came
            if arrival.request.sent_at > due
            and not _is_excused(self.silenced_at, arrival.at, spans, FREEZE)
        ]


@dataclass
class Removed:
    """An upstream whose entry was removed right after its registration.

    Attributes:
        upstream: Its name.
        removed_at: Monotonic time at which its entry was removed.
        came: Arrivals since.
    """

    upstream: str
    removed_at: float
    came: list[Arrival] = field(default_factory=list)

    def check(self, spans: list['Span']) -> list[str]:
        """Return a description of each request sent too late after it."""
        return [
            f'{arrival.request} came to {self.upstream} {late:.2f} s after its '
            'entry had been removed'
            for arrival in self.came
            if (late := arrival.request.sent_at - self.removed_at)
            > ENTRY_BOUNDS.drain_seconds
            and not _is_excused(self.removed_at, arrival.at, spans, FREEZE)
        ]


def _late(arrival: Arrival, notified_at: Mapping[str, float]) -> float:
    """Return the seconds from the notice to the gateway until a request."""
    request = arrival.request
    return request.sent_at - notified_at.get(request.gateway, request.sent_at)


def _is_excused(
    begin: float,
    end: float,
    spans: list['Span'],
    faults: frozenset[str],
) -> bool:
    return any(
        span.begin < end and span.end > begin
        for span in spans
        if span.name in faults
    )
