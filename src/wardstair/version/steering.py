"""The steering configuration that a gateway applies.

There is one immutable object per version. The platform adapter builds it, the
gateway only reads it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from wardstair.version.organisations import OrganisationTable


class Repeatability(StrEnum):
    """Whether the upstreams may run a request more than once."""

    repeatable = 'repeatable'
    once = 'once'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the weights of the
            route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class SteeredRoute:
    """A class of requests, matched by host name and path, and its rules.

    Attributes:
        name: Name of the route.
        host: Host name that callers use.
        prefix: Path prefix that it matches; begins and ends with a slash.
        repeatability: Whether its requests may run more than once.
        shares: The services that serve it; one unless the route is split.
        max_attempts: Maximum number of upstreams that a request is sent to,
            the first included.
        timeout: Longest time that a request may take, in seconds.
        objective: Target latency in seconds; later answers count as late.
        priority: Priority; 0 is the highest.
        is_sticky: Whether an upstream that has served an affinity key before
            serves it faster.
        regions: The regions that may serve it; empty for all.
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
    """The settings of a service; its upstreams are listed elsewhere.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum number of connections that an upstream accepts
            from all entry hosts together.
        cold_seconds: Seconds for which an upstream is cold after its start.
        cold_rate: Requests per second that a cold upstream can serve, from all
            entry hosts together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_seconds: Longest time in which a head may arrive.
        idle_seconds: Longest time for which a connection may be idle between
            requests.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Steering:
    """One version of the configuration.

    Attributes:
        version: Version number; later versions have higher numbers.
        routes: All routes.
        services: Services by name.
        limits: Limits for callers.
        by_host: Routes of each host name, longest prefix first.
        defaulted_fields: Fields that the stored configuration omits and for
            which a default is used.
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
            host: Host name that the caller sent, without the port.
            path: Path without the query.
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def is_repeatable(self, host: str, path: str) -> bool:
        """Return whether a request may run more than once.

        Args:
            host: Host name that the caller sent, without the port.
            path: Path without the query.
        """
        route = self.find_route(host, path)
        return route is not None and route.is_repeatable


def index_routes(
    routes: tuple[SteeredRoute, ...],
) -> dict[str, tuple[SteeredRoute, ...]]:
    """Return the routes of each host name, longest prefix first."""
    by_host: dict[str, list[SteeredRoute]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(host_routes) for host, host_routes in by_host.items()}


def _prefix_length(route: SteeredRoute) -> int:
    return len(route.prefix)
