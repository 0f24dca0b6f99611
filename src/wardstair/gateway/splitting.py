"""Assigns the requests of split routes to services by weight."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wardstair.decisions.split import SplitTally
from wardstair.process.log import log_event
from wardstair.version.steering import ServiceShare, SteeredRoute


@dataclass(slots=True)
class RouteSplit:
    """The split of one route.

    Attributes:
        shares: Services of the route and their weights.
        tally: Requests that this host has sent to each service under these
            weights.
    """

    shares: tuple[ServiceShare, ...] = ()
    tally: SplitTally = field(default_factory=SplitTally)


class TrafficSplitter:
    """Splits the requests of routes between services; one per process."""

    def __init__(self) -> None:
        """Create a splitter with empty tallies."""
        self._by_route: dict[str, RouteSplit] = {}

    @property
    def routes(self) -> set[str]:
        """Names of the routes that have a tally."""
        return set(self._by_route)

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request, by weight if the route is split.

        Args:
            route: Route of the request.
            key: Affinity key of the request.
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
        """Drop the tallies of routes that are no longer split.

        Args:
            routes: All routes of the version in force.
        """
        split = {route.name for route in routes if len(route.shares) > 1}
        for name in self.routes - split:
            self._by_route.pop(name)

    def _begin(self, route: SteeredRoute, before: RouteSplit) -> RouteSplit:
        """Start a new tally for new weights.

        A tally kept from the weights before left a service with a quarter of
        the new weight without any request for 22 s.
        """
        log_event(
            'split-changed',
            route=route.name,
            parts=_format_shares(route.shares),
            before=_format_shares(before.shares),
            sent=','.join(
                f'{name}:{round(sent)}'
                for name, sent in before.tally.sent.items()
            ),
        )
        split = RouteSplit(route.shares)
        self._by_route[route.name] = split
        return split


def _format_shares(shares: tuple[ServiceShare, ...]) -> str:
    return ','.join(f'{share.service}:{share.weight:g}' for share in shares)
