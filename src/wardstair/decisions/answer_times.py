"""What the time of an answer tells of the upstream that gave it.

A first run on a key takes several times as long as later ones. In a large
fleet a host seldom sees the same key twice at the same upstream, so it mostly
cannot know which of the two an answer was.
"""

# Work varies: an answer within this multiple of the expected time is as
# expected.
USUAL_RATIO = 1.5
# A repeatable request is sent to a second upstream when the first is silent for
# this many times the expected time, but not before a first run on its key would
# have ended, if it may be one: the second would be a first run as well, take as
# long, and displace a key that is warm there.
HEDGE_RATIO = 2.5
HEDGE_LONGEST_RATIO = 1.4
LEAST_HEDGE_SECONDS = 0.25
# The same for when an upstream itself looks slow, or dead. The longest work is
# some three times the mean.
OVERDUE_RATIO = 3.0
OVERDUE_LONGEST_RATIO = 1.5
LEAST_OVERDUE_SECONDS = 0.15


def slowdown_ratio(
    seconds: float,
    *,
    warm: float,
    cold: float,
    is_known_warm: bool,
) -> float | None:
    """Return how much slower than expected an upstream was; 1 is as expected.

    Args:
        seconds: Time of the answer.
        warm: Expected seconds on a key that the upstream remembers.
        cold: Expected seconds on one that it does not.
        is_known_warm: Whether it certainly remembered the key.

    Returns:
        The ratio; None if the time may as well tell of the key.
    """
    if is_known_warm or seconds <= warm * USUAL_RATIO:
        return seconds / warm
    if seconds > cold * USUAL_RATIO:
        return seconds / cold
    return None


def hedge_delay(expected: float, longest: float) -> float:
    """Return the seconds of silence after which a second upstream is tried.

    Args:
        expected: Expected seconds of the answer.
        longest: The same if the upstream does not remember the key after all;
            as expected if it certainly does.
    """
    return max(
        expected * HEDGE_RATIO,
        longest * HEDGE_LONGEST_RATIO,
        LEAST_HEDGE_SECONDS,
    )


def overdue_delay(expected: float, longest: float) -> float:
    """Return the seconds after which an upstream looks slow or dead.

    Args:
        expected: Expected seconds of the answer.
        longest: The same if the upstream does not remember the key after all.
    """
    return max(
        expected * OVERDUE_RATIO,
        longest * OVERDUE_LONGEST_RATIO,
        LEAST_OVERDUE_SECONDS,
    )
