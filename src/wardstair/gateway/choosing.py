"""Finds the upstream for a request from what this host knows now."""

import time
from dataclasses import dataclass, replace

from wardstair.decisions.cold import HostView, Pace, sender_rate
from wardstair.decisions.placement import (
    Candidate,
    Choice,
    expected_seconds,
)
from wardstair.decisions.placement_policies import (
    PlacementAsk,
    PlacementPolicy,
    WarmHome,
    choose_by,
)
from wardstair.decisions.ranking import Nearness, Place, rank, unit_hash
from wardstair.decisions.split import SplitTally
from wardstair.gateway.distances import Distances
from wardstair.gateway.settings import LiveSettings
from wardstair.state.belief import Belief
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Bodies from here on make the way to an upstream count for more than the
# spread of keys: uploads have tens of kilobytes.
LARGE_BYTES = 16384
# Kilobytes there and back from which a route's requests rather stay in the
# zone. Below that it pays more that all hosts agree on the home of a key:
# callers move between zones, and a zone with one host shares its region's.
HEAVY_KILOBYTES = 4.0
LIGHT_NEARNESS = Nearness(zone=1.6, region=1.5)
HEAVY_NEARNESS = Nearness(zone=2.4, region=1.0)
LARGE_NEARNESS = Nearness(zone=6.0, region=4.0)
# Heads of a request and its answer together.
_HEAD_KILOBYTES = 0.7
# What moving a kilobyte costs, as seconds of delay that would be as bad:
# between zones about 0.011 and between regions 0.028 of a small request's
# worth, which loses four fifths of its worth when it is half a second late.
ZONE_SECONDS_A_KILOBYTE = 0.003
REGION_SECONDS_A_KILOBYTE = 0.006
_KILOBYTE = 1024
# Part of a service's upstreams that slowness alone does not take out.
LEAST_USABLE_SHARE = 0.6
# Ranked keys kept; an upstream's change empties the table.
MOST_RANKED = 20000
# A cold upstream works about twice as long on everything.
COLD_SLOWNESS = 2.0
# How fast the usual work of a route follows shorter and longer answers.
_DOWN_SHARE = 0.1
_SIZE_SHARE = 0.05
_UP_SHARE = 0.03


@dataclass(slots=True)
class RouteWork:
    """What the requests of a route usually take, averaged.

    Attributes:
        seconds: Work on a key that is warm.
        kilobytes: Bytes there and back, heads included.
    """

    seconds: float
    kilobytes: float = 0.0

    @property
    def is_heavy(self) -> bool:
        """Whether its requests rather stay in the zone."""
        return self.kilobytes >= HEAVY_KILOBYTES

    def note_size(self, body_bytes: int) -> None:
        """Take in the bytes of both bodies of a request."""
        size = _HEAD_KILOBYTES + body_bytes / _KILOBYTE
        if not self.kilobytes:
            self.kilobytes = size
        self.kilobytes += _SIZE_SHARE * (size - self.kilobytes)

    def note(self, seconds: float) -> None:
        """Take in the time of one answer without the way.

        Slow answers count for less: among those on warm keys are some whose
        key was displaced meanwhile.
        """
        share = _DOWN_SHARE if seconds < self.seconds else _UP_SHARE
        self.seconds += share * (max(seconds, 0.001) - self.seconds)


@dataclass(frozen=True, slots=True)
class Ask:
    """What an upstream is wanted for.

    Attributes:
        route: The request's route.
        service: The service chosen for it.
        key: What it concerns.
        request_id: Names this try of the caller.
        body_bytes: Size of its body.
        queue_share: Requests above its slots that an upstream may have, as a
            share of the slots.
        tried: Names of upstreams that it must not go to again.
    """

    route: SteeredRoute
    service: str
    key: str
    request_id: str
    body_bytes: int
    queue_share: float
    tried: frozenset[str] = frozenset()

    @property
    def is_large(self) -> bool:
        """Whether the way of the body counts for more than warmth."""
        return self.body_bytes >= LARGE_BYTES


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream chosen for one send.

    Attributes:
        upstream: The upstream.
        choice: Why, with the expected time.
        choices: How many could have been chosen.
        longest: Expected seconds if the upstream does not remember the key
            after all; as expected if this host has seen that it does.
    """

    upstream: Upstream
    choice: Choice
    choices: int
    longest: float


class Chooser:
    """Chooses upstreams; one a process."""

    def __init__(
        self,
        settings: LiveSettings,
        belief: Belief,
        distances: Distances,
    ) -> None:
        """Prepare without knowledge.

        Args:
            settings: Settings of this host.
            belief: What this host knows.
            distances: Round trips to zones.
        """
        own = settings.current.name
        zone = settings.current.zone
        self.view = HostView(own, zone, (own,), 1, 1)
        self._settings = settings
        self._belief = belief
        self._distances = distances
        self._ranked: dict[
            tuple[str, str, Nearness, frozenset[str]], list[Upstream]
        ] = {}
        self._generation = -1
        self._paces: dict[str, Pace] = {}
        self._splits: dict[str, SplitTally] = {}
        self._work: dict[str, RouteWork] = {}

    @property
    def _policy(self) -> PlacementPolicy:
        return self._settings.current.placement

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request; a split route's by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        shares = [
            (share.service, share.weight)
            for share in route.shares
            if share.weight > 0
        ]
        tally = self._splits.setdefault(route.name, SplitTally())
        return tally.choose(key, shares)

    def work_of(self, route: SteeredRoute) -> RouteWork:
        """Return the usual work of a route."""
        known = self._work.get(route.name)
        if known is None:
            # Half of the objective, until answers tell.
            known = RouteWork(route.objective / 2)
            self._work[route.name] = known
        return known

    def choose(self, ask: Ask) -> Placement | None:
        """Choose an upstream for one send, or None if there is no room."""
        now = time.monotonic()
        for group in self._groups(ask, now):
            placed = self._choose_among(group, ask, now)
            if placed is not None:
                return placed
        return None

    def _groups(self, ask: Ask, now: float) -> list[list[tuple[int, Upstream]]]:
        """Return upstreams with their ranks, in groups to be looked at.

        Whoever is avoided has no rank: the next one is the home meanwhile.
        """
        ranked = [
            upstream
            for upstream in self.ranked(ask)
            if not (upstream.is_cold(now) and not self._bears(upstream, now))
        ]
        usable = [one for one in ranked if not one.is_avoided(now)]
        if len(usable) < len(ranked) * LEAST_USABLE_SHARE:
            # So many cannot all be worse than the others.
            usable = [one for one in ranked if now >= one.distrusted_until]
        # Rather one that failed lately than none.
        usable = usable or ranked
        numbered = [
            (position, upstream)
            for position, upstream in enumerate(usable)
            if upstream.name not in ask.tried
        ]
        match self._policy:
            case WarmHome(first_ranks=first):
                return [numbered[:first], numbered[first:]]
            case _:
                return [numbered]

    def ranked(self, ask: Ask) -> list[Upstream]:
        """Return the upstreams that may serve a key, its home first."""
        catalog = self._belief.catalog
        if self._generation != catalog.generation:
            self._generation = catalog.generation
            self._ranked.clear()
        nearness = self._nearness_of(ask)
        name = (ask.service, ask.key, nearness, ask.route.regions)
        known = self._ranked.get(name)
        if known is None:
            if len(self._ranked) >= MOST_RANKED:
                self._ranked.clear()
            known = self._rank(ask, nearness)
            self._ranked[name] = known
        return known

    def _nearness_of(self, ask: Ask) -> Nearness:
        if ask.is_large:
            return LARGE_NEARNESS
        is_heavy = self.work_of(ask.route).is_heavy
        return HEAVY_NEARNESS if is_heavy else LIGHT_NEARNESS

    def _rank(self, ask: Ask, nearness: Nearness) -> list[Upstream]:
        by_name = {
            upstream.name: upstream
            for upstream in self._belief.catalog.of_service(ask.service)
            if self._is_allowed(ask.route, upstream)
        }
        places = [
            Place(
                name,
                upstream.entry.slots * self._nearness(upstream, nearness),
            )
            for name, upstream in by_name.items()
        ]
        return [by_name[name] for name in rank(ask.key, places)]

    def _is_allowed(self, route: SteeredRoute, upstream: Upstream) -> bool:
        zone = upstream.entry.zone
        if zone in self._belief.evacuated:
            return False
        if not route.regions:
            return True
        return self._settings.current.zones.get(zone) in route.regions

    def _nearness(self, upstream: Upstream, nearness: Nearness) -> float:
        zone = upstream.entry.zone
        if zone == self._settings.current.zone:
            return nearness.zone
        if self._settings.current.is_in_region(zone):
            return nearness.region
        return nearness.far

    def _bears(self, upstream: Upstream, now: float) -> bool:
        """Return whether a cold upstream bears a request from here now."""
        is_due = self._pace_of(upstream).is_due(now)
        return is_due and self._cold_rate(upstream) > 0

    def _choose_among(
        self,
        group: list[tuple[int, Upstream]],
        ask: Ask,
        now: float,
    ) -> Placement | None:
        by_name = {upstream.name: upstream for _, upstream in group}
        candidates = [
            self._candidate(position, upstream, ask, now)
            for position, upstream in group
        ]
        asked = PlacementAsk(
            self.work_of(ask.route).seconds,
            ask.queue_share,
            unit_hash(ask.request_id),
        )
        choice = choose_by(self._policy, candidates, asked)
        if choice is None:
            return None
        upstream = by_name[choice.candidate.name]
        if upstream.is_cold(now):
            self._pace_of(upstream).take(self._cold_rate(upstream), now)
        longest = choice.seconds
        if ask.route.is_sticky and not upstream.warm.has(ask.key, now):
            cold = replace(choice.candidate, is_warm=False)
            longest = expected_seconds(cold, asked.work)
        return Placement(upstream, choice, len(candidates), longest)

    def _candidate(
        self,
        position: int,
        upstream: Upstream,
        ask: Ask,
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
            is_warm=self._is_warm(position, upstream, ask, now),
            slowness=slowness,
            transfer_cost=self._transfer_cost(zone, ask.body_bytes),
        )

    def _is_warm(
        self,
        position: int,
        upstream: Upstream,
        ask: Ask,
        now: float,
    ) -> bool:
        """Return whether an upstream probably remembers a key.

        The home counts as warm whatever this host has seen: the other hosts
        send the key there too, and a fleet whose hosts each keep to where
        they were once makes many upstreams warm for one key.
        """
        if position == 0 or not ask.route.is_sticky:
            return True
        return upstream.warm.has(ask.key, now)

    def _transfer_cost(self, zone: str, body_bytes: int) -> float:
        if zone == self._settings.current.zone:
            return 0.0
        kilobytes = 1 + body_bytes / _KILOBYTE
        if self._settings.current.is_in_region(zone):
            return ZONE_SECONDS_A_KILOBYTE * kilobytes
        return REGION_SECONDS_A_KILOBYTE * kilobytes

    def _cold_rate(self, upstream: Upstream) -> float:
        steering = self._belief.steering
        if steering is None:
            return 0.0
        service = steering.services.get(upstream.entry.service)
        if service is None:
            return 0.0
        return sender_rate(
            upstream.name,
            upstream.entry.zone,
            service.cold_rate,
            self.view,
        )

    def _pace_of(self, upstream: Upstream) -> Pace:
        return self._paces.setdefault(upstream.name, Pace())

    def forget(self, names: set[str]) -> None:
        """Drop what is kept for upstreams that are gone.

        Args:
            names: Names of the upstreams that are still there.
        """
        for name in self._paces.keys() - names:
            self._paces.pop(name)
