"""What this host sends to cold upstreams, and by what view of the fleet."""

from collections import Counter
from collections.abc import Callable

from wardstair.decisions.cold import ColdLimit, HostView, Pace, sender_rate
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.upstream import Upstream


class ColdSends:
    """Paces the requests of this host to cold upstreams; one a process.

    Attributes:
        sent: Requests sent to cold upstreams, by service.
    """

    def __init__(
        self,
        settings: LiveSettings,
        belief: Belief,
        view: Callable[[], HostView],
    ) -> None:
        """Prepare without knowledge.

        Args:
            settings: Settings of this host.
            belief: What this host knows.
            view: Returns whom this host knows and hears now.
        """
        self.sent = Counter[str]()
        self._settings = settings
        self._belief = belief
        self._view = view
        self._paces: dict[str, Pace] = {}
        # The rate that the log told last, by upstream.
        self._told: dict[str, float] = {}

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether a cold upstream bears a request from here now."""
        is_due = self._pace_of(upstream).is_due(now)
        return is_due and self._rate(upstream) > 0

    def take(self, upstream: Upstream, now: float) -> None:
        """Count a request that goes to a cold upstream."""
        rate = self._rate(upstream)
        if not self._pace_of(upstream).take(rate, now):
            return
        self.sent[upstream.entry.service] += 1
        if self._told.get(upstream.name) != rate:
            self._told[upstream.name] = rate
            self._tell(upstream, rate, now)

    def has_cold_rate(self, service: str) -> bool:
        """Return whether a service says what its cold upstreams bear."""
        steering = self._belief.steering
        known = None if steering is None else steering.services.get(service)
        return known is not None and known.cold_rate > 0

    def forget(self, names: set[str]) -> None:
        """Drop what is kept for upstreams that are gone.

        Args:
            names: Names of the upstreams that are still there.
        """
        for name in self._paces.keys() - names:
            self._paces.pop(name)
            self._told.pop(name, None)

    def forget_one(self, name: str) -> None:
        """Drop what is kept for an upstream that has started again.

        Args:
            name: Its name.
        """
        self._paces.pop(name, None)
        self._told.pop(name, None)

    def _tell(self, upstream: Upstream, rate: float, now: float) -> None:
        view = self._view()
        log_event(
            'cold-upstream-used',
            upstream=upstream.name,
            service=upstream.entry.service,
            zone=upstream.entry.zone,
            left=round(upstream.cold_end - now, 2),
            rate=round(rate, 2),
            live=len(view.live),
            known=len(view.known),
            fleet=view.fleet_size,
            zones=','.join(sorted(view.zones)),
        )

    def _rate(self, upstream: Upstream) -> float:
        steering = self._belief.steering
        if steering is None:
            return 0.0
        service = steering.services.get(upstream.entry.service)
        if service is None:
            return 0.0
        bounds = self._settings.current.bounds
        return sender_rate(
            upstream.name,
            upstream.entry.zone,
            ColdLimit(
                service.cold_rate,
                bounds.cold_overshoot,
                bounds.cold_slack,
            ),
            self._view(),
        )

    def _pace_of(self, upstream: Upstream) -> Pace:
        return self._paces.setdefault(upstream.name, Pace())
