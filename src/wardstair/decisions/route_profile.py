"""Usual work time and size of the requests of a route, from their answers."""

from dataclasses import dataclass

# Size of request and answer from which a route's requests preferably stay in
# the zone.
HEAVY_KILOBYTES = 4.0
# Assumed size of the headers of a request and its answer together.
_HEAD_KILOBYTES = 0.7
_KILOBYTE = 1024
# Smoothing factors of the averages: for work times below the average, for sizes
# and for work times above the average.
_DOWN_SHARE = 0.1
_SIZE_SHARE = 0.05
_UP_SHARE = 0.03


@dataclass(slots=True)
class RouteProfile:
    """Averages over the requests of a route.

    Attributes:
        seconds: Work time on a warm key.
        kilobytes: Size of request and answer, including headers.
    """

    seconds: float
    kilobytes: float = 0.0

    @property
    def is_heavy(self) -> bool:
        """Whether requests of the route preferably stay in the zone."""
        return self.kilobytes >= HEAVY_KILOBYTES

    def note_size(self, body_bytes: int) -> None:
        """Update the average size with the bodies of a request and answer."""
        size = _HEAD_KILOBYTES + body_bytes / _KILOBYTE
        if not self.kilobytes:
            self.kilobytes = size
        self.kilobytes += _SIZE_SHARE * (size - self.kilobytes)

    def note(self, seconds: float) -> None:
        """Update the work time with one answer, excluding the network delay.

        Slow answers have less weight: keys that are assumed to be warm may have
        been evicted in the meantime.
        """
        share = _DOWN_SHARE if seconds < self.seconds else _UP_SHARE
        self.seconds += share * (max(seconds, 0.001) - self.seconds)
