"""Up to which moment the state of a host is complete, and when that is too old.

News reaches a host by a chain of others, and a chain that is broken looks like
a calm day. So each host keeps the moment up to which it knows all that the
store had acknowledged, whatever way it came, and asks the store itself once
that is too long ago. Only lengths of time travel between hosts: their clocks
are never compared.
"""

from dataclasses import dataclass

from wardstair.decisions.timing import NEAR_SECONDS, ROUND_TRIP_SECONDS


@dataclass(frozen=True, slots=True)
class Reading:
    """An answer of the store.

    Attributes:
        asked_at: Monotonic time in seconds when it was asked.
        waited: Longest wait that it was asked for, in seconds; 0 for none.
        answered_at: Monotonic time in seconds of the answer.
        is_empty: Whether it tells of no change.
    """

    asked_at: float
    waited: float
    answered_at: float
    is_empty: bool


def complete_at(reading: Reading) -> float:
    """Return the moment up to which an answer is complete.

    It counts from the question, so that a slow answer does not pass for a new
    one. A store that has waited to the end has answered after that.

    Args:
        reading: The answer.

    Returns:
        Monotonic time in seconds.
    """
    took = reading.answered_at - reading.asked_at
    if reading.is_empty and took >= reading.waited:
        return reading.asked_at + reading.waited
    return reading.asked_at


def way_seconds(*, is_near: bool) -> float:
    """Return how long a datagram may have been on its way.

    Args:
        is_near: Whether its sender is in the same availability zone.
    """
    return NEAR_SECONDS if is_near else ROUND_TRIP_SECONDS / 2
