"""Evacuations that a restored store lacks remain in force for a while.

Otherwise hosts would send requests to an evacuated zone between the restore and
the time at which the operator writes the evacuation again.
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
    """A listing of evacuated zones that a host reads from the store."""

    zones: tuple[str, ...]
    number: int
    era: int


def local_state_of(clock: Clock) -> LocalState:
    """Return the state of a host that has the configuration."""
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


def send(source: LocalState, target: LocalState) -> None:
    """Merge the state that a host fetches from another."""
    shared = source.shared_restore
    if shared is not None:
        target.restoration.merge_peer_report(shared.era, shared.age)
    if source.evacuations_revision > target.evacuations_revision:
        target.set_evacuated(
            source.listed_zones,
            source.evacuations_revision,
            'host:test',
        )
    if shared is not None:
        target.keep_evacuated(shared.zones, shared.era)


KNOWN = Read((ZONE,), 40, 1)
BACKUP = Read((), 5, 2)


@pytest.mark.parametrize(
    ('reads', 'is_kept', 'is_kept_for_good'),
    [
        pytest.param([BACKUP], True, False, id='not written again'),
        pytest.param(
            [BACKUP, Read((ZONE,), 9, 2)],
            True,
            True,
            id='written again',
        ),
        pytest.param(
            [BACKUP, Read((ZONE,), 9, 2), Read((), 10, 2)],
            False,
            False,
            id='written again and ended',
        ),
        pytest.param(
            [BACKUP, Read((), 5, 3)],
            True,
            False,
            id='two restores in a row',
        ),
        pytest.param(
            [BACKUP, Read((ZONE,), 9, 2), Read((), 5, 3)],
            True,
            False,
            id='lost again',
        ),
        pytest.param([Read((), 41, 1)], False, False, id='ended, no restore'),
        pytest.param(
            [BACKUP, KNOWN], True, False, id='late read of the previous era'
        ),
    ],
)
def test_evacuations_missing_in_the_backup_are_kept_for_a_while(
    reads: list[Read],
    *,
    is_kept: bool,
    is_kept_for_good: bool,
) -> None:
    clock = Clock()
    local_state = local_state_of(clock)
    read(local_state, KNOWN, *reads)
    assert (ZONE in local_state.evacuated) is is_kept
    clock.now += PERIOD
    local_state.expire_kept_zones()
    assert (ZONE in local_state.evacuated) is is_kept_for_good


def test_upstreams_are_cold_when_a_kept_evacuation_ends() -> None:
    clock = Clock()
    local_state = local_state_of(clock)
    read(local_state, KNOWN, BACKUP)
    clock.now += PERIOD
    local_state.expire_kept_zones()
    assert local_state.catalog.upstreams[ENTRY.name].is_cold(clock.now)


def test_a_host_that_starts_after_the_restore_receives_kept_zones() -> None:
    clock = Clock()
    known, newcomer = local_state_of(clock), local_state_of(clock)
    read(newcomer, BACKUP)
    read(known, KNOWN, BACKUP)
    clock.now += PERIOD / 2
    assert known.versions.kept not in {0, newcomer.versions.kept}
    send(known, newcomer)
    assert newcomer.evacuated == {ZONE}
    clock.now += PERIOD / 2
    newcomer.expire_kept_zones()
    assert not newcomer.evacuated


def test_a_host_that_reconnects_late_does_not_extend_the_period() -> None:
    clock = Clock()
    early, late = local_state_of(clock), local_state_of(clock)
    read(early, KNOWN, BACKUP)
    read(late, KNOWN)
    clock.now += PERIOD - 1
    # The period starts with the earliest notice of any host.
    send(early, late)
    assert late.evacuated == {ZONE}
    clock.now += 1
    late.expire_kept_zones()
    early.expire_kept_zones()
    assert not late.evacuated
    # A host that reads the restored store itself keeps the zone alone.
    later = local_state_of(clock)
    read(later, KNOWN, BACKUP)
    send(later, early)
    assert not early.evacuated


def test_an_evacuation_that_ended_in_this_era_is_not_kept() -> None:
    clock = Clock()
    informed, other = local_state_of(clock), local_state_of(clock)
    read(informed, KNOWN, BACKUP, Read((ZONE,), 9, 2), Read((), 10, 2))
    read(other, KNOWN, BACKUP)
    send(other, informed)
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
def test_hosts_agree_for_any_order_of_reads_and_messages(
    reads: list[tuple[int, Read]],
    seed: int,
) -> None:
    clock = Clock()
    hosts = [local_state_of(clock) for _ in range(3)]
    random = Random(seed)
    for number, one in reads:
        before = hosts[number].evacuations_revision
        read(hosts[number], one)
        assert hosts[number].evacuations_revision >= before
        send(*random.sample(hosts, 2))
    read(hosts[0], HISTORY[-1])
    for source in hosts * 2:
        for target in hosts:
            send(source, target)
    clock.now += PERIOD
    for host in hosts:
        host.expire_kept_zones()
        assert host.evacuated == {'c1'}
