"""Paces the moves between regions that configuration changes start."""

from collections.abc import Callable

from wardstair.decisions.region_moves import RegionMove
from wardstair.process.log import log_event
from wardstair.version.steering import SteeredRoute, Steering

# Returns the share of a service's requests that run in this host's region, or
# None if no upstream of the service is known.
ShareLookup = Callable[[str, SteeredRoute], float | None]
# Smaller changes of a share are made at once.
MIN_OFFSET = 0.01


class RegionMoves:
    """The routes that are moving between regions; one per process."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._steering: Steering | None = None
        self._moves: dict[str, RegionMove] = {}

    def are_in_progress(self, now: float, most_share: float) -> bool:
        """Return whether any route is moving.

        This also ends the moves of routes that get no more requests. While any
        move is in progress, keys are ranked again four times a second.
        """
        for name in tuple(self._moves):
            self.offset(name, now, most_share)
        return bool(self._moves)

    def follow(
        self,
        steering: Steering | None,
        share_of: ShareLookup,
        now: float,
        most_share: float,
    ) -> bool:
        """Start the moves of a new configuration version.

        Args:
            steering: The version in force.
            share_of: Returns the share of a service in this host's region.
            now: Monotonic time in seconds.
            most_share: Largest share that may move from window to window.

        Returns:
            Whether the version is new.
        """
        before = self._steering
        if steering is before:
            return False
        self._steering = steering
        if before is None or steering is None:
            return True
        old = {route.name: route for route in before.routes}
        for route in steering.routes:
            known = old.get(route.name)
            if known is not None and known.shares != route.shares:
                remaining = self.offset(route.name, now, most_share)
                change = _share_change(known, route, share_of)
                offset = 0.0 if change is None else remaining + change
                self._begin(route.name, offset, now)
        return True

    def offset(self, route: str, now: float, most_share: float) -> float:
        """Return the part of a share change still to be made; 0 if none."""
        move = self._moves.get(route)
        if move is None:
            return 0.0
        remaining = move.left(now, most_share)
        if not remaining:
            self._moves.pop(route)
        return remaining

    def _begin(self, route: str, offset: float, now: float) -> None:
        if abs(offset) < MIN_OFFSET:
            self._moves.pop(route, None)
            return
        self._moves[route] = RegionMove(offset, now)
        log_event('region-move-paced', route=route, offset=round(offset, 3))


def _share_change(
    before: SteeredRoute,
    after: SteeredRoute,
    share_of: ShareLookup,
) -> float | None:
    """Return by how much a change reduces a route's share in this region.

    Returns None if there is nothing to pace: a change of the permitted regions
    is applied at once, and without upstreams there is no share to start from.
    """
    share, next_share = (
        _region_share(before, share_of),
        _region_share(after, share_of),
    )
    if before.regions != after.regions or share is None or next_share is None:
        return None
    return share - next_share


def _region_share(route: SteeredRoute, share_of: ShareLookup) -> float | None:
    """Return the share of a route's requests that run in this region."""
    total = sum(part.weight for part in route.shares)
    region_share = 0.0
    for part in route.shares:
        share = share_of(part.service, route)
        if share is None and part.weight > 0:
            return None
        region_share += part.weight / total * (share or 0.0)
    return region_share
