"""Determines the regions that may serve a request."""

from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute

# Matches no region; an empty set would allow all of them.
NO_REGION = frozenset(('',))


def permitted_regions_for(
    route: SteeredRoute,
    organisation: Organisation | None,
) -> frozenset[str]:
    """Return the regions that may serve a request; an empty set for all.

    If both the route and the organisation restrict regions, both restrictions
    apply.

    Args:
        route: The request's route.
        organisation: The organisation that makes the request; None if unknown.

    Returns:
        The permitted regions, or `NO_REGION` if the two restrictions have none
        in common.
    """
    if organisation is None or not organisation.regions:
        return route.regions
    if not route.regions:
        return organisation.regions
    return route.regions & organisation.regions or NO_REGION
