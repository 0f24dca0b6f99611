"""Chooses the entry hosts from which this host fetches missing state.

If a queried host does not answer, another host that is known to be ahead is
queried in parallel. A host without an answer thus delays the fetch, but does
not make it exceed the time limit for state updates.
"""

from collections.abc import Collection, Iterable


def host_to_query(
    heard: Iterable[str],
    asked: Collection[str],
    most: int,
) -> str | None:
    """Return the name of the host to query now; None for no query.

    Args:
        heard: Hosts that have the missing state, most recently heard last.
        asked: Hosts that have been queried and have not answered.
        most: Maximum number of parallel queries.
    """
    if len(asked) >= most:
        return None
    idle = [name for name in heard if name not in asked]
    return idle[-1] if idle else None


def is_any_overdue(late_at: Iterable[float], now: float) -> bool:
    """Return whether a queried host should have answered by now.

    Args:
        late_at: Monotonic times in seconds at which the answers of the hosts
            that have not answered become overdue.
        now: Monotonic time in seconds.
    """
    return any(late <= now for late in late_at)
