"""Timeout that adapts to the recent answer times of a server."""

from collections import deque
from dataclasses import dataclass, field

# Number of recent answers that determine the timeout.
MAX_SAMPLES = 8
# Multiple of the slowest recent answer time after which an answer is late.
SPREAD_FACTOR = 2.0


@dataclass(slots=True)
class AdaptiveTimeout:
    """Derives a timeout from recent answer times.

    With a fixed timeout, every answer of an overloaded server would count as
    lost and be requested again, which adds to its load.
    """

    _samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES),
    )

    def note(self, seconds: float) -> None:
        """Record the time of an answer, excluding the requested wait.

        Args:
            seconds: The answer time in seconds; negative values count as 0.
        """
        self._samples.append(max(0.0, seconds))

    def timeout(self, least: float, most: float) -> float:
        """Return the time after which an answer is late.

        Args:
            least: Lower bound in seconds.
            most: Upper bound in seconds.
        """
        slowest = max(self._samples, default=0.0)
        return min(max(least, slowest * SPREAD_FACTOR), most)
