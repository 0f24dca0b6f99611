"""Paces what moves between regions when a route gets other services.

Two services may have their upstreams in different regions, so a change of a
route's weights moves requests between regions the moment it is in force. The
weights have to be kept at once, the regions need not: a route's requests first
go to the regions in the shares that they had, and these follow step by step.
Without it a change of nine tenths to one tenth moved 0.34 of a region's
requests at once, where the new service had an eighth of its upstreams there
and the old one a third.
"""

from dataclasses import dataclass

# Windows in which operators look at moves.
WINDOW_SECONDS = 2.0
# Part of the bound that is used: keys are spread by chance, and what callers
# ask for changes as well.
BOUND_USED = 0.6
# The own region's share stays this far from none and all, where no factor on a
# weight gives the share.
EDGE = 0.02


@dataclass(frozen=True, slots=True)
class RegionMove:
    """A move of one route's requests under way.

    Attributes:
        offset: What its share in the own region was above what it will be.
        began_at: Monotonic time when the change came in force.
    """

    offset: float
    began_at: float

    def left(self, now: float, most_share: float) -> float:
        """Return what is left of the offset.

        Args:
            now: Monotonic time in seconds.
            most_share: Largest share that may move from window to window.
        """
        rate = most_share * BOUND_USED / WINDOW_SECONDS
        gone = rate * (now - self.began_at)
        if gone >= abs(self.offset):
            return 0.0
        return self.offset - gone if self.offset > 0 else self.offset + gone


def odds_factor(share: float, offset: float) -> float:
    """Return the factor on weights that moves a share by an offset.

    Args:
        share: The own region's share by its weights, 0 to 1.
        offset: What it is to be above that.
    """
    if not EDGE < share < 1 - EDGE:
        return 1.0
    wanted = min(max(share + offset, EDGE), 1 - EDGE)
    return wanted / (1 - wanted) * (1 - share) / share
