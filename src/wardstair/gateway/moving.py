"""Moves between regions that changes of the configuration begin."""

from collections.abc import Callable

from wardstair.decisions.region_pace import RegionMove
from wardstair.process.log import log_event
from wardstair.version.steering import SteeredRoute, Steering

# Returns the share of a service's requests that run in the own region.
ShareOf = Callable[[str, SteeredRoute], float]
# A smaller move is not worth pacing.
LEAST_OFFSET = 0.01


class RegionMoves:
    """Which routes are on their way to other regions; one a process."""

    def __init__(self) -> None:
        """Begin without a configuration."""
        self._steering: Steering | None = None
        self._moves: dict[str, RegionMove] = {}

    def follow(
        self,
        steering: Steering | None,
        share_of: ShareOf,
        now: float,
        most_share: float,
    ) -> bool:
        """Note a version that has come in force; return whether one has.

        Args:
            steering: The version in force.
            share_of: Tells the own region's share of a service.
            now: Monotonic time in seconds.
            most_share: Largest share that may move from window to window.
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
            # A move that allowed regions order is made at once.
            if known is None or known.regions != route.regions:
                self._moves.pop(route.name, None)
                continue
            if known.shares == route.shares:
                continue
            left = self.offset(route.name, now, most_share)
            offset = left + _mix(known, share_of) - _mix(route, share_of)
            self._begin(route.name, offset, now)
        return True

    def offset(self, route: str, now: float, most_share: float) -> float:
        """Return by how much a route's share is still off; 0 if it is not."""
        move = self._moves.get(route)
        if move is None:
            return 0.0
        left = move.left(now, most_share)
        if not left:
            self._moves.pop(route)
        return left

    def _begin(self, route: str, offset: float, now: float) -> None:
        if abs(offset) < LEAST_OFFSET:
            self._moves.pop(route, None)
            return
        self._moves[route] = RegionMove(offset, now)
        log_event('region-move-paced', route=route, offset=round(offset, 3))


def _mix(route: SteeredRoute, share_of: ShareOf) -> float:
    """Return the share of a route's requests that run in the own region."""
    total = sum(part.weight for part in route.shares)
    return sum(
        part.weight / total * share_of(part.service, route)
        for part in route.shares
    )
