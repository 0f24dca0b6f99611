"""Estimates what share of a service's requests a new version can bear."""

from dataclasses import dataclass

# Share of their slots that upstreams can have in use without waits that matter.
USABLE_SLOTS_SHARE = 0.8
# Cold upstreams are used by few hosts, whose callers may not send enough.
USABLE_COLD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class VersionCapacity:
    """What the upstreams of a version have.

    Attributes:
        slots: Slots of the upstreams that are not cold.
        cold: Number of cold upstreams.
    """

    slots: int = 0
    cold: int = 0


def bearable_share(
    new: VersionCapacity,
    old: VersionCapacity,
    *,
    rate: float,
    work_seconds: float,
    cold_rate: float,
) -> float:
    """Return the share of the requests that the new version can bear now.

    Args:
        new: The upstreams of the new version.
        old: The upstreams of the other versions, which bear all requests.
        rate: Requests of the service per second.
        work_seconds: Usual seconds of work for a request.
        cold_rate: Requests per second that a cold upstream takes.
    """
    if not new.slots and not new.cold:
        return 0.0
    cold = new.cold * cold_rate * USABLE_COLD_SHARE
    usable = new.slots * USABLE_SLOTS_SHARE
    bearable_rate = usable / work_seconds + cold
    by_rate = bearable_rate / rate if rate > 0 else 1.0
    by_slots = new.slots / old.slots if old.slots else 0.0
    return min(1.0, max(by_rate, by_slots))
