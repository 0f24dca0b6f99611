"""Counts, from a log, requests that were not served in time, by cause."""

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

# Events that end a request.
_END_EVENTS = frozenset(
    (
        'request-answered',
        'request-refused',
        'request-unrouted',
        'request-unheld',
        'request-failed',
        'caller-left',
    )
)
# Route in the counts of requests without one.
_NO_ROUTE = '-'


@dataclass(frozen=True, slots=True)
class CauseCount:
    """Requests of one route that were not served in time for one cause.

    Attributes:
        cause: Why they were not served in time.
        route: Name of the route.
        requests: Number of requests.
        share: Fraction of all requests not served in time, 0 to 1.
        seconds: Median duration in seconds; a line without it counts as 0.
    """

    cause: Cause
    route: str
    requests: int
    share: float
    seconds: float


def summarize(raw_lines: Iterable[str]) -> list[CauseCount]:
    """Count requests that were not served in time, most frequent cause first.

    Lines of these requests are thinned only above a number per second and
    host, so the counts are complete except for the busiest seconds.

    Args:
        raw_lines: Log lines of one host or of several.
    """
    durations: dict[tuple[Cause, str], list[float]] = defaultdict(list)
    for raw in raw_lines:
        line = parse_line(raw)
        if line is None or line.event not in _END_EVENTS:
            continue
        cause = cause_of(line)
        if cause is Cause.good:
            continue
        route = line.fields.get('route', _NO_ROUTE)
        durations[cause, route].append(_seconds(line))
    total = sum(len(seconds) for seconds in durations.values())
    counts = [
        CauseCount(cause, route, len(seconds), len(seconds) / total, median)
        for (cause, route), seconds, median in _with_medians(durations)
    ]
    return sorted(counts, key=lambda count: count.requests, reverse=True)


def _with_medians(
    durations: dict[tuple[Cause, str], list[float]],
) -> Iterable[tuple[tuple[Cause, str], list[float], float]]:
    for name, seconds in durations.items():
        yield name, seconds, round(median(seconds), 3)


def _seconds(line: LogLine) -> float:
    return float(line.fields.get('seconds', 0))
