"""Choice of the relays, the hosts that represent a zone to other zones.

Inside a zone every host sends its heartbeat to every other host; between zones
only the relays do. The traffic of a host thus grows with its zone, not with the
fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from wardstair.decisions.membership import RELAYS_PER_ZONE, rendezvous


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A host that may become a relay of its zone.

    Attributes:
        name: Name of the host.
        has_store_contact: Whether it is in contact with the platform's store.
    """

    name: str
    has_store_contact: bool


def choose_relays(
    candidates: Iterable[RelayCandidate],
    zone: str,
) -> tuple[str, ...]:
    """Choose the relays of a zone, with the same result on every host.

    Args:
        candidates: Live hosts of the zone that are not leaving.
        zone: The availability zone.

    Returns:
        Names of the relays. Hosts in contact with the store are preferred,
        since a relay without contact has no updates that the zone lacks.
    """
    hosts = {host.name: host.has_store_contact for host in candidates}
    ranked = rendezvous(hosts, f'relay {zone}', len(hosts))
    ranked.sort(key=lambda name: not hosts[name])
    return tuple(ranked[:RELAYS_PER_ZONE])
