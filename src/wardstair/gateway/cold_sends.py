"""Limits what this host sends to cold upstreams."""

from collections import Counter
from collections.abc import Callable

from wardstair.decisions.cold_upstreams import (
    ColdLimit,
    HostView,
    SendRateLimiter,
    sender_rate,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event
from wardstair.state.local_state import LocalState
from wardstair.state.upstream import Upstream


class ColdSends:
    """Limits the rate of requests to cold upstreams; one per process.

    Attributes:
        sent: Requests sent to cold upstreams, by service.
    """

    def __init__(
        self,
        settings: LiveSettings,
        local_state: LocalState,
        view: Callable[[], HostView],
    ) -> None:
        """Start without records.

        Args:
            settings: Settings of this host.
            local_state: The local state of this host.
            view: Returns the hosts that are known and live.
        """
        self.sent = Counter[str]()
        self._settings = settings
        self._local_state = local_state
        self._view = view
        self._limiters: dict[str, SendRateLimiter] = {}
        # The rate that was logged last, by upstream.
        self._logged_rates: dict[str, float] = {}

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether this host may send to a cold upstream now."""
        is_due = self._limiter_of(upstream).is_due(now)
        return is_due and self._rate(upstream) > 0

    def is_sender(self, upstream: Upstream) -> bool:
        """Return whether this host sends to an upstream while it is cold."""
        return self._rate(upstream) > 0

    def take(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to a cold upstream."""
        rate = self._rate(upstream)
        if not self._limiter_of(upstream).take(rate, now):
            return
        self.sent[upstream.entry.service] += 1
        if self._logged_rates.get(upstream.name) != rate:
            self._logged_rates[upstream.name] = rate
            self._log_use(upstream, rate, now)

    def has_cold_rate(self, service: str) -> bool:
        """Return whether a service limits the rate of its cold upstreams."""
        steering = self._local_state.steering
        known = None if steering is None else steering.services.get(service)
        return known is not None and known.cold_rate > 0

    def forget(self, names: set[str]) -> None:
        """Drop the records of upstreams that no longer exist.

        Args:
            names: Names of the existing upstreams.
        """
        for name in self._limiters.keys() - names:
            self._limiters.pop(name)
            self._logged_rates.pop(name, None)

    def forget_one(self, name: str) -> None:
        """Drop the records of an upstream that has restarted.

        Args:
            name: The upstream's name.
        """
        self._limiters.pop(name, None)
        self._logged_rates.pop(name, None)

    def _log_use(self, upstream: Upstream, rate: float, now: float) -> None:
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
        steering = self._local_state.steering
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

    def _limiter_of(self, upstream: Upstream) -> SendRateLimiter:
        return self._limiters.setdefault(upstream.name, SendRateLimiter())
