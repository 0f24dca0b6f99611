"""What the requests of a route usually take, learned from answers."""

from dataclasses import dataclass

# Kilobytes there and back from which a route's requests rather stay in the
# zone.
HEAVY_KILOBYTES = 4.0
# Heads of a request and its answer together.
_HEAD_KILOBYTES = 0.7
_KILOBYTE = 1024
# How fast the usual work of a route follows shorter and longer answers.
_DOWN_SHARE = 0.1
_SIZE_SHARE = 0.05
_UP_SHARE = 0.03


@dataclass(slots=True)
class RouteProfile:
    """What the requests of a route usually take, averaged.

    Attributes:
        seconds: Work on a key that is warm.
        kilobytes: Bytes there and back, heads included.
    """

    seconds: float
    kilobytes: float = 0.0

    @property
    def is_heavy(self) -> bool:
        """Whether its requests rather stay in the zone."""
        return self.kilobytes >= HEAVY_KILOBYTES

    def note_size(self, body_bytes: int) -> None:
        """Take in the bytes of both bodies of a request."""
        size = _HEAD_KILOBYTES + body_bytes / _KILOBYTE
        if not self.kilobytes:
            self.kilobytes = size
        self.kilobytes += _SIZE_SHARE * (size - self.kilobytes)

    def note(self, seconds: float) -> None:
        """Take in the time of one answer without the way.

        Slow answers count for less: among those on warm keys are some whose
        key was displaced meanwhile.
        """
        share = _DOWN_SHARE if seconds < self.seconds else _UP_SHARE
        self.seconds += share * (max(seconds, 0.001) - self.seconds)
