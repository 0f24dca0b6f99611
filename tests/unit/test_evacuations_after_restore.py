"""Evacuations that a restored store lacks stay in force for a while.

Without that hosts send to a zone that is being emptied, from the restore until
the operator has written the evacuation again.
"""

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.revisions import at
from lib.specs import configuration_spec
from lib.upstreams import ENTRY, Clock

from wardstair.platform.objects import Metadata, StoredObject
from wardstair.state.catalog import Catalog
from wardstair.state.local_state import LocalState

ZONE = ENTRY.zone
PERIOD = 6.0


@dataclass(frozen=True)
class Read:
    """What a host reads from the store: the zones listed, at a revision."""

    zones: tuple[str, ...]
    number: int
    era: int


def belief_of(clock: Clock) -> LocalState:
    """Return what a host believes that knows the configuration."""
    local_state = LocalState(clock, Catalog(clock))
    stored = StoredObject(
        metadata=Metadata(name='main', revision=1),
        spec=configuration_spec(1),
    )
    assert local_state.offer_configuration(stored, 'test')
    local_state.catalog.replace_all([ENTRY], at(1), store_was_away=False)
    local_state.restoration.period = lambda: PERIOD
    return local_state


def read(local_state: LocalState, *reads: Read) -> None:
    for one in reads:
        revision = at(one.number, one.era)
        local_state.set_evacuated(one.zones, revision, 'watch')


def tell(source: LocalState, target: LocalState) -> None:
    """Hand on what a host fetches from another."""
    told = source.shared_restore
    if told is not None:
        target.restoration.merge_peer_report(told.era, told.age)
    if source.evacuations_revision > target.evacuations_revision:
        target.set_evacuated(
            source.listed_zones,
            source.evacuations_revision,
            'host:test',
        )
    if told is not None:
        target.keep_evacuated(told.zones, told.era)


KNOWN = Read((ZONE,), 40, 1)
COPY = Read((), 5, 2)


@pytest.mark.parametrize(
    ('reads', 'is_kept', 'is_kept_for_good'),
    [
        pytest.param([COPY], True, False, id='not written again'),
        pytest.param(
            [COPY, Read((ZONE,), 9, 2)],
            True,
            True,
            id='written again',
        ),
        pytest.param(
            [COPY, Read((ZONE,), 9, 2), Read((), 10, 2)],
            False,
            False,
            id='written again and ended',
        ),
        pytest.param(
            [COPY, Read((), 5, 3)],
            True,
            False,
            id='two restores in a row',
        ),
        pytest.param(
            [COPY, Read((ZONE,), 9, 2), Read((), 5, 3)],
            True,
            False,
            id='lost again',
        ),
        pytest.param([Read((), 41, 1)], False, False, id='ended, no restore'),
        pytest.param([COPY, KNOWN], True, False, id='the era before, late'),
    ],
)
def test_what_the_copy_lacks_stays_in_force_for_a_while(
    reads: list[Read],
    *,
    is_kept: bool,
    is_kept_for_good: bool,
) -> None:
    clock = Clock()
    local_state = belief_of(clock)
    read(local_state, KNOWN, *reads)
    assert (ZONE in local_state.evacuated) is is_kept
    clock.now += PERIOD
    local_state.expire_kept_zones()
    assert (ZONE in local_state.evacuated) is is_kept_for_good


def test_upstreams_of_a_zone_that_is_given_up_are_cold() -> None:
    clock = Clock()
    local_state = belief_of(clock)
    read(local_state, KNOWN, COPY)
    clock.now += PERIOD
    local_state.expire_kept_zones()
    assert local_state.catalog.upstreams[ENTRY.name].is_cold(clock.now)


def test_a_host_that_starts_after_the_restore_is_told() -> None:
    clock = Clock()
    known, newcomer = belief_of(clock), belief_of(clock)
    read(newcomer, COPY)
    read(known, KNOWN, COPY)
    clock.now += PERIOD / 2
    assert known.versions.kept not in {0, newcomer.versions.kept}
    tell(known, newcomer)
    assert newcomer.evacuated == {ZONE}
    clock.now += PERIOD / 2
    newcomer.expire_kept_zones()
    assert not newcomer.evacuated


def test_a_host_that_has_the_store_back_late_brings_nothing_back() -> None:
    clock = Clock()
    early, late = belief_of(clock), belief_of(clock)
    read(early, KNOWN, COPY)
    read(late, KNOWN)
    clock.now += PERIOD - 1
    # From the earliest notice on, whoever tells.
    tell(early, late)
    assert late.evacuated == {ZONE}
    clock.now += 1
    late.expire_kept_zones()
    early.expire_kept_zones()
    assert not late.evacuated
    # One that reads by itself keeps it alone.
    later = belief_of(clock)
    read(later, KNOWN, COPY)
    tell(later, early)
    assert not early.evacuated


def test_an_evacuation_that_was_seen_to_end_is_not_kept_for_others() -> None:
    clock = Clock()
    informed, other = belief_of(clock), belief_of(clock)
    read(informed, KNOWN, COPY, Read((ZONE,), 9, 2), Read((), 10, 2))
    read(other, KNOWN, COPY)
    tell(other, informed)
    assert not informed.evacuated


HISTORY = [
    Read((), 3, 1),
    Read((ZONE,), 40, 1),
    Read((), 5, 2),
    Read(('b1',), 9, 2),
    Read(('b1', ZONE), 10, 2),
    Read((), 4, 3),
    Read(('c1',), 8, 3),
]


@given(
    st.lists(st.tuples(st.integers(0, 2), st.sampled_from(HISTORY))),
    st.integers(0, 2**32),
)
def test_hosts_that_hear_in_any_order_end_up_the_same(
    heard: list[tuple[int, Read]],
    seed: int,
) -> None:
    clock = Clock()
    hosts = [belief_of(clock) for _ in range(3)]
    random = Random(seed)
    for number, one in heard:
        before = hosts[number].evacuations_revision
        read(hosts[number], one)
        assert hosts[number].evacuations_revision >= before
        tell(*random.sample(hosts, 2))
    read(hosts[0], HISTORY[-1])
    for source in hosts * 2:
        for target in hosts:
            tell(source, target)
    clock.now += PERIOD
    for host in hosts:
        host.expire_kept_zones()
        assert host.evacuated == {'c1'}
