"""Ranks the upstreams of a service for an affinity key.

All hosts of a region compute the same ranking without communicating, except
for the weights that each of them lowers for overloaded upstreams.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from wardstair.decisions.locality import (
    LocalityTarget,
    RegionShare,
    local_weight_factor,
)
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.ranking import ProximityFactors, WeightedUpstream, rank
from wardstair.decisions.rebalancing import (
    WEIGHT_STEP_SECONDS,
    UpstreamUtilization,
    rebalanced_weights,
)
from wardstair.decisions.region_moves import odds_factor
from wardstair.gateway.region_moves import RegionMoves
from wardstair.gateway.rollouts import RolloutGate
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event
from wardstair.state.local_state import LocalState
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Number of rankings cached. A change of the upstreams or of their weights
# clears the cache.
MAX_RANKINGS = 20000
# Load reports older than this are not used to detect overload.
MAX_LOAD_AGE_SECONDS = 4.0
# A region keeps at most seven tenths of its keys, and no more work for each
# slot than the mean. With 0.85 and 1.3 for heavy requests, together with
# rebalancing in full services, one route was served worse after the loss of a
# zone's upstreams. A key kept in its region saves the transfer between regions:
# 40 ms of an objective of 250 ms, and a sixth of the bytes sent between
# regions.
LOCAL_KEY_LIMITS = LocalityTarget(max_kept=0.7, max_relative_load=1.0)
# Interval at which the keys of a route that moves between regions are ranked
# again.
REGION_MOVE_STEP_SECONDS = 0.25


class TransferSize(Enum):
    """Transfer size of a request, with weight factors by proximity.

    For light requests the own zone weighs little more than its region: callers
    move between zones, and a zone with a single host shares the upstreams of
    its region.
    """

    light = ProximityFactors(zone=1.6, region=1.5)
    # Bodies of a few kilobytes preferably stay in the zone.
    heavy = ProximityFactors(zone=2.4, region=1.0)
    # For an upload of tens of kilobytes the distance matters more than
    # spreading keys evenly.
    large = ProximityFactors(zone=6.0, region=4.0)


@dataclass(frozen=True, slots=True)
class RankingQuery:
    """What upstreams are ranked for.

    Attributes:
        service: The service.
        key: Affinity key of the request.
        regions: The only regions that may serve the request; empty for all.
        transfer_size: Transfer size of the request.
        route: Name of the route while it moves between regions, else empty.
    """

    service: str
    key: str
    regions: frozenset[str]
    transfer_size: TransferSize
    route: str = ''


class KeyRanking:
    """Ranks upstreams for keys; one per process."""

    def __init__(
        self,
        settings: LiveSettings,
        local_state: LocalState,
        rollouts: RolloutGate | None = None,
    ) -> None:
        """Create an empty ranking.

        Args:
            settings: Settings of this host.
            local_state: State known to this host.
            rollouts: Bars upstreams by their versions; None to bar none.
        """
        self._rollouts = rollouts or RolloutGate()
        self._settings = settings
        self._local_state = local_state
        self._ranked: dict[RankingQuery, list[Upstream]] = {}
        self._proximity: dict[
            tuple[str, frozenset[str], TransferSize], ProximityFactors
        ] = {}
        self._region_moves = RegionMoves()
        self._now = 0.0
        self._moved_at = 0.0
        self._generation = (-1, -1)
        self._ranked_settings = settings.current
        self._rebalanced_at = 0.0

    def ranked(self, query: RankingQuery) -> list[Upstream]:
        """Return the upstreams that may serve a key, the preferred one first.

        Args:
            query: What upstreams are ranked for.
        """
        self._drop_outdated()
        known = self._ranked.get(query)
        if known is None:
            if len(self._ranked) >= MAX_RANKINGS:
                self._ranked.clear()
            known = self._rank(query)
            self._ranked[query] = known
        return known

    def step(self, now: float) -> None:
        """Update the weights from the loads that upstreams have reported.

        Args:
            now: Monotonic time in seconds.
        """
        self._now = now
        self._update_region_moves()
        if now - self._rebalanced_at < WEIGHT_STEP_SECONDS:
            return
        self._rebalanced_at = now
        if not self._settings.current.uses(Mechanism.rebalancing):
            return
        by_service: dict[str, list[Upstream]] = {}
        for upstream in self._local_state.catalog.upstreams.values():
            is_known = now - upstream.reported_at < MAX_LOAD_AGE_SECONDS
            if upstream.takes_work and is_known:
                service = upstream.entry.service
                by_service.setdefault(service, []).append(upstream)
        for upstreams in by_service.values():
            self._rebalance(upstreams)

    def clear_rankings(self) -> None:
        """Drop all rankings because the weight of an upstream has changed."""
        self._ranked.clear()

    def is_moving(self, route: str) -> bool:
        """Return whether a route's requests are moving between regions."""
        return self._offset(route) != 0

    def _update_region_moves(self) -> None:
        is_new = self._region_moves.follow(
            self._local_state.steering,
            self._service_share,
            self._now,
            self._max_shift_share,
        )
        is_due = self._now - self._moved_at >= REGION_MOVE_STEP_SECONDS
        if is_new or (is_due and self._is_any_moving):
            self._moved_at = self._now
            self._ranked = {
                query: ranked
                for query, ranked in self._ranked.items()
                if not query.route
            }

    @property
    def _is_any_moving(self) -> bool:
        return self._region_moves.are_in_progress(
            self._now, self._max_shift_share
        )

    @property
    def _max_shift_share(self) -> float:
        return self._settings.current.bounds.shift_share

    def _offset(self, route: str) -> float:
        return self._region_moves.offset(
            route, self._now, self._max_shift_share
        )

    def _service_share(
        self,
        service: str,
        route: SteeredRoute,
    ) -> float | None:
        """Return the share of a service's requests sent within the region."""
        self._drop_outdated()
        query = RankingQuery(service, '', route.regions, TransferSize.light)
        upstreams = self._permitted(query)
        if not upstreams:
            return None
        return self._own_region_share(
            upstreams, self._proximity_factors(query, upstreams)
        )

    def _own_region_share(
        self,
        upstreams: list[Upstream],
        factors: ProximityFactors,
    ) -> float:
        own = 0.0
        total = 0.0
        for one in upstreams:
            weight = one.entry.slots * self._proximity_factor(one, factors)
            total += weight
            if self._settings.current.is_in_region(one.entry.zone):
                own += weight
        return own / total if total else 0.0

    def _drop_outdated(self) -> None:
        """Drop rankings computed for other upstreams or settings."""
        generation = (
            self._local_state.catalog.generation,
            self._rollouts.generation,
        )
        settings = self._settings.current
        if self._generation == generation and self._ranked_settings is settings:
            return
        self._generation = generation
        self._ranked_settings = settings
        self._ranked.clear()
        self._proximity.clear()

    def _rebalance(self, upstreams: list[Upstream]) -> None:
        by_name = {upstream.name: upstream for upstream in upstreams}
        changed = rebalanced_weights(
            [
                UpstreamUtilization(
                    upstream.name,
                    upstream.rebalance_factor,
                    upstream.utilization,
                )
                for upstream in upstreams
            ]
        )
        for name, weight in changed.items():
            upstream = by_name[name]
            log_event(
                'upstream-relieved',
                upstream=name,
                service=upstream.entry.service,
                crowding=round(upstream.utilization, 2),
                weight=round(weight, 3),
                before=round(upstream.rebalance_factor, 3),
            )
            upstream.rebalance_factor = weight
        if changed:
            self._ranked.clear()

    def _permitted(self, query: RankingQuery) -> list[Upstream]:
        return [
            upstream
            for upstream in self._local_state.catalog.of_service(query.service)
            if self._is_permitted(query.regions, upstream)
        ]

    def _rank(self, query: RankingQuery) -> list[Upstream]:
        upstreams = self._permitted(query)
        factors = self._proximity_factors(query, upstreams)
        offset = self._offset(query.route)
        if offset:
            factor = odds_factor(
                self._own_region_share(upstreams, factors), offset
            )
            factors = ProximityFactors(
                factors.zone * factor, factors.region * factor
            )
        by_name = {upstream.name: upstream for upstream in upstreams}
        return self._order(query.key, by_name, factors)

    def _order(
        self,
        key: str,
        by_name: dict[str, Upstream],
        factors: ProximityFactors,
    ) -> list[Upstream]:
        places = [
            WeightedUpstream(
                name,
                upstream.entry.slots
                * upstream.rebalance_factor
                * upstream.weight_factor
                * self._proximity_factor(upstream, factors),
            )
            for name, upstream in by_name.items()
        ]
        return [by_name[name] for name in rank(key, places)]

    def _is_permitted(
        self,
        regions: frozenset[str],
        upstream: Upstream,
    ) -> bool:
        zone = upstream.entry.zone
        if zone in self._local_state.evacuated:
            return False
        if self._rollouts.is_barred(upstream.entry):
            return False
        if not regions:
            return True
        return self._settings.current.zones.get(zone) in regions

    def _proximity_factors(
        self,
        query: RankingQuery,
        upstreams: list[Upstream],
    ) -> ProximityFactors:
        """Return the proximity factors for one kind of request."""
        base: ProximityFactors = query.transfer_size.value
        uses = self._settings.current.uses(Mechanism.near_preferred)
        if not uses or query.transfer_size is TransferSize.large:
            return base
        name = (query.service, query.regions, query.transfer_size)
        known = self._proximity.get(name)
        if known is None:
            factor = local_weight_factor(
                self._region_shares(upstreams),
                self._settings.current.region,
                LOCAL_KEY_LIMITS,
            )
            factor *= self._zone_correction(base, upstreams)
            ratio = base.zone / base.region
            known = ProximityFactors(factor * ratio, factor)
            self._proximity[name] = known
        return known

    def _zone_correction(
        self,
        base: ProximityFactors,
        upstreams: list[Upstream],
    ) -> float:
        """Return the factor that keeps the total weight of the own region.

        The own zone weighs more than the others of its region; the factor
        lowers all of them by as much.
        """
        region = 0.0
        weighted = 0.0
        for upstream in upstreams:
            zone = upstream.entry.zone
            if not self._settings.current.is_in_region(zone):
                continue
            is_own = zone == self._settings.current.zone
            ratio = base.zone / base.region if is_own else 1.0
            region += upstream.entry.slots
            weighted += upstream.entry.slots * ratio
        return region / weighted if weighted else 1.0

    def _region_shares(
        self,
        upstreams: list[Upstream],
    ) -> dict[str, RegionShare]:
        """Return each region's share of the slots and of the callers."""
        regions = self._settings.current.zones
        slots = Counter[str]()
        for upstream in upstreams:
            slots[regions.get(upstream.entry.zone, '')] += upstream.entry.slots
        # Estimate callers by the number of zones, as no host sees the requests
        # that arrive in other regions.
        zones = Counter(regions.values())
        return {
            region: RegionShare(
                slots[region] / max(1, slots.total()),
                count / zones.total(),
            )
            for region, count in zones.items()
        }

    def _proximity_factor(
        self, upstream: Upstream, factors: ProximityFactors
    ) -> float:
        zone = upstream.entry.zone
        if zone == self._settings.current.zone:
            return factors.zone
        if self._settings.current.is_in_region(zone):
            return factors.region
        return factors.far
