"""Moves between regions that changes of the configuration begin."""

from collections.abc import Callable

from wardstair.decisions.region_pace import RegionMove
from wardstair.process.log import log_event
from wardstair.version.steering import SteeredRoute, Steering

# Returns the share of a service's requests that run in the own region, None if
# no upstream of it is known.
ShareOf = Callable[[str, SteeredRoute], float | None]
# A smaller move is not worth pacing.
LEAST_OFFSET = 0.01


class RegionMoves:
    """Which routes are on their way to other regions; one a process."""

    def __init__(self) -> None:
        """Begin without a configuration."""
        self._steering: Steering | None = None
        self._moves: dict[str, RegionMove] = {}

    def are_in_progress(self, now: float, most_share: float) -> bool:
        """Return whether any route is on its way.

        One that nobody asks for any more arrives as well: while any counts as
        under way, keys are ranked anew four times a second.
        """
        for name in tuple(self._moves):
            self.offset(name, now, most_share)
        return bool(self._moves)

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
            if known is not None and known.shares != route.shares:
                left = self.offset(route.name, now, most_share)
                move = _move(known, route, share_of)
                offset = 0.0 if move is None else left + move
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


def _move(
    before: SteeredRoute,
    after: SteeredRoute,
    share_of: ShareOf,
) -> float | None:
    """Return what a change takes off a route's share in the own region.

    None if there is nothing to pace: a move that allowed regions order is made
    at once, and without upstreams there is no share to go on from.
    """
    share, next_share = _mix(before, share_of), _mix(after, share_of)
    if before.regions != after.regions or share is None or next_share is None:
        return None
    return share - next_share


def _mix(route: SteeredRoute, share_of: ShareOf) -> float | None:
    """Return the share of a route's requests that run in the own region."""
    total = sum(part.weight for part in route.shares)
    mix = 0.0
    for part in route.shares:
        share = share_of(part.service, route)
        if share is None and part.weight > 0:
            return None
        mix += part.weight / total * (share or 0.0)
    return mix
