"""Which service each request of a split route goes to."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wardstair.decisions.split import SplitTally
from wardstair.process.log import log_event
from wardstair.version.steering import ServiceShare, SteeredRoute


@dataclass(slots=True)
class RouteSplit:
    """The division of one route.

    Attributes:
        shares: Its services and their weights.
        tally: What this host has sent to each by these weights.
    """

    shares: tuple[ServiceShare, ...] = ()
    tally: SplitTally = field(default_factory=SplitTally)


class TrafficSplitter:
    """Divides the requests of split routes; one a process."""

    def __init__(self) -> None:
        """Begin without having sent anything."""
        self._by_route: dict[str, RouteSplit] = {}

    @property
    def routes(self) -> set[str]:
        """Names of the routes that something is kept for."""
        return set(self._by_route)

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request; a split route's by weight.

        Args:
            route: The request's route.
            key: What the request concerns.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._by_route.get(route.name)
        if split is None or split.shares != route.shares:
            split = self._begin(route, split or RouteSplit())
        shares = [
            (share.service, share.weight)
            for share in route.shares
            if share.weight > 0
        ]
        return split.tally.choose(key, shares)

    def drop_unsplit(self, routes: Iterable[SteeredRoute]) -> None:
        """Drop what is kept for routes that are not split any more.

        Args:
            routes: All routes of the version in force.
        """
        split = {route.name for route in routes if len(route.shares) > 1}
        for name in self.routes - split:
            self._by_route.pop(name)

    def _begin(self, route: SteeredRoute, before: RouteSplit) -> RouteSplit:
        """Begin to count by new weights.

        What was sent by the ones before says nothing of these: counted on, it
        kept a part with a quarter of the weight without any request for 22 s.
        """
        log_event(
            'split-changed',
            route=route.name,
            parts=_told(route.shares),
            before=_told(before.shares),
            sent=','.join(
                f'{name}:{round(sent)}'
                for name, sent in before.tally.sent.items()
            ),
        )
        split = RouteSplit(route.shares)
        self._by_route[route.name] = split
        return split


def _told(shares: tuple[ServiceShare, ...]) -> str:
    return ','.join(f'{share.service}:{share.weight:g}' for share in shares)
