"""How much of a zone's work stays in the zone, its region, or goes far.

Bytes between zones and regions are paid for, so work should stay near as far
as the upstreams there carry it. Upstreams are not spread like the callers: a
region with a third of the callers may have a twelfth of the upstreams. Without
knowing the load of others, each zone is taken to have the same demand; what its
own upstreams do not carry goes where there is room to spare.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Levels:
    """Parts of a zone's work by how far it goes; the rest goes far.

    Attributes:
        zone: Part that stays in the zone.
        region: Part that goes to other zones of the region.
    """

    zone: float
    region: float


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of one service by availability zone.

    Attributes:
        slots: Slots by zone; zones without any may be left out.
        regions: Region of each zone that has callers.
    """

    slots: Mapping[str, int]
    regions: Mapping[str, str]

    def relative(self, zone: str) -> float:
        """Return a zone's slots beside what an equal demand would need."""
        total = sum(self.slots.values())
        if not total:
            return 0.0
        return self.slots.get(zone, 0) * len(self.regions) / total


def levels_of(capacity: Capacity, zone: str, headroom: float) -> Levels:
    """Return how much of a zone's work stays near.

    Args:
        capacity: Slots of the service.
        zone: The zone whose work is divided.
        headroom: Load that the upstreams nearby may have beside the mean of
            all; above 1 keeps more work near.
    """
    own = min(1.0, capacity.relative(zone) * headroom)
    region = capacity.regions.get(zone)
    members = [one for one, of in capacity.regions.items() if of == region]
    around = sum(capacity.relative(one) for one in members)
    kept = min(1.0, around * headroom / max(len(members), 1))
    return Levels(own, max(0.0, kept - own))


def spare_share(capacity: Capacity, zone: str, headroom: float) -> float:
    """Return the part of a zone's slots that work from afar may use.

    Args:
        capacity: Slots of the service.
        zone: The zone that would take the work.
        headroom: As above.
    """
    relative = capacity.relative(zone)
    if not relative:
        return 0.0
    kept = levels_of(capacity, zone, headroom).zone
    return max(0.0, relative - kept) / relative
