"""Steering policies: how the requests of a workload are split among zones.

A policy is a pure function from possibly outdated views of the zones to
weights. Slots, caps and grants are enforced elsewhere, so even a faulty policy
cannot exceed them. To add a policy, add a data class here, a case in `weigh`,
and its kind in the policy model of the configuration.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

FRESH_SECONDS = 10.0
MIN_FREE = 1


@dataclass(frozen=True)
class ZoneView:
    """A zone as one host sees it for one workload.

    Attributes:
        zone: Name of the zone.
        delay: One-way network delay in milliseconds; 0 for the host's zone.
        slots: Total slots of its upstreams.
        free: Free slots in its last report.
        age: Age of that report in seconds.
    """

    zone: str
    delay: float
    slots: int
    free: int
    age: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a recent report of the zone shows free slots."""
        return self.free >= MIN_FREE and self.age <= FRESH_SECONDS

    @property
    def used_share(self) -> float:
        """Share of its slots that are in use; 1.0 if it has no slots."""
        return 1 - self.free / self.slots if self.slots else 1.0


@dataclass(frozen=True)
class Nearest:
    """The nearest zone, with spillover to the next ones as it fills.

    Attributes:
        spill_at: Used share above which some requests spill over to the next
            zone; the spilled part grows to all requests when the zone is full.
    """

    spill_at: float = 0.8


@dataclass(frozen=True)
class Weighted:
    """Zones by fixed weights.

    Attributes:
        weights: Weight of each zone by name; zones without a weight get no
            requests.
    """

    weights: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class LeastInFlight:
    """The zone with the lower used share of two chosen at random."""


@dataclass(frozen=True)
class HeadroomFirst:
    """Zones in proportion to their free slots, regardless of distance."""


Policy = Nearest | Weighted | LeastInFlight | HeadroomFirst


@dataclass(frozen=True)
class ZoneWeight:
    """Relative share of requests for a zone; weights have no fixed scale."""

    zone: str
    weight: float


def weigh(policy: Policy, zones: Sequence[ZoneView]) -> list[ZoneWeight]:
    """Return the weights of the zones that may get requests.

    Args:
        policy: The policy.
        zones: All zones, including that of this host.
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
    """Choose a zone at random by weight; return None if there is none."""
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
    # If the better of two zones out of n is chosen, the zone of rank r (0 is
    # best) has the probability (n - r - 1) / (n choose 2).
    ranked = sorted(zones, key=lambda zone: (zone.used_share, zone.zone))
    if len(ranked) == 1:
        return [ZoneWeight(ranked[0].zone, 1)]
    last = len(ranked) - 1
    return [
        ZoneWeight(zone.zone, last - rank)
        for rank, zone in enumerate(ranked)
        if rank < last
    ]
