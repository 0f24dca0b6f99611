"""Choice of the upstream for one request.

The host's own count of requests in flight and its own recent latency come
first. Load reports of upstreams may lag or mislead, so a report can only
make an upstream less attractive, never raise a limit.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

REPORT_MAX_AGE_SECONDS = 5.0
SLOW_START_SECONDS = 30.0
COLD_START_FLOOR = 0.25


@dataclass(frozen=True)
class Candidate:
    """An upstream as one host sees it at one moment.

    Attributes:
        name: Name of the upstream.
        free_slots: Slots that this host holds for it and does not use.
        in_flight: Requests that this host has at the upstream.
        latency: Recent latency seen by this host, in seconds.
        reported_load: Load the upstream reports, 0.0 to 1.0 and above.
        report_age: Age of that report in seconds.
        in_service_seconds: Seconds since the upstream came (back) into service.
    """

    name: str
    free_slots: int
    in_flight: int
    latency: float
    reported_load: float = 0.0
    report_age: float = REPORT_MAX_AGE_SECONDS
    in_service_seconds: float = SLOW_START_SECONDS


def score(candidate: Candidate) -> float:
    """Return the expected cost of one more request; lower is better."""
    expected = (candidate.in_flight + 1) * max(candidate.latency, 1e-4)
    distrust = 1.0
    if candidate.report_age < REPORT_MAX_AGE_SECONDS:
        distrust += max(candidate.reported_load, 0.0)
    return expected * distrust / slow_start_share(candidate.in_service_seconds)


def slow_start_share(in_service_seconds: float) -> float:
    """Return the share of work a starting upstream can take, up to 1.0."""
    progress = min(max(in_service_seconds, 0.0) / SLOW_START_SECONDS, 1.0)
    return COLD_START_FLOOR + (1.0 - COLD_START_FLOOR) * progress


def choose(
    candidates: Sequence[Candidate],
    tried: frozenset[str],
    random: Random,
) -> Candidate | None:
    """Choose by the power of two choices among upstreams with a free slot.

    Args:
        candidates: The upstreams that may serve the request.
        tried: Names that this request must not go to again.
        random: Source of randomness.

    Returns:
        The better of two candidates drawn at random, or None.
    """
    able = [
        candidate
        for candidate in candidates
        if candidate.free_slots > 0 and candidate.name not in tried
    ]
    if not able:
        return None
    drawn = able if len(able) < 3 else random.sample(able, 2)
    return min(drawn, key=score)
