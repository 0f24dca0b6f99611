"""Evaluates answer times: slow upstreams, hedging and overdue answers.

A cold run on a key takes several times as long as a run on a warm key. In a
large fleet a host seldom sends the same key to the same upstream twice, so it
usually cannot know whether an answer came from a cold or a warm run.
"""

# Work varies: an answer within this multiple of the expected time counts as
# normal.
NORMAL_RATIO = 1.5
# A repeatable request is hedged, that is, sent to a second upstream, after this
# multiple of the expected time. If it may be a cold run, hedging also waits
# until a cold run would have ended: the run on the second upstream would be
# cold too, take as long, and displace a warm key there.
HEDGE_RATIO = 2.5
HEDGE_LONGEST_RATIO = 1.4
MIN_HEDGE_SECONDS = 0.25
# The same for the delay after which an upstream counts as slow or dead. The
# longest work takes about three times the mean.
OVERDUE_RATIO = 3.0
OVERDUE_LONGEST_RATIO = 1.5
MIN_OVERDUE_SECONDS = 0.15


def slowdown_ratio(
    seconds: float,
    *,
    warm: float,
    cold: float,
    is_known_warm: bool,
) -> float | None:
    """Return the ratio of an answer's time to the expected time.

    Args:
        seconds: Time until the answer.
        warm: Expected seconds if the key is warm at the upstream.
        cold: Expected seconds if the key is cold there.
        is_known_warm: Whether the key was certainly warm.

    Returns:
        The ratio, where 1 is as expected; None if a cold run would explain
        the time equally well.
    """
    if is_known_warm or seconds <= warm * NORMAL_RATIO:
        return seconds / warm
    if seconds > cold * NORMAL_RATIO:
        return seconds / cold
    return None


def hedge_delay(expected: float, longest: float) -> float:
    """Return the seconds without an answer after which a request is hedged.

    Args:
        expected: Expected seconds until the answer.
        longest: Expected seconds if the run turns out to be cold; equal to
            `expected` if the key is certainly warm.
    """
    return max(
        expected * HEDGE_RATIO,
        longest * HEDGE_LONGEST_RATIO,
        MIN_HEDGE_SECONDS,
    )


def overdue_delay(expected: float, longest: float) -> float:
    """Return the seconds after which an upstream counts as slow or dead.

    Args:
        expected: Expected seconds until the answer.
        longest: Expected seconds if the run turns out to be cold.
    """
    return max(
        expected * OVERDUE_RATIO,
        longest * OVERDUE_LONGEST_RATIO,
        MIN_OVERDUE_SECONDS,
    )
