"""Chooses the peer for a request that this host cannot send to an upstream."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from wardstair.decisions.reachability import ALL

# Peers that are drawn at random and compared by load. If all hosts compared
# many peers, they would all choose the same peer.
DRAWN_PEERS = 2


@dataclass(frozen=True, slots=True)
class PeerCandidate:
    """Another entry host to which a request could be forwarded.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        lost: Groups of upstreams that it reports as unreachable.
        is_heard: Whether this host receives its heartbeats. Otherwise another
            host has named it, and its state is unknown.
        is_busy: Whether it reports that it is short of processor time.
        load: Requests per second and processor core.
    """

    name: str
    zone: str
    lost: Collection[str] = ()
    is_heard: bool = True
    is_busy: bool = False
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerRequirements:
    """What a peer must fulfil to take a request.

    Attributes:
        region: Region of this host.
        required_groups: Groups of upstreams that the peer must reach.
        permitted_regions: The only regions that may get the request; empty
            for all.
        tried: Names of hosts that must not be chosen again.
    """

    region: str
    required_groups: frozenset[str]
    permitted_regions: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()


def choose_peer(
    peers: Sequence[PeerCandidate],
    requirements: PeerRequirements,
    regions: Mapping[str, str],
    random: Random,
) -> PeerCandidate | None:
    """Return the peer to which a request is forwarded; None if there is none.

    Prefers peers that are heard, then those that reach all groups, those of
    the same region and those that are not busy. Of two of the best peers drawn
    at random, the one with the lower load is chosen.

    Args:
        peers: All other hosts.
        requirements: What the peer must fulfil.
        regions: Region of each zone.
        random: Source of randomness.
    """
    eligible = [
        peer for peer in peers if _is_eligible(peer, requirements, regions)
    ]
    if not eligible:
        return None

    def preference(peer: PeerCandidate) -> tuple[bool, bool, bool, bool]:
        is_far = regions.get(peer.zone) != requirements.region
        return (not peer.is_heard, bool(peer.lost), is_far, peer.is_busy)

    best_preference = min(map(preference, eligible))
    best = [peer for peer in eligible if preference(peer) == best_preference]
    drawn = random.sample(best, min(DRAWN_PEERS, len(best)))
    return min(drawn, key=lambda peer: peer.load)


def _is_eligible(
    peer: PeerCandidate,
    requirements: PeerRequirements,
    regions: Mapping[str, str],
) -> bool:
    if peer.name in requirements.tried or ALL in peer.lost:
        return False
    if (
        requirements.permitted_regions
        and regions.get(peer.zone) not in requirements.permitted_regions
    ):
        return False
    return not requirements.required_groups.intersection(peer.lost)
