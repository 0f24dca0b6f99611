"""Which entry host is asked for what this one lacks, and when another is.

A host that does not answer costs a wait, not the bound on news: the next one
that is known to be ahead is asked beside it.
"""

from collections.abc import Collection, Iterable


def host_to_query(
    heard: Iterable[str],
    asked: Collection[str],
    most: int,
) -> str | None:
    """Return the name of the host to ask now; None to ask nobody.

    Args:
        heard: Hosts that know what is lacked, the one heard last at the end.
        asked: Hosts that have been asked and have not answered.
        most: How many may be asked at once.
    """
    if len(asked) >= most:
        return None
    free = [name for name in heard if name not in asked]
    return free[-1] if free else None


def is_any_overdue(late_at: Iterable[float], now: float) -> bool:
    """Return whether a host that was asked should have answered by now.

    Args:
        late_at: When each host that has not answered is late; monotonic times
            in seconds.
        now: The same clock.
    """
    return any(late <= now for late in late_at)
