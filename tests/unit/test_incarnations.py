"""Observations of an upstream hold for one incarnation."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.revisions import at
from lib.specs import upstream_spec
from lib.upstreams import ENTRY, Clock

from wardstair.fleet.sharing import SharedState, StateEncoder, decode_state
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.upstream_entries import (
    UnusableEntry,
    decode_upstream_entry,
)
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.revision import NO_REVISION
from wardstair.state.upstream import RunningSend

OLD = replace(ENTRY, born=100, revision=at(5))
NEW = replace(ENTRY, born=200, revision=at(7), cold_seconds=3.0)


def catalog_with(*entries: UpstreamEntry) -> Catalog:
    clock = Clock()
    clock.now = 50.0
    catalog = Catalog(clock)
    for number, entry in enumerate(entries, start=10):
        catalog.apply([entry], [], at(number), store_was_away=False)
    return catalog


def test_a_new_incarnation_starts_without_earlier_observations() -> None:
    catalog = catalog_with(OLD)
    before = catalog.upstreams[ENTRY.name]
    before.note_failure(50.0)
    before.note_load(30, 50.0)
    before.warm.note('key', 50.0)
    before.slowness = 4.0
    before.running[1] = RunningSend(49.0, 0.1, 0.1)
    ended: list[str] = []
    catalog.on_incarnation_ended = ended.append
    catalog.apply([NEW], [], at(20), store_was_away=False)
    after = catalog.upstreams[ENTRY.name]
    assert after is not before
    assert ended == [ENTRY.name]
    assert catalog.of_service('views') == [after]
    assert not after.is_avoided(50.0)
    assert (after.load(50.0), after.in_flight, after.failures) == (0.0, 0, 0)
    assert not after.warm.has('key', 50.0)
    assert after.slowness == 1.0
    assert after.is_cold(51.0)
    # Requests that still wait for the previous incarnation see that it ended.
    assert before.has_ended
    assert not before.takes_work


@pytest.mark.parametrize(
    'late',
    [
        pytest.param(OLD, id='previous incarnation'),
        pytest.param(
            replace(OLD, revision=at(9)),
            id='late write of the previous incarnation',
        ),
        pytest.param(
            replace(NEW, revision=at(6), phase=UpstreamPhase.draining),
            id='older entry of this incarnation',
        ),
    ],
)
def test_an_old_entry_that_arrives_late_is_ignored(
    late: UpstreamEntry,
) -> None:
    catalog = catalog_with(NEW)
    known = catalog.upstreams[ENTRY.name]
    catalog.apply([late], [], at(21), store_was_away=False)
    assert catalog.upstreams[ENTRY.name] is known
    assert known.entry == NEW


@given(st.permutations([OLD, NEW, replace(NEW, revision=at(8)), OLD]))
def test_entries_lead_to_the_same_result_in_any_order(
    entries: list[UpstreamEntry],
) -> None:
    catalog = catalog_with(*entries)
    assert catalog.upstreams[ENTRY.name].entry == replace(NEW, revision=at(8))


def test_a_new_incarnation_is_used_after_its_address_was_reused() -> None:
    catalog = catalog_with(OLD)
    catalog.mark_gone(ENTRY.name)
    assert not catalog.of_service('views')
    catalog.apply([NEW], [], at(20), store_was_away=False)
    assert len(catalog.of_service('views')) == 1


def test_an_ended_incarnation_is_avoided_until_the_next_registers() -> None:
    catalog = catalog_with(OLD)
    upstream = catalog.note_ended(catalog.upstreams[ENTRY.name].incarnation)
    assert upstream is catalog.upstreams[ENTRY.name]
    upstream.assume_cold(50.0)
    assert catalog.upstreams[ENTRY.name].is_avoided(55.9)
    assert catalog.upstreams[ENTRY.name].is_cold(55.9)
    # It may be running after all, so it is tried again.
    assert not catalog.upstreams[ENTRY.name].is_avoided(56.0)
    catalog.apply([NEW], [], at(20), store_was_away=False)
    assert not catalog.upstreams[ENTRY.name].is_avoided(50.0)
    # A late report about the previous incarnation does not affect this one.
    catalog.note_ended(f'{ENTRY.name}@{OLD.born}')
    assert not catalog.upstreams[ENTRY.name].is_avoided(50.0)


def test_changes_for_other_hosts_contain_incarnations() -> None:
    changes = CatalogChanges(NO_REVISION, at(9), (NEW,))
    decoded = decode_state(
        StateEncoder().encode(SharedState(None, None, changes))
    )
    assert decoded is not None
    assert decoded.upstreams is not None
    assert decoded.upstreams.entries[0].born == NEW.born


@pytest.mark.parametrize(
    ('born', 'read'),
    [
        pytest.param(1_700_000_000_123, 1_700_000_000_123, id='whole number'),
        pytest.param(None, 0, id='not stated'),
        pytest.param('1700000000123', None, id='text'),
        pytest.param(1.5, None, id='fraction'),
        pytest.param(True, None, id='boolean'),
        pytest.param(-1, None, id='negative'),
        pytest.param([1], None, id='list'),
    ],
)
def test_an_entry_with_an_invalid_start_time_is_unusable(
    born: object,
    read: int | None,
) -> None:
    spec = upstream_spec(8080)
    if born is not None:
        spec['born'] = born
    stored = StoredObject(metadata=Metadata(name='i-1', revision=1), spec=spec)
    entry = decode_upstream_entry(stored)
    if isinstance(entry, UnusableEntry):
        assert read is None
        assert entry.field == 'born'
    else:
        assert entry.born == read
