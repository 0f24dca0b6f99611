"""Whether what vanished may have lapsed, by the contact of other hosts."""

from random import Random

import pytest
from lib.beats import beat_of, peer_of
from lib.upstreams import Clock

from wardstair.decisions.lapses import (
    ContactSpan,
    LapseTimes,
    are_entries_back,
)
from wardstair.fleet.beats import ContactAge, decode_beat, encode_beat
from wardstair.fleet.members import Members
from wardstair.state.catalog import RETURN_SECONDS
from wardstair.state.contact import StoreContact

HARMLESS_SECONDS = 3.0
TIMES = LapseTimes(HARMLESS_SECONDS, RETURN_SECONDS)
NOW = 108.0


@pytest.mark.parametrize(
    ('contacts', 'are_back'),
    [
        pytest.param([ContactSpan(90.0, 108.0)], True, id='throughout'),
        pytest.param([ContactSpan(106.0, 107.0)], True, id='back before'),
        pytest.param([ContactSpan(106.1, 108.0)], False, id='just back'),
        pytest.param([ContactSpan(90.0, 105.0)], True, id='proved lately'),
        pytest.param([ContactSpan(90.0, 104.9)], False, id='proved long ago'),
        pytest.param(
            [ContactSpan(107.0, 108.0), ContactSpan(90.0, 107.0)],
            True,
            id='one of two',
        ),
        pytest.param(
            [ContactSpan(90.0, 104.0), ContactSpan(107.0, 108.0)],
            False,
            id='in turn',
        ),
        pytest.param([], False, id='nobody is heard'),
    ],
)
def test_one_host_with_contact_for_long_enough_shows_that_entries_are_back(
    contacts: list[ContactSpan],
    *,
    are_back: bool,
) -> None:
    assert are_entries_back(contacts, TIMES, NOW) is are_back


def contact_at(clock: Clock) -> StoreContact:
    contact = StoreContact(clock, Random(1))
    contact.tolerated_outage_seconds = lambda: HARMLESS_SECONDS
    return contact


@pytest.mark.parametrize(
    ('gaps', 'held'),
    [
        ([2.0, 3.0], 5.0),
        # A host that was suspended knows nothing of that time.
        ([2.0, 3.1, 1.0], 1.0),
    ],
)
def test_contact_is_interrupted_where_answers_are_too_far_apart(
    gaps: list[float],
    held: float,
) -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    for gap in gaps:
        clock.now += gap
        contact.note_success()
    assert contact.contact_period == ContactSpan(clock.now - held, clock.now)


def test_contact_begins_anew_after_a_failure() -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    contact.note_failure('test')
    assert contact.contact_period is None
    clock.now += 1
    contact.note_success()
    assert contact.contact_period == ContactSpan(clock.now, clock.now)


@pytest.mark.parametrize('is_heard', [True, False])
def test_a_host_that_was_cut_off_alone_takes_removals_for_removals(
    *,
    is_heard: bool,
) -> None:
    clock = Clock()
    members = Members(peer_of('own'), clock)
    contact = contact_at(clock)
    contact.others = members.contacts
    contact.note_success()
    contact.note_failure('test')
    clock.now += 8
    contact.note_success()
    if is_heard:
        age = ContactAge(begin=60.0, proof=1.0)
        beat = beat_of(peer_of('other'), contact=age)
        read = decode_beat(encode_beat(beat))
        assert read == beat
        members.hear(read)
    assert contact.was_lost_recently is not is_heard
    clock.now += RETURN_SECONDS
    assert not contact.was_lost_recently


@pytest.mark.parametrize(
    ('away_seconds', 'may_have_lapsed'),
    [
        pytest.param(0.5, False, id='a reset'),
        pytest.param(HARMLESS_SECONDS + 0.1, True, id='an outage'),
    ],
)
def test_a_removal_after_a_short_reset_is_no_lapse(
    away_seconds: float,
    *,
    may_have_lapsed: bool,
) -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    contact.note_failure('reset')
    clock.now += away_seconds
    contact.note_success()
    assert contact.was_lost_recently is may_have_lapsed


def test_a_short_reset_does_not_end_the_wait_after_an_outage() -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    contact.note_failure('outage')
    clock.now += HARMLESS_SECONDS + 1
    contact.note_success()
    clock.now += RETURN_SECONDS / 4
    contact.note_failure('reset')
    clock.now += RETURN_SECONDS / 4
    contact.note_success()
    assert contact.was_lost_recently
    clock.now += RETURN_SECONDS / 2
    assert not contact.was_lost_recently
