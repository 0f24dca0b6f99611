"""Catalog of upstreams, ejection, evacuations and contact with the store."""

import asyncio
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.state.catalog import RETURN_SECONDS, Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.entries import UpstreamPhase
from wardstair.state.local_state import LocalState
from wardstair.state.revision import NO_REVISION
from wardstair.state.upstream import (
    EJECT_SECONDS,
    EJECT_SLOWNESS,
    RunningSend,
    Upstream,
)

OTHER = replace(ENTRY, name='i-2')
DRAINING = replace(ENTRY, phase=UpstreamPhase.draining)


def names(catalog: Catalog) -> list[str]:
    return sorted(one.name for one in catalog.of_service('views'))


def filled(clock: Clock) -> Catalog:
    catalog = Catalog(clock)
    catalog.replace_all([ENTRY, OTHER], at(5), store_was_away=False)
    return catalog


def test_draining_and_deleted_upstreams_receive_no_requests() -> None:
    catalog = filled(Clock())
    catalog.apply([DRAINING], [], at(6), store_was_away=False)
    assert names(catalog) == ['i-2']
    catalog.apply([], ['i-2'], at(7), store_was_away=False)
    assert names(catalog) == []


@pytest.mark.parametrize('comes_back', [True, False])
def test_an_entry_missing_after_an_outage_is_kept_for_the_return_time(
    comes_back: bool,
) -> None:
    clock = Clock()
    catalog = filled(clock)
    catalog.replace_all([OTHER], at(9), store_was_away=True)
    assert names(catalog) == ['i-1', 'i-2']
    clock.now += RETURN_SECONDS / 2
    if comes_back:
        catalog.apply([ENTRY], [], at(10), store_was_away=True)
    clock.now += RETURN_SECONDS
    catalog.expire_missing()
    assert names(catalog) == (['i-1', 'i-2'] if comes_back else ['i-2'])


def test_a_listing_does_not_restore_an_upstream_that_has_exited() -> None:
    catalog = filled(Clock())
    catalog.mark_gone('i-1')
    catalog.replace_all([ENTRY, OTHER], at(9), store_was_away=False)
    assert names(catalog) == ['i-2']


def test_cold_time_counts_from_the_read_of_the_entry() -> None:
    clock = Clock()
    catalog = filled(clock)
    cold = replace(ENTRY, cold_seconds=3.0)
    catalog.apply([cold], [], at(6), store_was_away=False)
    (one,) = (up for up in catalog.of_service('views') if up.name == 'i-1')
    assert one.is_cold(clock.now + 2.9)
    assert not one.is_cold(clock.now + 3.0)
    clock.now += 1
    (shared,) = (
        entry
        for entry in catalog.changes_since(NO_REVISION).entries
        if entry.name == 'i-1'
    )
    assert shared.cold_seconds == pytest.approx(2.0)


def test_each_ejection_of_a_slow_upstream_is_longer() -> None:
    upstream = Upstream(ENTRY)
    now = 100.0
    lengths = []
    for _ in range(3):
        while not upstream.is_avoided(now):
            upstream.note_success(EJECT_SLOWNESS * 4, now)
        lengths.append(upstream.ejected_until - now)
        now = upstream.ejected_until + 0.1
    assert lengths == pytest.approx([EJECT_SECONDS * n for n in (1, 2, 3)])


def test_one_slow_answer_does_not_eject_an_upstream() -> None:
    upstream = Upstream(ENTRY)
    upstream.note_success(8.0, 100.0)
    assert not upstream.is_avoided(100.0)


@given(
    st.integers(0, 20),
    st.integers(0, 12),
    st.integers(0, 12),
    st.floats(0, 5),
)
def test_the_estimated_load_includes_all_requests_of_this_host(
    reported: int,
    own_then: int,
    own_now: int,
    age: float,
) -> None:
    upstream = Upstream(ENTRY)
    upstream.running = dict.fromkeys(
        range(own_then), RunningSend(0.0, 1.0, 1.0)
    )
    upstream.note_load(reported, 100.0)
    upstream.running = dict.fromkeys(range(own_now), RunningSend(0.0, 1.0, 1.0))
    load = upstream.load(100.0 + age)
    assert own_now <= load <= own_now + max(0, reported - own_then)


def test_an_evacuation_ends_only_by_a_later_revision() -> None:
    clock = Clock()
    catalog = filled(clock)
    local_state = LocalState(clock, catalog)
    assert local_state.set_evacuated(['a1'], at(7), 'watch')
    assert not local_state.set_evacuated([], at(6), 'host:late')
    assert local_state.evacuated == {'a1'}
    assert local_state.set_evacuated([], at(8), 'watch')
    # Without a configuration the cold time of a service is zero.
    assert not catalog.of_service('views')[0].is_cold(clock.now)


def test_only_one_task_retries_while_the_store_is_unreachable() -> None:
    async def main() -> None:
        clock = Clock()
        contact = StoreContact(clock, Random(1))
        contact.note_success()
        contact.note_failure('test')
        retried: list[int] = []
        has_retried = asyncio.Event()

        async def retry(number: int) -> None:
            await contact.wait_turn()
            retried.append(number)
            has_retried.set()

        tasks = [asyncio.ensure_future(retry(n)) for n in range(4)]
        await has_retried.wait()
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(retried) == 1
        regained = contact.next_renewal()
        # Longer than the tolerated outage, which is zero here.
        clock.now += 1
        contact.note_success()
        await asyncio.gather(*tasks)
        assert regained.done()
        assert contact.was_lost_recently
        clock.now += RETURN_SECONDS
        assert not contact.was_lost_recently

    asyncio.run(main())


@pytest.mark.parametrize(
    ('outcomes', 'is_ejected'),
    [
        # Failures (x) among successes: every second answer is too many, an
        # occasional failure is tolerated.
        ('xx', True),
        ('x.x.', True),
        ('x.....x.....x', False),
        ('.....x', False),
    ],
)
def test_an_upstream_that_fails_often_is_ejected(
    outcomes: str,
    is_ejected: bool,
) -> None:
    upstream = Upstream(ENTRY)
    for number, outcome in enumerate(outcomes):
        now = 100.0 + number / 10
        if outcome == 'x':
            upstream.note_error(now)
        else:
            upstream.note_success(1.0, now)
    assert upstream.is_avoided(now + 1) is is_ejected


@pytest.mark.parametrize(
    ('waited', 'longest', 'is_avoided'),
    [
        # The key is warm for certain, or not: a cold run takes three times as
        # long.
        (0.5, 0.2, False),
        (0.7, 0.2, True),
        (0.7, 0.6, False),
        (1.0, 0.6, True),
    ],
)
def test_an_upstream_with_an_overdue_request_is_avoided(
    waited: float,
    longest: float,
    is_avoided: bool,
) -> None:
    upstream = Upstream(ENTRY)
    upstream.running = {1: RunningSend(100.0, 0.2, longest)}
    assert upstream.is_avoided(100.0 + waited) is is_avoided
