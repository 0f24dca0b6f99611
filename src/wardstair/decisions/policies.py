"""Steering policies: to which zones the requests of a workload go.

A policy is a pure function from an aged view of the zones to weights. It
proposes only: slots, caps and grants stand outside it, so no policy, however
wrong, can pass them. To add one: a data class here, a case in `weigh`, and
its kind in the configuration's policy model.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

FRESH_SECONDS = 10.0
LEAST_FREE = 1


@dataclass(frozen=True)
class ZoneView:
    """A zone as one host sees it for one workload.

    Attributes:
        zone: Its name.
        delay: One-way delay to it in milliseconds; 0 for one's own.
        slots: Slots of its upstreams.
        free: Slots that it last reported free.
        age: Age of that report in seconds.
    """

    zone: str
    delay: float
    slots: int
    free: int
    age: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the zone has room by a report fresh enough to act on."""
        return self.free >= LEAST_FREE and self.age <= FRESH_SECONDS

    @property
    def used_share(self) -> float:
        """Share of its slots in use, 1.0 if it has none."""
        return 1 - self.free / self.slots if self.slots else 1.0


@dataclass(frozen=True)
class Nearest:
    """The nearest zone, spilling over as it fills.

    Attributes:
        spill_at: Used share above which part of the requests goes on to the
            next zone; the part grows to all of them when it is full.
    """

    spill_at: float = 0.8


@dataclass(frozen=True)
class Weighted:
    """Zones by fixed weights, such as a share for each.

    Attributes:
        weights: Weight of each zone by name; unnamed ones have none.
    """

    weights: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class LeastInFlight:
    """The zone with the smaller used share of two drawn at random."""


@dataclass(frozen=True)
class HeadroomFirst:
    """Zones in proportion to their free slots, wherever they are."""


Policy = Nearest | Weighted | LeastInFlight | HeadroomFirst


@dataclass(frozen=True)
class ZoneWeight:
    """How much of the requests a zone should get; any positive scale."""

    zone: str
    weight: float


def weigh(policy: Policy, zones: Sequence[ZoneView]) -> list[ZoneWeight]:
    """Return the weights of the zones that may get requests.

    Args:
        policy: The policy.
        zones: All zones, this host's own included.
    """
    usable = [zone for zone in zones if zone.is_open]
    match policy:
        case Nearest(spill_at=spill_at):
            return _spill(sorted(usable, key=_by_delay), spill_at)
        case Weighted(weights=weights):
            return [
                ZoneWeight(zone.zone, weights[zone.zone])
                for zone in usable
                if weights.get(zone.zone, 0) > 0
            ]
        case LeastInFlight():
            return _pairwise(usable)
        case HeadroomFirst():
            return [ZoneWeight(zone.zone, zone.free) for zone in usable]


def draw(weights: Sequence[ZoneWeight], random: Random) -> str | None:
    """Draw a zone by weight, or return None if there is none."""
    if not weights:
        return None
    chosen = random.choices(
        [one.zone for one in weights],
        [one.weight for one in weights],
    )
    return chosen[0]


def _by_delay(zone: ZoneView) -> tuple[float, str]:
    return zone.delay, zone.zone


def _spill(zones: Sequence[ZoneView], spill_at: float) -> list[ZoneWeight]:
    weights = []
    rest = 1.0
    for zone in zones:
        over = max(zone.used_share - spill_at, 0)
        spilled = over / max(1 - spill_at, 1e-9)
        kept = rest * (1 - min(spilled, 1))
        if kept > 0:
            weights.append(ZoneWeight(zone.zone, kept))
        rest -= kept
        if rest <= 0:
            break
    if zones and not weights:
        return [ZoneWeight(zones[0].zone, 1)]
    return weights


def _pairwise(zones: Sequence[ZoneView]) -> list[ZoneWeight]:
    # Drawing two of n and keeping the better gives the zone of rank r (0 is
    # best) the chance (n - r - 1) / (n choose 2); one zone gets all.
    ranked = sorted(zones, key=lambda zone: (zone.used_share, zone.zone))
    if len(ranked) == 1:
        return [ZoneWeight(ranked[0].zone, 1)]
    last = len(ranked) - 1
    return [
        ZoneWeight(zone.zone, last - rank)
        for rank, zone in enumerate(ranked)
        if rank < last
    ]
