"""Limits how fast requests move between regions when a route changes services.

Two services may have their upstreams in different regions, so a change of a
route's weights can move requests between regions as soon as it is in force. The
weights apply immediately, the regions need not: a route's requests first go to
the regions in the previous shares, which then change gradually. Without the
limit, a change from nine tenths to one tenth moved 0.34 of a region's requests
at once, where the new service had an eighth of its upstreams in the region and
the old one a third.
"""

from dataclasses import dataclass

# Length of the windows over which operators measure moves.
WINDOW_SECONDS = 2.0
# Share of the bound that is used. The rest covers the random spread of keys and
# changes of what callers request.
BOUND_USED = 0.6
# Minimum distance of the host region's share from 0 and 1: no finite factor on
# a weight yields exactly 0 or 1.
EDGE = 0.02


@dataclass(frozen=True, slots=True)
class RegionMove:
    """A move of one route's requests in progress.

    Attributes:
        offset: The route's previous share in the host's region minus its new
            share.
        began_at: Monotonic time at which the change came into force.
    """

    offset: float
    began_at: float

    def left(self, now: float, most_share: float) -> float:
        """Return the remaining offset.

        Args:
            now: Monotonic time in seconds.
            most_share: Largest share that may move between two windows.
        """
        rate = most_share * BOUND_USED / WINDOW_SECONDS
        gone = rate * (now - self.began_at)
        if gone >= abs(self.offset):
            return 0.0
        return self.offset - gone if self.offset > 0 else self.offset + gone


def odds_factor(share: float, offset: float) -> float:
    """Return the factor on weights that changes a share by an offset.

    Args:
        share: Share of the host's region by its weights, 0 to 1.
        offset: Desired change of the share.
    """
    if not EDGE < share < 1 - EDGE:
        return 1.0
    wanted = min(max(share + offset, EDGE), 1 - EDGE)
    return wanted / (1 - wanted) * (1 - share) / share
