"""How many requests were not served in time, and why, from a log."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from wardstair.process.request_history import (
    Cause,
    LogLine,
    cause_of,
    parse_line,
)

# Lines that end a request.
_ENDS = frozenset(
    (
        'request-answered',
        'request-refused',
        'request-unrouted',
        'request-unheld',
        'request-failed',
        'caller-left',
    )
)
# Of a request that no route was found for.
_NO_ROUTE = '-'


@dataclass(frozen=True, slots=True)
class CauseCount:
    """Requests of one route that were not served in time for one cause.

    Attributes:
        cause: Why.
        route: Their route.
        requests: How many.
        share: Their part of all that were not served in time, 0 to 1.
        seconds: Median of the seconds that they took; 0 if lines do not say.
    """

    cause: Cause
    route: str
    requests: int
    share: float
    seconds: float


def summarize(raw_lines: Iterable[str]) -> list[CauseCount]:
    """Count requests that were not served in time, most frequent cause first.

    Lines of those are not thinned up to a bound a second and host, so the
    counts are whole but for the fullest seconds.

    Args:
        raw_lines: The log, of one host or of several.
    """
    took: dict[tuple[Cause, str], list[float]] = defaultdict(list)
    for raw in raw_lines:
        line = parse_line(raw)
        if line is None or line.event not in _ENDS:
            continue
        cause = cause_of(line)
        if cause is Cause.good:
            continue
        route = line.fields.get('route', _NO_ROUTE)
        took[cause, route].append(_seconds(line))
    total = sum(len(seconds) for seconds in took.values())
    counts = [
        CauseCount(cause, route, len(seconds), len(seconds) / total, median)
        for (cause, route), seconds, median in _with_medians(took)
    ]
    return sorted(counts, key=lambda count: count.requests, reverse=True)


def _with_medians(
    took: dict[tuple[Cause, str], list[float]],
) -> Iterable[tuple[tuple[Cause, str], list[float], float]]:
    for name, seconds in took.items():
        yield name, seconds, round(median(seconds), 3)


def _seconds(line: LogLine) -> float:
    return float(line.fields.get('seconds', 0))
