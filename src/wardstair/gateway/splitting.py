"""Which service each request of a split route goes to."""

from dataclasses import dataclass, field

from wardstair.decisions.split import SplitTally
from wardstair.process.log import log_event
from wardstair.version.steering import ServiceShare, SteeredRoute


@dataclass(slots=True)
class RouteSplit:
    """The division of one route.

    Attributes:
        shares: Its services and their weights.
        tally: What this host has sent to each.
    """

    shares: tuple[ServiceShare, ...] = ()
    tally: SplitTally = field(default_factory=SplitTally)


class Splits:
    """Divides the requests of split routes; one a process."""

    def __init__(self) -> None:
        """Begin without having sent anything."""
        self._by_route: dict[str, RouteSplit] = {}

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request; a split route's by weight.

        Args:
            route: The request's route.
            key: What the request concerns.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        split = self._by_route.setdefault(route.name, RouteSplit())
        if split.shares != route.shares:
            self._change(route, split)
        shares = [
            (share.service, share.weight)
            for share in route.shares
            if share.weight > 0
        ]
        return split.tally.choose(key, shares)

    def _change(self, route: SteeredRoute, split: RouteSplit) -> None:
        log_event(
            'split-changed',
            route=route.name,
            parts=_told(route.shares),
            before=_told(split.shares),
            sent=','.join(
                f'{name}:{round(sent)}'
                for name, sent in split.tally.sent.items()
            ),
        )
        split.shares = route.shares


def _told(shares: tuple[ServiceShare, ...]) -> str:
    return ','.join(f'{share.service}:{share.weight:g}' for share in shares)
