"""Finds the upstream for a request from what this host knows now."""

import time
from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum

from wardstair.decisions.cold import HostView
from wardstair.decisions.fleet_rate import LoadView
from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.notices import (
    Standing,
    return_after,
    shortest_pause,
    willing,
)
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
from wardstair.decisions.ranking import unit_hash
from wardstair.decisions.route_work import RouteWork
from wardstair.gateway.cold_sends import ColdSends
from wardstair.gateway.distances import Distances
from wardstair.gateway.homes import Haul, Homes, KeyAsk
from wardstair.gateway.limited_sends import MAX_WAIT_SECONDS, LimitedSends
from wardstair.gateway.settings import LiveSettings
from wardstair.gateway.splitting import Splits
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.upstream import Upstream
from wardstair.version.steering import SteeredRoute

# Bodies from here on make the way to an upstream count for more than the
# spread of keys: uploads have tens of kilobytes.
LARGE_BYTES = 16384
# What moving a kilobyte costs, as seconds of delay that would be as bad:
# between zones about 0.011 and between regions 0.028 of a small request's
# worth, which loses four fifths of its worth when it is half a second late.
ZONE_SECONDS_A_KILOBYTE = 0.003
REGION_SECONDS_A_KILOBYTE = 0.006
_KILOBYTE = 1024
# Part of a service's upstreams that slowness alone does not take out.
LEAST_USABLE_SHARE = 0.6
# A cold upstream works about twice as long on everything.
COLD_SLOWNESS = 2.0


class ColdReason(StrEnum):
    """Why an upstream is taken for cold though its entry does not say so."""

    # It refused a connection of this host, and no other is open.
    refused = 'refused'
    # This host or another found that it has ended.
    ended = 'ended'


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
        regions: The only regions that may serve it; empty for all.
        tried: Names of upstreams that it must not go to again.
        seconds_left: How long its caller will wait.
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
        own = settings.current
        self.view = HostView.unsettled(own.name, own.zone)
        self._settings = settings
        self._belief = belief
        self._distances = distances
        self._homes = Homes(settings, belief)
        self.cold_sends = ColdSends(settings, belief, lambda: self.view)
        self.load_view = LoadView(own.name, own.zone)
        self.limited_sends = LimitedSends(
            belief.limits,
            lambda: self.load_view,
        )
        self.splits = Splits()
        self.assumed_cold = Counter[ColdReason]()
        self._work: dict[str, RouteWork] = {}

    @property
    def _policy(self) -> PlacementPolicy:
        return self._settings.current.placement

    def service_of(self, route: SteeredRoute, key: str) -> str:
        """Return the service for a request; a split route's by weight."""
        return self.splits.service_of(route, key)

    def work_of(self, route: SteeredRoute) -> RouteWork:
        """Return the usual work of a route."""
        known = self._work.get(route.name)
        if known is None:
            # Half of the objective, until answers tell.
            known = RouteWork(route.objective / 2)
            self._work[route.name] = known
        return known

    def suspect_new_life(
        self,
        upstream: Upstream,
        reason: ColdReason,
        now: float,
    ) -> None:
        """Take whoever listens where nobody did for cold, until it is told.

        Where a service states no rate for cold upstreams they get nothing, so
        there it would only take the upstream out.
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
                upstream.suspect_restart(now)
            case ColdReason.ended:
                upstream.suspect_new_life(now)

    def choose(self, ask: Ask) -> Placement | None:
        """Choose an upstream for one send, or None if there is no room."""
        now = time.monotonic()
        self._homes.step(now)
        self._step_limits(now)
        for group in self._groups(ask, now):
            placed = self._choose_among(group, ask, now)
            if placed is not None:
                return placed
        return None

    def limit_wait(self, ask: Ask) -> float | None:
        """Return when limits allow more, in seconds.

        Returns:
            The time; None if it is not limits alone that leave no room.
        """
        if self.limited_sends.is_idle:
            return None
        ranked = self.ranked(ask)
        if not ranked or not all(map(self.limited_sends.is_limited, ranked)):
            return None
        return self.limited_sends.wait(
            ranked,
            self.view.fleet_size if self.view.is_settled else 1,
            ask.seconds_left,
            time.monotonic(),
        )

    def _step_limits(self, now: float) -> None:
        if self.limited_sends.is_idle:
            return
        upstreams = self._belief.catalog.upstreams.values()
        if self.limited_sends.step(upstreams, now):
            self._homes.forget_ranks()

    def _within_limits(
        self,
        ranked: list[Upstream],
        ask: Ask,
        now: float,
    ) -> list[Upstream]:
        """Return those that may get a request from here now."""
        limited = self.limited_sends
        if limited.is_idle or not ranked:
            return ranked
        if not ask.tried:
            limited.note_first_choice(ranked[0])
        return [one for one in ranked if limited.may_send(one, now)]

    def _groups(self, ask: Ask, now: float) -> list[list[tuple[int, Upstream]]]:
        """Return upstreams with their ranks, in groups to be looked at.

        Whoever is avoided has no rank: the next one is the home meanwhile.
        """
        ranked = [
            upstream
            for upstream in self._within_limits(self.ranked(ask), ask, now)
            if not upstream.is_cold(now)
            or self.cold_sends.may_send(upstream, now)
        ]
        ranked = self._within_reach(ranked)
        usable = [one for one in ranked if not self._avoids(one, now)]
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

    def _within_reach(self, ranked: list[Upstream]) -> list[Upstream]:
        """Leave out zones of which no upstream is reached, unless all are."""
        reach = self._belief.reach
        if reach.is_sound:
            return ranked
        reached = [
            one for one in ranked if not reach.is_zone_lost(one.entry.zone)
        ]
        return reached or ranked

    def is_within_reach(self, ask: Ask) -> bool:
        """Return whether any upstream for a request may be within reach."""
        reach = self._belief.reach
        if reach.is_sound:
            return True
        return reach.may_reach(ask.service) and not all(
            reach.is_zone_lost(one.entry.zone) for one in self.ranked(ask)
        )

    def _avoids(self, upstream: Upstream, now: float) -> bool:
        if self._settings.current.uses(Mechanism.ejection):
            return upstream.is_avoided(now)
        return now < upstream.distrusted_until

    def ranked(self, ask: Ask) -> list[Upstream]:
        """Return the upstreams that may serve a request, its home first."""
        return self._willing(self._homes.ranked(self._key_ask(ask)))

    def have_all_left(self, ask: Ask) -> bool:
        """Return whether all upstreams for a request take nothing more."""
        notices = self._belief.notices
        ranked = self._homes.ranked(self._key_ask(ask))
        return bool(ranked) and all(
            notices.standing(one) is Standing.closed for one in ranked
        )

    def pause_wait(self, ask: Ask) -> float | None:
        """Return when a caller should come back after pauses, in seconds.

        Returns:
            The time; None if it is not pauses alone that leave no upstream.
        """
        notices = self._belief.notices
        if notices.is_idle or self.ranked(ask):
            return None
        ranked = self._homes.ranked(self._key_ask(ask))
        left = shortest_pause(map(notices.notice_of, ranked), time.monotonic())
        if left is None:
            return None
        return min(return_after(left), MAX_WAIT_SECONDS)

    def _key_ask(self, ask: Ask) -> KeyAsk:
        name = ask.route.name
        return KeyAsk(
            ask.service,
            ask.key,
            ask.regions,
            self._haul_of(ask),
            name if self._homes.is_moving(name) else '',
        )

    def _willing(self, ranked: list[Upstream]) -> list[Upstream]:
        """Leave out those whose answers have said that they take no more."""
        notices = self._belief.notices
        if notices.is_idle:
            return ranked
        return willing([(one, notices.standing(one)) for one in ranked])

    def _haul_of(self, ask: Ask) -> Haul:
        if ask.is_large:
            return Haul.large
        is_heavy = self.work_of(ask.route).is_heavy
        return Haul.heavy if is_heavy else Haul.light

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
            self.cold_sends.take(upstream, now)
        self.limited_sends.take(upstream)
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
