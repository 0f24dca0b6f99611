"""How late an answer may be before its connection is doubted."""

from collections import deque
from dataclasses import dataclass, field

# Answers by which the next are judged.
MAX_SAMPLES = 8
# An answer that takes longer than the slowest of them times this is late.
SPREAD_FACTOR = 2.0


@dataclass(slots=True)
class AdaptiveTimeout:
    """Follows how long a server takes to answer.

    It answers the load that a slow server is under: a fixed slack would take
    each of its answers for lost, and ask it again.
    """

    _samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES),
    )

    def note(self, seconds: float) -> None:
        """Note how long an answer took, beside the wait that was asked for.

        Args:
            seconds: The time; negative ones count as none.
        """
        self._samples.append(max(0.0, seconds))

    def timeout(self, least: float, most: float) -> float:
        """Return the time after which an answer is late.

        Args:
            least: The shortest time, in seconds.
            most: The longest.
        """
        slowest = max(self._samples, default=0.0)
        return min(max(least, slowest * SPREAD_FACTOR), most)
