"""How much of a region's requests moves to another region at a change.

Operators bound the part that moves from one window of two seconds to the next
at 0.15. Where a key's home lies follows from the same slots before and after
most changes, so hardly anything moves; a route that gets other services moves
in steps.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import gateway_settings
from lib.specs import configuration_spec, route_spec
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.region_pace import WINDOW_SECONDS
from wardstair.decisions.relief import STEP_SECONDS
from wardstair.decisions.split import SplitTally
from wardstair.gateway.homes import Haul, Homes, KeyAsk
from wardstair.gateway.region_moves import RegionMoves
from wardstair.gateway.settings import Bounds, LiveSettings
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.state.belief import Belief
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.version.steering import SteeredRoute

MOST_MOVED = 0.15
REGIONS = ('north', 'south', 'west')
ZONES = {f'{region}-{zone}': region for region in REGIONS for zone in 'abc'}
# Upstreams of each zone by service: alike, and as uneven as a third to one.
SERVICES = {
    'views': dict.fromkeys(ZONES, 12),
    'orders': {
        zone: {'north': 6, 'south': 4, 'west': 2}[region]
        for zone, region in ZONES.items()
    },
}
KEYS = [f'key {number}' for number in range(800)]
WEIGHTS = {'views': 0.9, 'orders': 0.1}

Change = Callable[['Region'], None]


class Region:
    """The requests of one region, by the region in which they run."""

    def __init__(self, name: str) -> None:
        self.clock = Clock()
        self.belief = Belief(self.clock, Catalog(self.clock))
        own = gateway_settings(1, bounds=Bounds(shift_share=MOST_MOVED))
        self.live = LiveSettings(replace(own, zone=f'{name}-a', zones=ZONES))
        self.homes = Homes(self.live, self.belief)
        self.version = 0
        self.steer(WEIGHTS)
        self.entries = [
            replace(ENTRY, name=f'{service}-{zone}-{n}', service=service)
            for service, zones in SERVICES.items()
            for zone, amount in zones.items()
            for n in range(amount)
        ]
        self.entries = [
            replace(one, zone=one.name.partition('-')[2].rpartition('-')[0])
            for one in self.entries
        ]
        self.adopt(self.entries)

    def steer(self, weights: Mapping[str, float]) -> None:
        """Bring a version in force whose one route has these weights."""
        self.version += 1
        backends = [
            {'service': service, 'weight': weight}
            for service, weight in weights.items()
        ]
        route = route_spec('/read/', 'safe', service=None, backends=backends)
        stored = StoredObject(
            metadata=Metadata(name='main', revision=self.version),
            spec=configuration_spec(self.version, read=route),
        )
        assert self.belief.offer_configuration(stored, 'test')

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.now += seconds
        self.homes.step(self.clock.now)

    def adopt(self, entries: list[UpstreamEntry]) -> None:
        """Replace what the catalog holds."""
        revision = self.belief.catalog.revision.number + 1
        catalog = self.belief.catalog
        catalog.replace_all(entries, at(revision), store_was_away=False)

    def shares(self) -> dict[str, float]:
        """Return the part of its requests that runs in each region."""
        self.homes.step(self.clock.now)
        steering = self.belief.steering
        assert steering is not None
        route = steering.routes[0]
        weights = [(one.service, one.weight) for one in route.shares]
        tally = SplitTally()
        ran = Counter[str]()
        for key in KEYS:
            service = tally.choose(key, weights)
            moving = route.name if self.homes.is_moving(route.name) else ''
            ask = KeyAsk(service, key, frozenset(), Haul.light, moving)
            home = self.homes.ranked(ask)[0]
            ran[ZONES[home.entry.zone]] += 1
        return {region: ran[region] / len(KEYS) for region in REGIONS}


def no_change(_region: Region) -> None:
    """Change nothing."""


def swap_weights(region: Region) -> None:
    """Turn the parts of the split route round."""
    region.steer({'views': 0.1, 'orders': 0.9})


def drain_release(region: Region) -> None:
    """Let a tenth of the upstreams leave, as a release does in two seconds."""
    region.adopt(
        [
            replace(one, phase=UpstreamPhase.draining) if n % 10 == 0 else one
            for n, one in enumerate(region.entries)
        ]
    )


def crowd(region: Region) -> None:
    """Let a fifth of the upstreams look crowded for two steps of relief."""
    for _ in range(2):
        region.clock.now += STEP_SECONDS
        for n, one in enumerate(region.belief.catalog.upstreams.values()):
            load = one.entry.slots * (2 if n % 5 == 0 else 0.3)
            one.note_load(int(load), region.clock.now)
        region.homes.step(region.clock.now)


def add_tenth(region: Region) -> None:
    """Add upstreams in one region only."""
    added = [
        replace(one, name=f'{one.name}-new')
        for one in region.entries
        if one.zone == 'west-a'
    ]
    region.adopt(region.entries + added)


@pytest.mark.parametrize('name', REGIONS)
@pytest.mark.parametrize(
    'change',
    [no_change, swap_weights, drain_release, crowd, add_tenth],
)
def test_a_change_moves_less_of_a_region_than_is_allowed(
    name: str,
    change: Change,
) -> None:
    region = Region(name)
    before = region.shares()
    change(region)
    for _ in range(12):
        after = region.shares()
        moved = sum(max(0.0, after[one] - before[one]) for one in REGIONS)
        assert moved < MOST_MOVED, (before, after)
        before = after
        region.wait(WINDOW_SECONDS)


def test_a_route_with_other_services_arrives_where_they_are() -> None:
    moved, direct = Region('west'), Region('west')
    moved.shares()
    swap_weights(moved)
    moved.wait(WINDOW_SECONDS)
    direct.steer({'views': 0.1, 'orders': 0.9})
    assert moved.shares()['west'] > direct.shares()['west'] + 0.1
    for _ in range(12):
        moved.wait(WINDOW_SECONDS)
    assert moved.shares() == direct.shares()


def test_a_second_change_goes_on_from_where_the_first_one_is() -> None:
    region = Region('west')
    first = region.shares()
    swap_weights(region)
    region.wait(WINDOW_SECONDS)
    before = region.shares()
    region.steer(WEIGHTS)
    assert abs(region.shares()['west'] - before['west']) < MOST_MOVED
    for _ in range(12):
        region.wait(WINDOW_SECONDS)
    assert region.shares() == first


def test_a_service_whose_upstreams_come_later_is_not_paced() -> None:
    """Its share is not known when the route changes: nothing to go on from."""
    late, direct = Region('west'), Region('west')
    direct.steer({'views': 0.1, 'orders': 0.9})
    late.adopt([one for one in late.entries if one.service == 'views'])
    late.steer({'views': 1.0})
    late.homes.step(late.clock.now)
    swap_weights(late)
    late.homes.step(late.clock.now)
    late.adopt(late.entries)
    assert late.shares() == direct.shares()


def test_a_move_of_a_route_that_is_gone_ends_as_well() -> None:
    """While one is under way all keys of moving routes are ranked anew."""
    region = Region('west')
    steering = region.belief.steering
    moves = RegionMoves()
    shares = {'views': 0.5, 'orders': 0.1}

    def share_of(service: str, _route: SteeredRoute) -> float:
        return shares[service]

    moves.follow(steering, share_of, 0, MOST_MOVED)
    region.steer({'views': 0.1, 'orders': 0.9})
    moves.follow(region.belief.steering, share_of, 0, MOST_MOVED)
    assert moves.are_in_progress(1, MOST_MOVED)
    # Nobody asks for the route's offset from here on.
    assert not moves.are_in_progress(60, MOST_MOVED)
