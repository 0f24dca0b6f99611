"""Tests of the ranking of upstreams for affinity keys."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import gateway_settings
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.ranking import (
    MAX_RANKINGS,
    MIN_RANKINGS,
    ranking_capacity,
)
from wardstair.decisions.rebalancing import WEIGHT_STEP, WEIGHT_STEP_SECONDS
from wardstair.gateway.key_ranking import (
    LOCAL_KEY_LIMITS,
    KeyRanking,
    RankingQuery,
    TransferSize,
)
from wardstair.gateway.settings import LiveSettings
from wardstair.state.catalog import Catalog
from wardstair.state.local_state import LocalState

REGIONS = {
    'north-a': 'north',
    'north-b': 'north',
    'south-a': 'south',
    'south-b': 'south',
    'west-a': 'west',
    'west-b': 'west',
}
# Zones that the upstreams are assigned to in turn. Half of the upstreams are in
# the host's own region, which has a third of the callers.
ZONES = ['north-a', 'north-b', 'south-a', 'west-a']
KEYS = [f'key {number}' for number in range(400)]


class Fleet:
    """Twelve upstreams of one service, and a host that ranks them."""

    def __init__(self, *switched_off: Mechanism) -> None:
        self.clock = Clock()
        self.local_state = LocalState(self.clock, Catalog(self.clock))
        settings = replace(
            gateway_settings(1),
            zones=REGIONS,
            switched_off=frozenset(switched_off),
        )
        self.live_settings = LiveSettings(settings)
        self.ranking = KeyRanking(self.live_settings, self.local_state)
        entries = [
            replace(ENTRY, name=f'i-{number}', zone=ZONES[number % 4])
            for number in range(12)
        ]
        self.local_state.catalog.replace_all(
            entries, at(1), store_was_away=False
        )

    def report_loads(self, load_of: Callable[[str], int], seconds: int) -> None:
        """Let all upstreams report their load every second for some seconds."""
        for _ in range(seconds):
            self.clock.now += WEIGHT_STEP_SECONDS
            for upstream in self.local_state.catalog.upstreams.values():
                upstream.note_load(load_of(upstream.name), self.clock.now)
            self.ranking.step(self.clock.now)

    def ranked(
        self,
        key: str,
        transfer_size: TransferSize = TransferSize.light,
        regions: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Return names of upstreams, the preferred one first."""
        query = RankingQuery('views', key, regions, transfer_size)
        return [one.name for one in self.ranking.ranked(query)]

    def local_share(self) -> float:
        """Return the share of keys that prefer an upstream of the region."""
        upstreams = self.local_state.catalog.upstreams
        preferred = [self.ranked(key)[0] for key in KEYS]
        near = [
            name
            for name in preferred
            if REGIONS[upstreams[name].entry.zone] == 'north'
        ]
        return len(near) / len(preferred)


def test_near_homes_raise_the_share_of_keys_kept_in_the_region() -> None:
    plain = Fleet(Mechanism.near_preferred).local_share()
    assert plain < LOCAL_KEY_LIMITS.max_kept - 0.05
    assert Fleet().local_share() == pytest.approx(
        LOCAL_KEY_LIMITS.max_kept, abs=0.05
    )


def test_keys_stay_if_the_whole_service_is_overloaded() -> None:
    fleet = Fleet()
    before = [fleet.ranked(key) for key in KEYS]
    fleet.report_loads(lambda name: 30 if name == 'i-0' else 9, seconds=9)
    assert [fleet.ranked(key) for key in KEYS] == before


@pytest.mark.parametrize('is_on', [True, False])
def test_keys_move_only_off_the_overloaded_upstream(is_on: bool) -> None:
    switched_off = [Mechanism.near_preferred]
    if not is_on:
        switched_off.append(Mechanism.rebalancing)
    fleet = Fleet(*switched_off)
    before = [fleet.ranked(key)[0] for key in KEYS]
    fleet.report_loads(lambda name: 12 if name == 'i-0' else 1, seconds=3)
    after = [fleet.ranked(key)[0] for key in KEYS]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == ({'i-0'} if is_on else set())
    weight = fleet.local_state.catalog.upstreams['i-0'].rebalance_factor
    assert (weight < 1 - WEIGHT_STEP) is is_on


def test_only_permitted_regions_are_ranked() -> None:
    fleet = Fleet()
    upstreams = fleet.local_state.catalog.upstreams
    ranked = fleet.ranked('key', regions=frozenset(('south',)))
    zones = {upstreams[name].entry.zone for name in ranked}
    assert zones == {'south-a'}


def test_large_bodies_are_ranked_without_near_homes() -> None:
    on = Fleet()
    off = Fleet(Mechanism.near_preferred)
    for key in KEYS[:50]:
        assert on.ranked(key, TransferSize.large) == off.ranked(
            key, TransferSize.large
        )


def test_changed_settings_apply_immediately() -> None:
    fleet = Fleet()
    near = [fleet.ranked(key) for key in KEYS]
    off = frozenset((Mechanism.near_preferred,))
    fleet.live_settings.current = replace(
        fleet.live_settings.current, switched_off=off
    )
    plain = Fleet(Mechanism.near_preferred)
    assert [fleet.ranked(key) for key in KEYS] != near
    assert fleet.local_share() == plain.local_share()


def max_keys_per_upstream(fleet: Fleet) -> int:
    """Return the largest number of keys that prefer the same upstream."""
    counts = Counter(fleet.ranked(key)[0] for key in KEYS[:192])
    return counts.most_common(1)[0][1]


def test_rebalancing_reduces_the_imbalance_of_hashing() -> None:
    """Compares the most keys on one upstream; the mean is 16."""
    fleet = Fleet(Mechanism.near_preferred)
    before = max_keys_per_upstream(fleet)
    for _ in range(40):
        counts = Counter(fleet.ranked(key)[0] for key in KEYS[:192])
        # Upstreams have four slots; each key is requested once a second and
        # takes 0.15 s.
        loads = {name: round(keys * 0.15) for name, keys in counts.items()}
        fleet.report_loads(loads.__getitem__, 1)
    assert (before, max_keys_per_upstream(fleet)) == (24, 21)


@pytest.mark.parametrize(
    ('memory_bytes', 'upstreams', 'capacity'),
    [
        (200 * 2**20, 120, 602),
        (200 * 2**20, 1200, MIN_RANKINGS),
        (2**20, 10, MIN_RANKINGS),
        (2**40, 10, MAX_RANKINGS),
    ],
)
def test_the_number_of_rankings_follows_the_memory(
    memory_bytes: int, upstreams: int, capacity: int
) -> None:
    assert ranking_capacity(memory_bytes, upstreams) == capacity


def test_rankings_beyond_the_capacity_replace_the_oldest() -> None:
    fleet = Fleet()
    fleet.live_settings.current = replace(
        fleet.live_settings.current, memory_bytes=2**20
    )
    query = RankingQuery('views', 'first', frozenset(), TransferSize.light)
    first = fleet.ranking.ranked(query)
    for number in range(MIN_RANKINGS - 1):
        fleet.ranked(f'other {number}')
    assert fleet.ranking.ranked(query) is first
    fleet.ranked('one more')
    again = fleet.ranking.ranked(query)
    assert again is not first
    assert again == first
