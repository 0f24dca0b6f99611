"""Sample routes of the configuration for tests."""

from collections.abc import Mapping

from wardstair.version.steering import (
    Repeatability,
    ServiceShare,
    SteeredRoute,
)


def route_of(
    weights: Mapping[str, float],
    name: str = 'read',
    regions: frozenset[str] = frozenset(),
) -> SteeredRoute:
    """Return a route that is split between services by weight."""
    return SteeredRoute(
        name=name,
        host='music.example',
        prefix='/read/',
        repeatability=Repeatability.once,
        shares=tuple(
            ServiceShare(service, weight) for service, weight in weights.items()
        ),
        max_attempts=2,
        timeout=2.0,
        objective=0.5,
        priority=1,
        is_sticky=True,
        regions=regions,
    )
