"""Order of the incarnations of an upstream, by the start times they state."""

# Usual difference between the clocks of an upstream and of this host.
CLOCK_SKEW_MILLISECONDS = 5000
_MILLISECONDS = 1000


def is_ahead(born: int, unix_seconds: float) -> bool:
    """Return whether a stated start time lies in the future.

    It shows no order: an incarnation that truly starts later states an earlier
    time.

    Args:
        born: Start time in Unix milliseconds.
        unix_seconds: Time of day of this host.
    """
    return born > unix_seconds * _MILLISECONDS + CLOCK_SKEW_MILLISECONDS
