"""Which entry hosts watch the store closely for all the others.

Each call on the store is paid for, so a few hosts follow everything at short
intervals and the rest learn from their heartbeats that something is new.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wardstair.decisions.membership import rendezvous

# The second one covers the first while it fails unnoticed.
SENTINELS = 2


@dataclass(frozen=True, slots=True)
class SentinelCandidate:
    """A host that could watch the store.

    Attributes:
        name: Its name.
        zone: Its availability zone.
    """

    name: str
    zone: str


def choose_sentinels(
    hosts: Iterable[SentinelCandidate],
    regions: Mapping[str, str],
) -> tuple[str, ...]:
    """Choose the hosts that watch closely, the same on all that ask.

    Args:
        hosts: Live hosts in contact with the store.
        regions: Region of each zone; the chosen are of different regions if
            there are several, since a region may be lost as a whole.
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
