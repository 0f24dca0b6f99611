"""Regions that may serve a request, by its route and its organisation."""

from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute

# Matches no region; an empty set would allow all of them.
NO_REGION = frozenset(('',))


def permitted_regions_for(
    route: SteeredRoute,
    organisation: Organisation | None,
) -> frozenset[str]:
    """Return the only regions that may serve a request; empty for all.

    If both the route and the organisation restrict regions, both apply.

    Args:
        route: The request's route.
        organisation: The organisation that makes it; None if unknown.

    Returns:
        The regions, or `NO_REGION` if the two have none in common.
    """
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    return route.regions & organisation.regions or NO_REGION
