"""What the platform tells of upstreams, in the product's own terms."""

from dataclasses import dataclass
from enum import StrEnum

from wardstair.state.revision import NO_REVISION, Revision


class UpstreamPhase(StrEnum):
    """Whether an upstream takes new work."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream as it registered itself.

    Attributes:
        name: Its name; it may start again under the same one.
        service: The service it belongs to.
        host: IP address.
        port: TCP port.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        phase: Whether it takes new work.
        cold_seconds: Seconds for which it stays cold, counted from the
            moment the entry was read.
        revision: Store revision at which the entry last changed.
        born: When this life of it started, Unix milliseconds; 0 if it does
            not say. Whatever was learned of it holds for this life only.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    phase: UpstreamPhase
    cold_seconds: float
    revision: Revision = NO_REVISION
    born: int = 0
