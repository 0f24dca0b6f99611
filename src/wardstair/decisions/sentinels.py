"""Choice of the sentinels, the entry hosts that watch the store for the others.

Calls to the store are billed, so few hosts watch all objects at short
intervals, and the other hosts learn of changes from their heartbeats.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wardstair.decisions.membership import rendezvous

# The second one covers the first until a failure of that is detected.
SENTINELS = 2


@dataclass(frozen=True, slots=True)
class SentinelCandidate:
    """A host that may become a sentinel.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
    """

    name: str
    zone: str


def choose_sentinels(
    hosts: Iterable[SentinelCandidate],
    regions: Mapping[str, str],
) -> tuple[str, ...]:
    """Choose the sentinels, with the same result on every host.

    Args:
        hosts: Live hosts in contact with the store.
        regions: Region of each zone. Sentinels are chosen from different
            regions if there are several, since a whole region may be lost.
    """
    zones = {host.name: host.zone for host in hosts}
    ranked = rendezvous(zones, 'sentinel', len(zones))
    chosen: list[str] = []
    covered: set[str | None] = set()
    for name in ranked:
        region = regions.get(zones[name])
        if region not in covered:
            covered.add(region)
            chosen.append(name)
    chosen.extend(name for name in ranked if name not in chosen)
    return tuple(chosen[:SENTINELS])
