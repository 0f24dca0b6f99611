"""Entries of upstreams, independent of the platform's format."""

from dataclasses import dataclass
from enum import StrEnum

from wardstair.state.revision import NO_REVISION, Revision


class UpstreamPhase(StrEnum):
    """Whether an upstream accepts new work."""

    ready = 'ready'
    draining = 'draining'


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """One upstream as it registered itself.

    Attributes:
        name: Its name, which it may keep when it restarts.
        service: The service it belongs to.
        host: IP address.
        port: TCP port.
        zone: Its availability zone.
        slots: Number of requests that it processes concurrently.
        phase: Whether it accepts new work.
        cold_seconds: Seconds for which it stays cold, from the time at which
            the entry was read.
        revision: Store revision at which the entry last changed.
        born: Start time of this incarnation in Unix milliseconds; 0 if it is
            not stated. Measurements of an upstream hold for one incarnation.
        version: Version of its software; empty if it is not stated.
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
    version: str = ''
