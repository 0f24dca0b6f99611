"""What a host believes of upstreams, evacuations and the store."""

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


def test_a_draining_or_deleted_upstream_gets_nothing() -> None:
    catalog = filled(Clock())
    catalog.apply([DRAINING], [], at(6), store_was_away=False)
    assert names(catalog) == ['i-2']
    catalog.apply([], ['i-2'], at(7), store_was_away=False)
    assert names(catalog) == []


@pytest.mark.parametrize('comes_back', [True, False])
def test_an_entry_that_vanished_with_the_store_may_come_back(
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


def test_a_listing_does_not_bring_back_an_upstream_that_ended() -> None:
    catalog = filled(Clock())
    catalog.mark_gone('i-1')
    catalog.replace_all([ENTRY, OTHER], at(9), store_was_away=False)
    assert names(catalog) == ['i-2']


def test_cold_time_counts_from_when_it_was_read() -> None:
    clock = Clock()
    catalog = filled(clock)
    cold = replace(ENTRY, cold_seconds=3.0)
    catalog.apply([cold], [], at(6), store_was_away=False)
    (one,) = (up for up in catalog.of_service('views') if up.name == 'i-1')
    assert one.is_cold(clock.now + 2.9)
    assert not one.is_cold(clock.now + 3.0)
    clock.now += 1
    (told,) = (
        entry
        for entry in catalog.changes_since(NO_REVISION).entries
        if entry.name == 'i-1'
    )
    assert told.cold_seconds == pytest.approx(2.0)


def test_a_slow_upstream_is_left_out_longer_each_time() -> None:
    upstream = Upstream(ENTRY)
    now = 100.0
    lengths = []
    for _ in range(3):
        while not upstream.is_avoided(now):
            upstream.note_success(EJECT_SLOWNESS * 4, now)
        lengths.append(upstream.ejected_until - now)
        now = upstream.ejected_until + 0.1
    assert lengths == pytest.approx([EJECT_SECONDS * n for n in (1, 2, 3)])


def test_one_slow_answer_does_not_take_an_upstream_out() -> None:
    upstream = Upstream(ENTRY)
    upstream.note_success(8.0, 100.0)
    assert not upstream.is_avoided(100.0)


@given(
    st.integers(0, 20),
    st.integers(0, 12),
    st.integers(0, 12),
    st.floats(0, 5),
)
def test_the_load_is_never_under_what_this_host_has_there(
    told: int,
    own_then: int,
    own_now: int,
    age: float,
) -> None:
    upstream = Upstream(ENTRY)
    upstream.running = dict.fromkeys(
        range(own_then), RunningSend(0.0, 1.0, 1.0)
    )
    upstream.note_load(told, 100.0)
    upstream.running = dict.fromkeys(range(own_now), RunningSend(0.0, 1.0, 1.0))
    load = upstream.load(100.0 + age)
    assert own_now <= load <= own_now + max(0, told - own_then)


def test_a_zone_that_comes_back_from_an_evacuation_is_cold() -> None:
    clock = Clock()
    catalog = filled(clock)
    local_state = LocalState(clock, catalog)
    assert local_state.set_evacuated(['a1'], at(7), 'watch')
    assert not local_state.set_evacuated([], at(6), 'host:late')
    assert local_state.evacuated == {'a1'}
    assert local_state.set_evacuated([], at(8), 'watch')
    # No configuration tells how long services stay cold: not at all, then.
    assert not catalog.of_service('views')[0].is_cold(clock.now)


def test_one_task_asks_while_the_store_is_away() -> None:
    async def main() -> None:
        clock = Clock()
        contact = StoreContact(clock, Random(1))
        contact.note_success()
        contact.note_failure('test')
        asked: list[int] = []
        somebody = asyncio.Event()

        async def follow(number: int) -> None:
            await contact.wait_turn()
            asked.append(number)
            somebody.set()

        tasks = [asyncio.ensure_future(follow(n)) for n in range(4)]
        await somebody.wait()
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(asked) == 1
        regained = contact.next_regain()
        # Longer than entries take to lapse, which is nothing here.
        clock.now += 1
        contact.note_success()
        await asyncio.gather(*tasks)
        assert regained.done()
        assert contact.was_lost_recently
        clock.now += RETURN_SECONDS
        assert not contact.was_lost_recently

    asyncio.run(main())


@pytest.mark.parametrize(
    ('outcomes', 'is_left_out'),
    [
        # Failures among successes: one upstream in two answers is no use, a
        # failure now and then is nothing.
        ('xx', True),
        ('x.x.', True),
        ('x.....x.....x', False),
        ('.....x', False),
    ],
)
def test_an_upstream_that_fails_often_is_left_out(
    outcomes: str,
    is_left_out: bool,
) -> None:
    upstream = Upstream(ENTRY)
    for number, outcome in enumerate(outcomes):
        now = 100.0 + number / 10
        if outcome == 'x':
            upstream.note_error(now)
        else:
            upstream.note_success(1.0, now)
    assert upstream.is_avoided(now + 1) is is_left_out


@pytest.mark.parametrize(
    ('waited', 'longest', 'is_avoided'),
    [
        # Certain of the key, and not: a first run takes three times as long.
        (0.5, 0.2, False),
        (0.7, 0.2, True),
        (0.7, 0.6, False),
        (1.0, 0.6, True),
    ],
)
def test_an_upstream_that_is_silent_for_long_is_avoided(
    waited: float,
    longest: float,
    is_avoided: bool,
) -> None:
    upstream = Upstream(ENTRY)
    upstream.running = {1: RunningSend(100.0, 0.2, longest)}
    assert upstream.is_avoided(100.0 + waited) is is_avoided
