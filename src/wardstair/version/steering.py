"""The steering configuration that a gateway has in force.

Immutable; one object a version. The adapter of a platform builds it, the
gateway only reads it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.version.organisations import OrganisationTable


class Repeatability(StrEnum):
    """Whether a request may run more than once."""

    repeatable = 'repeatable'
    once = 'once'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part; any positive scale, the same for all of a route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class SteeredRoute:
    """Which requests belong together and how they are treated.

    Attributes:
        name: Its name.
        host: Host name that callers use.
        prefix: Begin of the paths it covers; begins and ends with a slash.
        repeatability: Whether its requests may run more than once.
        shares: The services that serve it; one unless it is split.
        max_attempts: Most upstreams that one request is sent to.
        timeout: Longest time a request may be held, in seconds.
        objective: Seconds within which an answer is in time.
        priority: Rank; 0 is the most important.
        is_sticky: Whether an upstream that saw a key serves it faster.
        regions: The only regions that may serve it; empty for all.
        is_public: Whether it serves requests without an API key.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    timeout: float
    objective: float
    priority: int
    is_sticky: bool
    regions: frozenset[str]
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether its requests may run more than once."""
        return self.repeatability is Repeatability.repeatable


@dataclass(frozen=True, slots=True)
class SteeredService:
    """What is known of a service apart from its upstreams.

    Attributes:
        name: Its name.
        health_path: Path of the health check.
        max_connections: Connections an upstream accepts from all callers.
        cold_seconds: How long an upstream is cold after its start.
        cold_rate: Requests a second that a cold upstream bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body of a request.
        header_seconds: Longest time for a head to arrive.
        idle_seconds: How long a connection may rest between requests.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Steering:
    """One version of the configuration.

    Attributes:
        version: Its number; later versions are higher.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
        by_host: Routes of each host name, longest prefix first.
        defaulted_fields: Fields that it leaves out and that have a stand-in.
        organisations: Organisations that may make requests; if there are none,
            no API key is needed.
    """

    version: int
    routes: tuple[SteeredRoute, ...]
    services: Mapping[str, SteeredService]
    limits: CallerLimits
    by_host: Mapping[str, tuple[SteeredRoute, ...]] = field(
        default_factory=dict,
    )
    defaulted_fields: tuple[str, ...] = ()
    organisations: OrganisationTable = field(default_factory=OrganisationTable)

    def find_route(self, host: str, path: str) -> SteeredRoute | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: Host name as the caller sent it, without a port.
            path: Path without the query.
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(
    routes: tuple[SteeredRoute, ...],
) -> dict[str, tuple[SteeredRoute, ...]]:
    """Return the routes of each host name, longest prefix first."""
    hosts: dict[str, list[SteeredRoute]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        hosts.setdefault(route.host, []).append(route)
    return {host: tuple(listed) for host, listed in hosts.items()}


def _prefix_length(route: SteeredRoute) -> int:
    return len(route.prefix)
