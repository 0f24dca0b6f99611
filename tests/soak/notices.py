"""Notices that upstreams give in answers, and whether gateways heeded them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wardstair.gateway.settings import Bounds

if TYPE_CHECKING:
    from soak.ledger import Span, Try

# What gateways take when nothing else is said.
DRAIN_SECONDS = Bounds().drain_seconds
# What gateways are held to where connections fall silent.
NEWS_BOUNDS = Bounds(
    drain_seconds=2.5,
    apply_seconds=2.5,
    evacuate_seconds=2.5,
    contact_seconds=3.0,
)
# What may come during a pause, from this long after it was asked for.
MOST_IN_PAUSE = 2
SLACK_SECONDS = 0.5
# Faults that excuse a gateway, by name; its restart is another life.
FREEZE = frozenset(('pause_gateway',))
CUTS = FREEZE | {'cut_upstream'}


@dataclass(frozen=True)
class Arrival:
    """A request that came to an upstream which gives a notice.

    Attributes:
        request: The caller's try.
        at: When it came.
    """

    request: 'Try'
    at: float


@dataclass
class Leaving:
    """One life of an upstream that announces its end in its answers.

    Attributes:
        upstream: Its name.
        came: What came since it first said so.
        answered: Tries that it has answered so.
    """

    upstream: str
    came: list[Arrival] = field(default_factory=list)
    answered: list['Try'] = field(default_factory=list)

    def check(self, spans: list['Span']) -> list[str]:
        """Return requests that came too late after a notice, in words."""
        told: dict[str, float] = {}
        for one in self.answered:
            if one.status == 200:
                known = told.get(one.gateway, one.ended_at)
                told[one.gateway] = min(known, one.ended_at)
        return [
            f'{arrival.request} came to {self.upstream} {late:.2f} s after it '
            'had said that it leaves'
            for arrival in self.came
            if (late := _late(arrival, told)) > DRAIN_SECONDS
            and not _is_excused(arrival.at - late, arrival.at, spans, FREEZE)
        ]


@dataclass
class Pausing:
    """A time in which an upstream rejects all and asks for a pause.

    Attributes:
        upstream: Its name.
        seconds: How long a pause it asks for.
        came: What came since, also after it takes requests again.
        rejected: What it turned away.
        is_rejecting: Whether it still does so.
    """

    upstream: str
    seconds: float
    came: list[Arrival] = field(default_factory=list)
    rejected: list[Arrival] = field(default_factory=list)
    is_rejecting: bool = True

    def check(self, spans: list['Span']) -> list[str]:
        """Return how often gateways sent more than a pause bears, in words."""
        most: dict[str, int] = {}
        for asked in self.rejected:
            begin = asked.at + SLACK_SECONDS
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
    """An upstream that drains by its entry while connections fall silent.

    Attributes:
        upstream: Its name.
        silenced_at: When open connections to the store fell silent.
        written_at: When its entry said that it drains.
        came: What came since.
    """

    upstream: str
    silenced_at: float
    written_at: float
    came: list[Arrival] = field(default_factory=list)

    def check(self, spans: list['Span']) -> list[str]:
        """Return requests that came too late after the entry, in words."""
        due = max(
            self.written_at + NEWS_BOUNDS.drain_seconds,
            self.silenced_at + NEWS_BOUNDS.contact_seconds,
        )
        return [
            f'{arrival.request} came to {self.upstream} '
            f'{arrival.request.sent_at - self.written_at:.2f} s after its '
            'entry had said that it drains'
            for arrival in self.came
            if arrival.request.sent_at > due
            and not _is_excused(self.silenced_at, arrival.at, spans, FREEZE)
        ]


def _late(arrival: Arrival, told: Mapping[str, float]) -> float:
    """Return how long after the gateway was told a request was sent."""
    request = arrival.request
    return request.sent_at - told.get(request.gateway, request.sent_at)


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
