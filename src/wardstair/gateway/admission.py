"""Admits requests by their API key and the quota of their organisation."""

from dataclasses import dataclass, replace

from wardstair.decisions.authorisation import (
    Authorised,
    Unauthorised,
    Unverified,
)
from wardstair.gateway import refusals
from wardstair.gateway.authorising import Authoriser
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.quotas import OverQuota, Quotas
from wardstair.gateway.reporting import RejectedApiKey, Reporter
from wardstair.state.local_state import LocalState
from wardstair.version.organisations import Organisation
from wardstair.version.steering import SteeredRoute


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be served.

    Attributes:
        organisation: The organisation of the caller; None if unknown.
    """

    organisation: Organisation | None


class Admission:
    """Admits requests; one per process."""

    def __init__(
        self,
        local_state: LocalState,
        authoriser: Authoriser,
        quotas: Quotas,
        reporter: Reporter,
    ) -> None:
        """Create an admission control.

        Args:
            local_state: State known to this host.
            authoriser: Checks API keys and identifies the organisation.
            quotas: Enforces the quotas of organisations.
            reporter: Logs and counts refusals.
        """
        self._local_state = local_state
        self._authoriser = authoriser
        self._quotas = quotas
        self._reporter = reporter

    def admit(self, inbound: Inbound, route: SteeredRoute) -> Admitted | Reply:
        """Admit a request, or return the reply that refuses it.

        Args:
            inbound: The request.
            route: The route of the request.
        """
        verdict = self._authoriser.authorise(inbound, route)
        if not isinstance(verdict, Authorised):
            return self._refuse_api_key(inbound, route, verdict)
        organisation = verdict.organisation
        if organisation is None:
            return Admitted(None)
        spent = self._local_state.clock() - inbound.received_at
        over = self._quotas.admit(organisation, inbound.seconds - spent)
        if over is not None:
            return self._refuse_quota(inbound, route, over)
        return Admitted(organisation)

    def give_back(self, organisation: Organisation | None) -> None:
        """Remove a request that has not run from the count of its quota."""
        self._quotas.give_back(organisation)

    def _refuse_api_key(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        verdict: Unauthorised | Unverified,
    ) -> Reply:
        refusal = refusals.NOT_AUTHORISED
        if isinstance(verdict, Unverified):
            refusal = refusals.UNVERIFIED
        version = self._local_state.versions.configuration
        age = self._local_state.clock() - self._local_state.adopted_at
        self._reporter.unauthorised(
            inbound,
            route,
            refusal.kind,
            RejectedApiKey(verdict.fault, version, age),
        )
        return refusal.reply(inbound.request_id)

    def _refuse_quota(
        self,
        inbound: Inbound,
        route: SteeredRoute,
        over: OverQuota,
    ) -> Reply:
        self._reporter.over_quota(inbound, route, over)
        refusal = replace(refusals.OVER_QUOTA, retry_after=over.wait)
        return refusal.reply(inbound.request_id)
