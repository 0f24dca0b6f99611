"""Which hosts of an availability zone speak for it to other zones.

Inside a zone every host sends its heartbeat to every other; between zones only
the relays do. So what a host sends grows with its zone, not with the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from wardstair.decisions.membership import RELAYS_PER_ZONE, rendezvous


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A host that could be a relay of its zone.

    Attributes:
        name: Its name.
        hears_store: Whether it is in contact with the platform's store.
    """

    name: str
    hears_store: bool


def choose_relays(
    candidates: Iterable[RelayCandidate],
    zone: str,
) -> tuple[str, ...]:
    """Choose the relays of a zone, the same on all hosts that ask.

    Args:
        candidates: Live hosts of the zone that are not leaving.
        zone: The availability zone.

    Returns:
        Names; hosts in contact with the store come before all others, since a
        relay without it has nothing to tell that the zone does not know.
    """
    hosts = {host.name: host.hears_store for host in candidates}
    ranked = rendezvous(hosts, f'relay {zone}', len(hosts))
    ranked.sort(key=lambda name: not hosts[name])
    return tuple(ranked[:RELAYS_PER_ZONE])
