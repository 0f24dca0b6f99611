"""Which upstreams a key belongs to, in order, as this host sees the fleet.

All hosts of a region rank alike without talk, but for what each has seen of
crowded upstreams.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from wardstair.decisions.locality import Kept, RegionPart, near_factor
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.ranking import Nearness, Place, rank
from wardstair.decisions.region_pace import odds_factor
from wardstair.decisions.relief import STEP_SECONDS, Crowd, relieved
from wardstair.gateway.region_moves import RegionMoves
from wardstair.gateway.settings import LiveSettings
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Ranked keys kept; a change of the upstreams or their weights empties the
# table.
MOST_RANKED = 20000
# A load that was told longer ago says nothing of how crowded one is.
CROWD_KEPT_SECONDS = 4.0
# Seven tenths of its keys at most, and not more than the mean work for each
# slot. With 0.85 and 1.3 for heavy requests, and relief also in full services,
# one route of a deployment earned 0.82 of its credit in place of 0.87 on a day
# that began with the loss of a zone's upstreams (one play each). What is
# gained is the way between regions: 40 ms of an objective of 250 ms, and a
# sixth of the bytes on it.
KEPT = Kept(most=0.7, fullness=1.0)
# While a route moves between regions its keys are ranked anew this often.
MOVE_STEP_SECONDS = 0.25


class Haul(Enum):
    """What a request weighs on the way, with factors by place.

    Light ones are ranked almost alike in a whole region: callers move between
    zones, and a zone with one host shares its region's.
    """

    light = Nearness(zone=1.6, region=1.5)
    # Bodies of some kilobytes rather stay in the zone.
    heavy = Nearness(zone=2.4, region=1.0)
    # For an upload of tens of kilobytes the way counts for more than the
    # spread of keys.
    large = Nearness(zone=6.0, region=4.0)


@dataclass(frozen=True, slots=True)
class KeyAsk:
    """What upstreams are ranked for.

    Attributes:
        service: The service.
        key: What the request concerns.
        regions: The only regions that may serve it; empty for all.
        haul: What it weighs on the way.
        route: Its route while that moves between regions, else empty.
    """

    service: str
    key: str
    regions: frozenset[str]
    haul: Haul
    route: str = ''


class Homes:
    """Ranks upstreams for keys; one a process."""

    def __init__(self, settings: LiveSettings, belief: Belief) -> None:
        """Prepare without knowledge.

        Args:
            settings: Settings of this host.
            belief: What this host knows.
        """
        self._settings = settings
        self._belief = belief
        self._ranked: dict[KeyAsk, list[Upstream]] = {}
        self._near: dict[tuple[str, frozenset[str], Haul], Nearness] = {}
        self._moves = RegionMoves()
        self._now = 0.0
        self._moved_at = 0.0
        self._generation = -1
        self._ranked_by = settings.current
        self._stepped_at = 0.0

    def ranked(self, ask: KeyAsk) -> list[Upstream]:
        """Return the upstreams that may serve a key, its home first."""
        self._forget_old()
        known = self._ranked.get(ask)
        if known is None:
            if len(self._ranked) >= MOST_RANKED:
                self._ranked.clear()
            known = self._rank(ask)
            self._ranked[ask] = known
        return known

    def step(self, now: float) -> None:
        """Follow what upstreams have told of their load.

        Args:
            now: Monotonic time in seconds.
        """
        self._now = now
        self._follow_moves()
        if now - self._stepped_at < STEP_SECONDS:
            return
        self._stepped_at = now
        if not self._settings.current.uses(Mechanism.relief):
            return
        by_service: dict[str, list[Upstream]] = {}
        for upstream in self._belief.catalog.upstreams.values():
            is_known = now - upstream.told_at < CROWD_KEPT_SECONDS
            if upstream.takes_work and is_known:
                service = upstream.entry.service
                by_service.setdefault(service, []).append(upstream)
        for upstreams in by_service.values():
            self._relieve(upstreams)

    def forget_ranks(self) -> None:
        """Rank keys anew: the weight of an upstream has changed."""
        self._ranked.clear()

    def is_moving(self, route: str) -> bool:
        """Return whether a route's requests are moving between regions."""
        return self._offset(route) != 0

    def _follow_moves(self) -> None:
        is_new = self._moves.follow(
            self._belief.steering,
            self._region_share,
            self._now,
            self._most_share,
        )
        is_due = self._now - self._moved_at >= MOVE_STEP_SECONDS
        if is_new or (is_due and self._are_moving):
            self._moved_at = self._now
            self._ranked = {
                ask: ranked
                for ask, ranked in self._ranked.items()
                if not ask.route
            }

    @property
    def _are_moving(self) -> bool:
        return self._moves.are_in_progress(self._now, self._most_share)

    @property
    def _most_share(self) -> float:
        return self._settings.current.bounds.shift_share

    def _offset(self, route: str) -> float:
        return self._moves.offset(route, self._now, self._most_share)

    def _region_share(
        self,
        service: str,
        route: SteeredRoute,
    ) -> float | None:
        """Return the share of a service's requests that run in the region."""
        self._forget_old()
        ask = KeyAsk(service, '', route.regions, Haul.light)
        upstreams = self._allowed(ask)
        if not upstreams:
            return None
        return self._share(upstreams, self._nearness(ask, upstreams))

    def _share(self, upstreams: list[Upstream], near: Nearness) -> float:
        own = 0.0
        total = 0.0
        for one in upstreams:
            weight = one.entry.slots * self._factor(one, near)
            total += weight
            if self._settings.current.is_in_region(one.entry.zone):
                own += weight
        return own / total if total else 0.0

    def _forget_old(self) -> None:
        """Drop ranks that were made for other upstreams or settings."""
        generation = self._belief.catalog.generation
        settings = self._settings.current
        if self._generation == generation and self._ranked_by is settings:
            return
        self._generation = generation
        self._ranked_by = settings
        self._ranked.clear()
        self._near.clear()

    def _relieve(self, upstreams: list[Upstream]) -> None:
        by_name = {upstream.name: upstream for upstream in upstreams}
        changed = relieved(
            [
                Crowd(upstream.name, upstream.relief, upstream.crowding)
                for upstream in upstreams
            ]
        )
        for name, weight in changed.items():
            upstream = by_name[name]
            log_event(
                'upstream-relieved',
                upstream=name,
                service=upstream.entry.service,
                crowding=round(upstream.crowding, 2),
                weight=round(weight, 3),
                before=round(upstream.relief, 3),
            )
            upstream.relief = weight
        if changed:
            self._ranked.clear()

    def _allowed(self, ask: KeyAsk) -> list[Upstream]:
        return [
            upstream
            for upstream in self._belief.catalog.of_service(ask.service)
            if self._is_allowed(ask.regions, upstream)
        ]

    def _rank(self, ask: KeyAsk) -> list[Upstream]:
        upstreams = self._allowed(ask)
        nearness = self._nearness(ask, upstreams)
        offset = self._offset(ask.route)
        if offset:
            factor = odds_factor(self._share(upstreams, nearness), offset)
            nearness = Nearness(
                nearness.zone * factor, nearness.region * factor
            )
        by_name = {upstream.name: upstream for upstream in upstreams}
        return self._order(ask.key, by_name, nearness)

    def _order(
        self,
        key: str,
        by_name: dict[str, Upstream],
        nearness: Nearness,
    ) -> list[Upstream]:
        places = [
            Place(
                name,
                upstream.entry.slots
                * upstream.relief
                * upstream.drawn
                * self._factor(upstream, nearness),
            )
            for name, upstream in by_name.items()
        ]
        return [by_name[name] for name in rank(key, places)]

    def _is_allowed(self, regions: frozenset[str], upstream: Upstream) -> bool:
        zone = upstream.entry.zone
        if zone in self._belief.evacuated:
            return False
        if not regions:
            return True
        return self._settings.current.zones.get(zone) in regions

    def _nearness(self, ask: KeyAsk, upstreams: list[Upstream]) -> Nearness:
        """Return the factors for one kind of request."""
        plain: Nearness = ask.haul.value
        uses = self._settings.current.uses(Mechanism.near_homes)
        if not uses or ask.haul is Haul.large:
            return plain
        name = (ask.service, ask.regions, ask.haul)
        known = self._near.get(name)
        if known is None:
            factor = near_factor(
                self._parts(upstreams),
                self._settings.current.region,
                KEPT,
            )
            factor *= self._zone_correction(plain, upstreams)
            ratio = plain.zone / plain.region
            known = Nearness(factor * ratio, factor)
            self._near[name] = known
        return known

    def _zone_correction(
        self,
        plain: Nearness,
        upstreams: list[Upstream],
    ) -> float:
        """Return what keeps the region's weight as it is, whatever the zone's.

        The own zone weighs more than the others of its region, and these as
        much less as makes up for it.
        """
        region = 0.0
        weighted = 0.0
        for upstream in upstreams:
            zone = upstream.entry.zone
            if not self._settings.current.is_in_region(zone):
                continue
            is_own = zone == self._settings.current.zone
            ratio = plain.zone / plain.region if is_own else 1.0
            region += upstream.entry.slots
            weighted += upstream.entry.slots * ratio
        return region / weighted if weighted else 1.0

    def _parts(self, upstreams: list[Upstream]) -> dict[str, RegionPart]:
        """Return what each region has of the slots and of the callers."""
        regions = self._settings.current.zones
        slots = Counter[str]()
        for upstream in upstreams:
            slots[regions.get(upstream.entry.zone, '')] += upstream.entry.slots
        # Zones stand for callers: no host sees what arrives in all regions.
        zones = Counter(regions.values())
        return {
            region: RegionPart(
                slots[region] / max(1, slots.total()),
                count / zones.total(),
            )
            for region, count in zones.items()
        }

    def _factor(self, upstream: Upstream, nearness: Nearness) -> float:
        zone = upstream.entry.zone
        if zone == self._settings.current.zone:
            return nearness.zone
        if self._settings.current.is_in_region(zone):
            return nearness.region
        return nearness.far
