"""Checks the API keys of requests and identifies their organisations."""

from collections.abc import Callable

from wardstair.decisions.authorisation import (
    Authorised,
    Freshness,
    Verdict,
    authorise,
)
from wardstair.gateway.messages import Inbound
from wardstair.state.local_state import LocalState
from wardstair.version.steering import SteeredRoute


class Authoriser:
    """Checks API keys; one per process."""

    def __init__(
        self,
        local_state: LocalState,
        freshness: Callable[[], Freshness],
    ) -> None:
        """Create an authoriser.

        Args:
            local_state: State known to this host.
            freshness: Returns how current its configuration is.
        """
        self._local_state = local_state
        self._freshness = freshness

    def authorise(self, inbound: Inbound, route: SteeredRoute) -> Verdict:
        """Return whether a request may be served.

        Sets the request's organisation if its API key is known.

        Args:
            inbound: The request.
            route: Route of the request.
        """
        steering = self._local_state.steering
        if steering is None or not steering.organisations.by_name:
            return Authorised(None)
        verdict = authorise(
            inbound.api_keys,
            steering.organisations,
            self._freshness(),
            is_public=route.is_public,
        )
        match verdict:
            case Authorised(organisation=organisation) if organisation:
                inbound.organisation = organisation.name
        return verdict
