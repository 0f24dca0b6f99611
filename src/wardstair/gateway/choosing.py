"""Chooses the upstream for a request from the state known to this host."""

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from wardstair.decisions.cold_upstreams import HostView
from wardstair.decisions.fleet_rate import LoadView
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.notices import (
    UNAVAILABLE,
    Availability,
    accepting_upstreams,
    retry_after_seconds,
    shortest_pause,
)
from wardstair.decisions.placement import (
    Candidate,
    Choice,
    expected_seconds,
)
from wardstair.decisions.placement_policies import (
    PlacementPolicy,
    PlacementRequest,
    WarmPreferred,
    choose_by_policy,
)
from wardstair.decisions.ranking import unit_hash
from wardstair.decisions.route_profile import RouteProfile
from wardstair.gateway.cold_sends import ColdSends
from wardstair.gateway.distances import Distances
from wardstair.gateway.key_ranking import KeyRanking, RankingQuery, TransferSize
from wardstair.gateway.limited_sends import MAX_WAIT_SECONDS, LimitedSends
from wardstair.gateway.rollouts import RolloutGate
from wardstair.gateway.settings import LiveSettings
from wardstair.gateway.splitting import TrafficSplitter
from wardstair.process.log import log_event
from wardstair.state.local_state import LocalState
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# For bodies of at least this size, such as uploads of tens of kilobytes, the
# distance to the upstream matters more than spreading keys evenly.
LARGE_BODY_BYTES = 16384
# Cost of transferring a kilobyte between zones or regions, as the delay in
# seconds that weighs as much.
CROSS_ZONE_SECONDS_PER_KILOBYTE = 0.003
CROSS_REGION_SECONDS_PER_KILOBYTE = 0.006
_KILOBYTE = 1024
# Ejection for slowness leaves at least this share of a service's upstreams.
MIN_USABLE_SHARE = 0.6
# A cold upstream takes about twice as long for every request.
COLD_SLOWNESS = 2.0


class ColdReason(StrEnum):
    """Why an upstream is assumed cold although its entry does not say so."""

    # It refused a connection of this host, which has no other one open.
    refused = 'refused'
    # This host or another one detected that it has exited.
    ended = 'ended'


@dataclass(frozen=True, slots=True)
class UpstreamQuery:
    """The request that an upstream is chosen for.

    Attributes:
        route: Route of the request.
        service: Service chosen for the request.
        key: Affinity key of the request.
        request_id: Id of this attempt of the caller.
        body_bytes: Size of the body.
        queue_share: Requests that an upstream may have beyond its slots, as a
            share of the slots.
        regions: The only regions that may serve the request; empty for all.
        tried: Names of upstreams to which the request must not be sent again.
        seconds_left: Time until the deadline of the request, in seconds.
    """

    route: SteeredRoute
    service: str
    key: str
    request_id: str
    body_bytes: int
    queue_share: float
    regions: frozenset[str] = frozenset()
    tried: frozenset[str] = frozenset()
    seconds_left: float = 0.0

    @property
    def is_large(self) -> bool:
        """Whether distance matters more than warm keys for this body."""
        return self.body_bytes >= LARGE_BODY_BYTES


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream chosen for one send.

    Attributes:
        upstream: The upstream.
        choice: The chosen candidate and its expected time.
        choices: Number of candidates.
        cold_seconds: Expected seconds if the key turns out not to be warm at
            the upstream; the expected time of the choice if this host knows
            that the key is warm.
        placed_at: Monotonic time in seconds of the choice.
    """

    upstream: Upstream
    choice: Choice
    choices: int
    cold_seconds: float
    placed_at: float = 0.0


class Chooser:
    """Chooses upstreams; one per process."""

    def __init__(
        self,
        settings: LiveSettings,
        local_state: LocalState,
        distances: Distances,
    ) -> None:
        """Create a chooser.

        Args:
            settings: Settings of this host.
            local_state: State known to this host.
            distances: Round-trip times to zones.
        """
        own = settings.current
        self.view = HostView.unsettled(own.name, own.zone)
        self._settings = settings
        self._local_state = local_state
        self._distances = distances
        self.rollouts = RolloutGate()
        self._key_ranking = KeyRanking(settings, local_state, self.rollouts)
        self.cold_sends = ColdSends(settings, local_state, lambda: self.view)
        self.load_view = LoadView(own.name, own.zone)
        self.limited_sends = LimitedSends(
            local_state.limits,
            lambda: self.load_view,
        )
        self.splitter = TrafficSplitter()
        self.assumed_cold = Counter[ColdReason]()
        self._work: dict[str, RouteProfile] = {}

    @property
    def _policy(self) -> PlacementPolicy:
        return self._settings.current.placement

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request, by weight if the route is split."""
        return self.splitter.service_of(route, key)

    def work_of(self, route: SteeredRoute) -> RouteProfile:
        """Return the usual work of a route."""
        known = self._work.get(route.name)
        if known is None:
            # Assume half of the objective until answers are measured.
            known = RouteProfile(route.objective / 2)
            self._work[route.name] = known
        return known

    def assume_cold(
        self,
        upstream: Upstream,
        reason: ColdReason,
        now: float,
    ) -> None:
        """Assume that an upstream restarts cold, until its entry is updated.

        Without a rate for cold upstreams in its service, a cold upstream gets
        no requests at all, so there this would only take it out of service.
        """
        if not self.cold_sends.has_cold_rate(upstream.entry.service):
            return
        if not upstream.is_cold(now):
            self.assumed_cold[reason] += 1
            log_event(
                'upstream-assumed-cold',
                upstream=upstream.name,
                service=upstream.entry.service,
                reason=reason,
            )
        match reason:
            case ColdReason.refused:
                upstream.assume_cold_locally(now)
            case ColdReason.ended:
                upstream.assume_cold(now)

    def choose(self, query: UpstreamQuery) -> Placement | None:
        """Choose an upstream for one send; None if none has capacity."""
        now = time.monotonic()
        self._key_ranking.step(now)
        self._step_limits(now)
        for group in self._groups_to_try(query, now):
            placed = self._choose_among(group, query, now)
            if placed is not None:
                return placed
        return None

    def _groups_to_try(
        self, query: UpstreamQuery, now: float
    ) -> Iterator[list[tuple[int, Upstream]]]:
        """Return groups of ranked upstreams, to be tried in order."""
        *preferred, last = self._ranked_groups(query)
        for ranked in preferred:
            yield from self._candidate_groups(
                ranked, query, now, has_alternative=True
            )
        yield from self._candidate_groups(last, query, now)

    def may_use(self, upstream: Upstream, now: float) -> bool:
        """Return whether this host may send to an upstream at present.

        Args:
            upstream: The upstream.
            now: Monotonic time in seconds.
        """
        if upstream.entry.zone in self._local_state.evacuated:
            return False
        if self._is_avoided(upstream, now) or not upstream.takes_work:
            return False
        return not upstream.is_cold(now) or self.cold_sends.is_sender(upstream)

    def limit_wait(self, query: UpstreamQuery) -> float | None:
        """Return the wait until limits allow another request.

        Returns:
            The wait in seconds; None if limits are not the only reason why no
            upstream takes the request.
        """
        if self.limited_sends.is_idle:
            return None
        ranked = self.ranked(query)
        if not ranked or not all(map(self.limited_sends.is_limited, ranked)):
            return None
        return self.limited_sends.wait(
            ranked,
            self.view.fleet_size if self.view.is_settled else 1,
            query.seconds_left,
            time.monotonic(),
        )

    def _step_limits(self, now: float) -> None:
        if self.limited_sends.is_idle:
            return
        upstreams = self._local_state.catalog.upstreams.values()
        if self.limited_sends.step(upstreams, now):
            self._key_ranking.clear_rankings()

    def _within_limits(
        self,
        ranked: list[Upstream],
        query: UpstreamQuery,
        now: float,
    ) -> list[Upstream]:
        """Return the upstreams whose limits allow a request from this host."""
        limited = self.limited_sends
        if limited.is_idle or not ranked:
            return ranked
        if not query.tried:
            limited.note_first_choice(ranked[0])
        return [one for one in ranked if limited.may_send(one, now)]

    def _candidate_groups(
        self,
        permitted: list[Upstream],
        query: UpstreamQuery,
        now: float,
        *,
        has_alternative: bool = False,
    ) -> list[list[tuple[int, Upstream]]]:
        """Return ranked upstreams in groups, to be tried in order.

        Upstreams that are avoided get no rank, so that the next one is the
        preferred upstream meanwhile.

        Args:
            permitted: The upstreams, the preferred one first.
            query: The request.
            now: Monotonic time in seconds.
            has_alternative: Whether other upstreams can take the request if
                all of these are avoided.
        """
        ranked = [
            upstream
            for upstream in self._within_limits(permitted, query, now)
            if not upstream.is_cold(now)
            or self.cold_sends.may_send(upstream, now)
        ]
        ranked = self._reachable(ranked)
        usable = [one for one in ranked if not self._is_avoided(one, now)]
        if len(usable) < len(ranked) * MIN_USABLE_SHARE:
            # Too many are ejected for all of them to be worse than the rest, so
            # leave out only those that failed recently.
            usable = [one for one in ranked if now >= one.avoided_until]
        # An upstream that failed recently is better than none.
        if not has_alternative:
            usable = usable or ranked
        numbered = [
            (position, upstream)
            for position, upstream in enumerate(usable)
            if upstream.name not in query.tried
        ]
        match self._policy:
            case WarmPreferred(first_ranks=first):
                return [numbered[:first], numbered[first:]]
            case _:
                return [numbered]

    def _reachable(self, ranked: list[Upstream]) -> list[Upstream]:
        """Leave out upstreams of unreachable zones, unless none remains."""
        reachability = self._local_state.reachability
        if reachability.is_sound:
            return ranked
        reached = [
            one
            for one in ranked
            if not reachability.is_zone_lost(one.entry.zone)
        ]
        return reached or ranked

    def is_reachable(self, query: UpstreamQuery) -> bool:
        """Return whether any upstream for a request may be reachable."""
        reachability = self._local_state.reachability
        if reachability.is_sound:
            return True
        return reachability.may_reach(query.service) and not all(
            reachability.is_zone_lost(one.entry.zone)
            for one in self.ranked(query)
        )

    def _is_avoided(self, upstream: Upstream, now: float) -> bool:
        if self._settings.current.uses(Mechanism.ejection):
            return upstream.is_avoided(now)
        return now < upstream.avoided_until

    def ranked(self, query: UpstreamQuery) -> list[Upstream]:
        """Return the upstreams for a request, the preferred one first."""
        return [one for group in self._ranked_groups(query) for one in group]

    def _ranked_groups(self, query: UpstreamQuery) -> list[list[Upstream]]:
        """Return the upstreams in groups by version, to be tried in order."""
        return [self._available(group) for group in self._by_version(query)]

    def _by_version(self, query: UpstreamQuery) -> list[list[Upstream]]:
        return self.rollouts.groups(
            self._key_ranking.ranked(self._ranking_query(query)),
            query.key,
            is_resend=bool(query.tried),
        )

    def _permitted(self, query: UpstreamQuery) -> list[Upstream]:
        """Return the upstreams for a request, also those that accept none."""
        return [one for group in self._by_version(query) for one in group]

    def are_all_closed(self, query: UpstreamQuery) -> bool:
        """Return whether no upstream for a request accepts new requests."""
        notices = self._local_state.notices
        ranked = self._permitted(query)
        return bool(ranked) and all(
            notices.availability(one) is Availability.closed for one in ranked
        )

    def unavailable_names(self, query: UpstreamQuery) -> list[str]:
        """Return the upstreams that asked this host for no more requests."""
        notices = self._local_state.notices
        if notices.is_idle:
            return []
        return [
            one.name
            for one in self._permitted(query)
            if notices.availability(one) in UNAVAILABLE
        ]

    def is_declined(self, query: UpstreamQuery) -> bool:
        """Return whether no upstream accepts a request, by their notices."""
        if self._local_state.notices.is_idle:
            return False
        return self.are_all_closed(query) or self.pause_wait(query) is not None

    def pause_wait(self, query: UpstreamQuery) -> float | None:
        """Return the wait after which a caller should retry.

        Returns:
            The wait in seconds; None if pauses are not the only reason why no
            upstream takes the request.
        """
        notices = self._local_state.notices
        if notices.is_idle or self.ranked(query):
            return None
        ranked = self._permitted(query)
        left = shortest_pause(map(notices.notice_of, ranked), time.monotonic())
        if left is None:
            return None
        return min(retry_after_seconds(left), MAX_WAIT_SECONDS)

    def _ranking_query(self, query: UpstreamQuery) -> RankingQuery:
        name = query.route.name
        return RankingQuery(
            query.service,
            query.key,
            query.regions,
            self._transfer_size_of(query),
            name if self._key_ranking.is_moving(name) else '',
        )

    def _available(self, ranked: list[Upstream]) -> list[Upstream]:
        """Leave out upstreams that announced that they accept no requests."""
        notices = self._local_state.notices
        if notices.is_idle:
            return ranked
        return accepting_upstreams(
            [(one, notices.availability(one)) for one in ranked]
        )

    def _transfer_size_of(self, query: UpstreamQuery) -> TransferSize:
        if query.is_large:
            return TransferSize.large
        is_heavy = self.work_of(query.route).is_heavy
        return TransferSize.heavy if is_heavy else TransferSize.light

    def _choose_among(
        self,
        group: list[tuple[int, Upstream]],
        query: UpstreamQuery,
        now: float,
    ) -> Placement | None:
        by_name = {upstream.name: upstream for _, upstream in group}
        candidates = [
            self._candidate(position, upstream, query, now)
            for position, upstream in group
        ]
        request = PlacementRequest(
            self.work_of(query.route).seconds,
            query.queue_share,
            unit_hash(query.request_id),
        )
        choice = choose_by_policy(self._policy, candidates, request)
        if choice is None:
            return None
        upstream = by_name[choice.candidate.name]
        if upstream.is_cold(now):
            self.cold_sends.take(upstream, now)
        self.limited_sends.take(upstream)
        cold_seconds = choice.seconds
        if query.route.is_sticky and not upstream.warm.has(query.key, now):
            cold = replace(choice.candidate, is_warm=False)
            cold_seconds = expected_seconds(cold, request.work)
        return Placement(upstream, choice, len(candidates), cold_seconds, now)

    def _candidate(
        self,
        position: int,
        upstream: Upstream,
        query: UpstreamQuery,
        now: float,
    ) -> Candidate:
        zone = upstream.entry.zone
        slowness = upstream.slowness_now(now)
        if upstream.is_cold(now):
            slowness *= COLD_SLOWNESS
        return Candidate(
            name=upstream.name,
            rank=position,
            round_trip=self._distances.to(zone),
            load=upstream.load(now),
            slots=upstream.entry.slots,
            is_warm=self._is_warm(position, upstream, query, now),
            slowness=slowness,
            transfer_cost=self._transfer_cost(zone, query.body_bytes),
        )

    def _is_warm(
        self,
        position: int,
        upstream: Upstream,
        query: UpstreamQuery,
        now: float,
    ) -> bool:
        """Return whether a key is probably warm at an upstream.

        The preferred upstream counts as warm even if this host has not sent it
        the key, because the other hosts send the key there too. Otherwise each
        host would keep to the upstream that it used first, and one key would
        be warm at many upstreams.
        """
        if position == 0 or not query.route.is_sticky:
            return True
        return upstream.warm.has(query.key, now)

    def _transfer_cost(self, zone: str, body_bytes: int) -> float:
        if zone == self._settings.current.zone:
            return 0.0
        kilobytes = 1 + body_bytes / _KILOBYTE
        if self._settings.current.is_in_region(zone):
            return CROSS_ZONE_SECONDS_PER_KILOBYTE * kilobytes
        return CROSS_REGION_SECONDS_PER_KILOBYTE * kilobytes
