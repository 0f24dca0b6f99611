"""Ranks of upstreams for keys, as a host sees its fleet."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import gateway_settings
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.relief import STEP, STEP_SECONDS
from wardstair.gateway.homes import KEPT, Haul, Homes, KeyAsk
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
# Of the upstreams in turn: half of them are in the host's own region, which
# has a third of the callers.
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
        self.live = LiveSettings(settings)
        self.homes = Homes(self.live, self.local_state)
        entries = [
            replace(ENTRY, name=f'i-{number}', zone=ZONES[number % 4])
            for number in range(12)
        ]
        self.local_state.catalog.replace_all(
            entries, at(1), store_was_away=False
        )

    def tell(self, load_of: Callable[[str], int], seconds: int) -> None:
        """Let all upstreams tell their load for some seconds."""
        for _ in range(seconds):
            self.clock.now += STEP_SECONDS
            for upstream in self.local_state.catalog.upstreams.values():
                upstream.note_load(load_of(upstream.name), self.clock.now)
            self.homes.step(self.clock.now)

    def ranked(
        self,
        key: str,
        haul: Haul = Haul.light,
        regions: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Return names of upstreams, the key's home first."""
        ask = KeyAsk('views', key, regions, haul)
        return [one.name for one in self.homes.ranked(ask)]

    def kept(self) -> float:
        """Return the share of keys whose home is in the host's region."""
        upstreams = self.local_state.catalog.upstreams
        homes = [self.ranked(key)[0] for key in KEYS]
        near = [
            name
            for name in homes
            if REGIONS[upstreams[name].entry.zone] == 'north'
        ]
        return len(near) / len(homes)


def test_a_region_keeps_more_of_its_keys_with_near_homes() -> None:
    plain = Fleet(Mechanism.near_homes).kept()
    assert plain < KEPT.most - 0.05
    assert Fleet().kept() == pytest.approx(KEPT.most, abs=0.05)


def test_a_full_service_moves_nothing() -> None:
    fleet = Fleet()
    before = [fleet.ranked(key) for key in KEYS]
    fleet.tell(lambda name: 30 if name == 'i-0' else 9, seconds=9)
    assert [fleet.ranked(key) for key in KEYS] == before


@pytest.mark.parametrize('is_on', [True, False])
def test_keys_move_only_off_the_crowded_upstream(is_on: bool) -> None:
    switched_off = [Mechanism.near_homes]
    if not is_on:
        switched_off.append(Mechanism.relief)
    fleet = Fleet(*switched_off)
    before = [fleet.ranked(key)[0] for key in KEYS]
    fleet.tell(lambda name: 12 if name == 'i-0' else 1, seconds=3)
    after = [fleet.ranked(key)[0] for key in KEYS]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == ({'i-0'} if is_on else set())
    weight = fleet.local_state.catalog.upstreams['i-0'].rebalance_factor
    assert (weight < 1 - STEP) is is_on


def test_only_allowed_regions_are_ranked() -> None:
    fleet = Fleet()
    upstreams = fleet.local_state.catalog.upstreams
    ranked = fleet.ranked('key', regions=frozenset(('south',)))
    zones = {upstreams[name].entry.zone for name in ranked}
    assert zones == {'south-a'}


def test_large_bodies_rank_as_with_the_mechanism_off() -> None:
    on = Fleet()
    off = Fleet(Mechanism.near_homes)
    for key in KEYS[:50]:
        assert on.ranked(key, Haul.large) == off.ranked(key, Haul.large)


def test_a_change_of_the_settings_takes_hold_at_once() -> None:
    fleet = Fleet()
    near = [fleet.ranked(key) for key in KEYS]
    off = frozenset((Mechanism.near_homes,))
    fleet.live.current = replace(fleet.live.current, switched_off=off)
    plain = Fleet(Mechanism.near_homes)
    assert [fleet.ranked(key) for key in KEYS] != near
    assert fleet.kept() == plain.kept()


def fullest(fleet: Fleet) -> int:
    """Return the most keys that one upstream is the home of."""
    homes = Counter(fleet.ranked(key)[0] for key in KEYS[:192])
    return homes.most_common(1)[0][1]


def test_relief_evens_out_what_hashing_gives_by_chance() -> None:
    """The figure before and after; 16 keys would be the mean of twelve."""
    fleet = Fleet(Mechanism.near_homes)
    before = fullest(fleet)
    for _ in range(40):
        homes = Counter(fleet.ranked(key)[0] for key in KEYS[:192])
        # Four slots; a key asked for once a second takes 0.15 s.
        loads = {name: round(keys * 0.15) for name, keys in homes.items()}
        fleet.tell(loads.__getitem__, 1)
    assert (before, fullest(fleet)) == (24, 21)
