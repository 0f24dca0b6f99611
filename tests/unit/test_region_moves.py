"""Tests of the share of requests that a change moves between regions.

Operators limit the share that moves from one window of two seconds to the next
to 0.15. Most changes leave the slots of the regions almost as they are, so that
few keys move. A route whose services change moves in steps.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import gateway_settings
from lib.specs import configuration_spec, route_spec
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.rebalancing import WEIGHT_STEP_SECONDS
from wardstair.decisions.region_moves import WINDOW_SECONDS
from wardstair.decisions.split import SplitTally
from wardstair.gateway.key_ranking import KeyRanking, RankingQuery, TransferSize
from wardstair.gateway.region_moves import RegionMoves
from wardstair.gateway.settings import Bounds, LiveSettings
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.local_state import LocalState
from wardstair.version.steering import SteeredRoute

MAX_MOVED_SHARE = 0.15
REGIONS = ('north', 'south', 'west')
ZONES = {f'{region}-{zone}': region for region in REGIONS for zone in 'abc'}
# Number of upstreams by service and zone: for one service the same everywhere,
# for the other uneven between regions by up to three to one.
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
    """A host of one region, and the regions that its requests are sent to."""

    def __init__(self, name: str) -> None:
        self.clock = Clock()
        self.local_state = LocalState(self.clock, Catalog(self.clock))
        own = gateway_settings(1, bounds=Bounds(shift_share=MAX_MOVED_SHARE))
        self.live_settings = LiveSettings(
            replace(own, zone=f'{name}-a', zones=ZONES)
        )
        self.ranking = KeyRanking(self.live_settings, self.local_state)
        self.version = 0
        self.steer(WEIGHTS)
        self.entries = [
            replace(ENTRY, name=f'{service}-{zone}-{n}', service=service)
            for service, zones in SERVICES.items()
            for zone, count in zones.items()
            for n in range(count)
        ]
        self.entries = [
            replace(one, zone=one.name.partition('-')[2].rpartition('-')[0])
            for one in self.entries
        ]
        self.adopt(self.entries)

    def steer(self, weights: Mapping[str, float]) -> None:
        """Adopt a version whose only route has these weights."""
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
        assert self.local_state.offer_configuration(stored, 'test')

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.now += seconds
        self.ranking.step(self.clock.now)

    def adopt(self, entries: list[UpstreamEntry]) -> None:
        """Replace the entries of the catalog."""
        revision = self.local_state.catalog.revision.number + 1
        catalog = self.local_state.catalog
        catalog.replace_all(entries, at(revision), store_was_away=False)

    def shares(self) -> dict[str, float]:
        """Return the share of the requests that is sent to each region."""
        self.ranking.step(self.clock.now)
        steering = self.local_state.steering
        assert steering is not None
        route = steering.routes[0]
        weights = [(one.service, one.weight) for one in route.shares]
        tally = SplitTally()
        counts = Counter[str]()
        for key in KEYS:
            service = tally.choose(key, weights)
            moving = route.name if self.ranking.is_moving(route.name) else ''
            query = RankingQuery(
                service, key, frozenset(), TransferSize.light, moving
            )
            preferred = self.ranking.ranked(query)[0]
            counts[ZONES[preferred.entry.zone]] += 1
        return {region: counts[region] / len(KEYS) for region in REGIONS}


def no_change(_region: Region) -> None:
    """Change nothing."""


def swap_weights(region: Region) -> None:
    """Swap the weights of the split route."""
    region.steer({'views': 0.1, 'orders': 0.9})


def drain_release(region: Region) -> None:
    """Drain a tenth of the upstreams, as a release does in two seconds."""
    region.adopt(
        [
            replace(one, phase=UpstreamPhase.draining) if n % 10 == 0 else one
            for n, one in enumerate(region.entries)
        ]
    )


def overload_a_fifth(region: Region) -> None:
    """Report a fifth of the upstreams as overloaded for two steps."""
    for _ in range(2):
        region.clock.now += WEIGHT_STEP_SECONDS
        for n, one in enumerate(region.local_state.catalog.upstreams.values()):
            load = one.entry.slots * (2 if n % 5 == 0 else 0.3)
            one.note_load(int(load), region.clock.now)
        region.ranking.step(region.clock.now)


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
    [no_change, swap_weights, drain_release, overload_a_fifth, add_tenth],
)
def test_a_change_moves_less_than_the_limit(
    name: str,
    change: Change,
) -> None:
    region = Region(name)
    before = region.shares()
    change(region)
    for _ in range(12):
        after = region.shares()
        moved = sum(max(0.0, after[one] - before[one]) for one in REGIONS)
        assert moved < MAX_MOVED_SHARE, (before, after)
        before = after
        region.wait(WINDOW_SECONDS)


def test_a_route_with_new_weights_reaches_their_final_split() -> None:
    moved, direct = Region('west'), Region('west')
    moved.shares()
    swap_weights(moved)
    moved.wait(WINDOW_SECONDS)
    direct.steer({'views': 0.1, 'orders': 0.9})
    assert moved.shares()['west'] > direct.shares()['west'] + 0.1
    for _ in range(12):
        moved.wait(WINDOW_SECONDS)
    assert moved.shares() == direct.shares()


def test_a_second_change_starts_from_the_current_split() -> None:
    region = Region('west')
    first = region.shares()
    swap_weights(region)
    region.wait(WINDOW_SECONDS)
    before = region.shares()
    region.steer(WEIGHTS)
    assert abs(region.shares()['west'] - before['west']) < MAX_MOVED_SHARE
    for _ in range(12):
        region.wait(WINDOW_SECONDS)
    assert region.shares() == first


def test_a_service_without_upstreams_at_the_change_is_not_paced() -> None:
    """The share to start from is unknown when the route changes."""
    late, direct = Region('west'), Region('west')
    direct.steer({'views': 0.1, 'orders': 0.9})
    late.adopt([one for one in late.entries if one.service == 'views'])
    late.steer({'views': 1.0})
    late.ranking.step(late.clock.now)
    swap_weights(late)
    late.ranking.step(late.clock.now)
    late.adopt(late.entries)
    assert late.shares() == direct.shares()


def test_the_move_of_a_route_that_is_no_longer_queried_ends() -> None:
    """A move in progress makes the keys of moving routes be ranked again."""
    region = Region('west')
    steering = region.local_state.steering
    moves = RegionMoves()
    shares = {'views': 0.5, 'orders': 0.1}

    def share_of(service: str, _route: SteeredRoute) -> float:
        return shares[service]

    moves.follow(steering, share_of, 0, MAX_MOVED_SHARE)
    region.steer({'views': 0.1, 'orders': 0.9})
    moves.follow(region.local_state.steering, share_of, 0, MAX_MOVED_SHARE)
    assert moves.are_in_progress(1, MAX_MOVED_SHARE)
    # The offset of the route is not queried from here on.
    assert not moves.are_in_progress(60, MAX_MOVED_SHARE)
