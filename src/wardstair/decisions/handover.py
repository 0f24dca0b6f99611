"""Which entry host takes a request that this one cannot send to an upstream."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from wardstair.decisions.reachability import ALL

# Hosts that are compared by load; more would all choose the same one.
COMPARED = 2


@dataclass(frozen=True, slots=True)
class Helper:
    """Another entry host that could take a request.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        lost: Groups of upstreams that it says it does not reach.
        is_heard: Whether its own heartbeats say so; otherwise somebody named
            it, and nothing is known of it.
        is_busy: Whether it says that it is short of processor time.
        load: Requests a second for each of its processor cores.
    """

    name: str
    zone: str
    lost: Collection[str] = ()
    is_heard: bool = True
    is_busy: bool = False
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class HelpAsk:
    """What help is wanted for.

    Attributes:
        region: Region of this host.
        wanted: Groups of upstreams that have to be reached.
        homes: The only regions that may get the request; empty for all.
        tried: Names of hosts that were asked before.
    """

    region: str
    wanted: frozenset[str]
    homes: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()


def choose_helper(
    helpers: Sequence[Helper],
    ask: HelpAsk,
    regions: Mapping[str, str],
    random: Random,
) -> Helper | None:
    """Return the host that takes a request, or None if there is none.

    Hosts that are heard come first, then those that have lost nothing, those of
    the own region, and those that are not busy. Of two of the best drawn at
    random the one with less load takes it.

    Args:
        helpers: All other hosts.
        ask: What is wanted.
        regions: Region of each zone.
        random: Source of the draw.
    """
    able = [one for one in helpers if _is_able(one, ask, regions)]
    if not able:
        return None

    def distance(one: Helper) -> tuple[bool, bool, bool, bool]:
        is_far = regions.get(one.zone) != ask.region
        return (not one.is_heard, bool(one.lost), is_far, one.is_busy)

    nearest = min(map(distance, able))
    best = [one for one in able if distance(one) == nearest]
    drawn = random.sample(best, min(COMPARED, len(best)))
    return min(drawn, key=lambda one: one.load)


def _is_able(one: Helper, ask: HelpAsk, regions: Mapping[str, str]) -> bool:
    if one.name in ask.tried or ALL in one.lost:
        return False
    if ask.homes and regions.get(one.zone) not in ask.homes:
        return False
    return not ask.wanted.intersection(one.lost)
