"""What the time of an answer tells of the upstream that gave it.

A first run on a key takes several times as long as later ones. In a large
fleet a host seldom sees the same key twice at the same upstream, so it mostly
cannot know which of the two an answer was.
"""

# Work varies: an answer within this multiple of the expected time is as
# expected.
USUAL_RATIO = 1.5


def slowness_shown(
    seconds: float,
    *,
    warm: float,
    cold: float,
    is_sure: bool,
) -> float | None:
    """Return how much slower than expected an upstream was; 1 is as expected.

    Args:
        seconds: Time of the answer.
        warm: Expected seconds on a key that the upstream remembers.
        cold: Expected seconds on one that it does not.
        is_sure: Whether it certainly remembered the key.

    Returns:
        The ratio; None if the time may as well tell of the key.
    """
    if is_sure or seconds <= warm * USUAL_RATIO:
        return seconds / warm
    if seconds > cold * USUAL_RATIO:
        return seconds / cold
    return None
