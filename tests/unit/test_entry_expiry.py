"""Whether vanished entries may have expired, by contact with the store."""

from random import Random

import pytest
from lib.beats import beat_of, peer_of
from lib.upstreams import Clock

from wardstair.decisions.entry_expiry import (
    ContactPeriod,
    ExpiryTimes,
    are_entries_restored,
)
from wardstair.fleet.heartbeats import (
    ContactAge,
    decode_heartbeat,
    encode_heartbeat,
)
from wardstair.fleet.members import Members
from wardstair.state.catalog import RETURN_SECONDS
from wardstair.state.contact import StoreContact

HARMLESS_SECONDS = 3.0
TIMES = ExpiryTimes(HARMLESS_SECONDS, RETURN_SECONDS)
NOW = 108.0


@pytest.mark.parametrize(
    ('contacts', 'are_restored'),
    [
        pytest.param([ContactPeriod(90.0, 108.0)], True, id='uninterrupted'),
        pytest.param(
            [ContactPeriod(106.0, 107.0)], True, id='back for long enough'
        ),
        pytest.param([ContactPeriod(106.1, 108.0)], False, id='just regained'),
        pytest.param([ContactPeriod(90.0, 105.0)], True, id='recent answer'),
        pytest.param(
            [ContactPeriod(90.0, 104.9)], False, id='last answer too old'
        ),
        pytest.param(
            [ContactPeriod(107.0, 108.0), ContactPeriod(90.0, 107.0)],
            True,
            id='one of two hosts',
        ),
        pytest.param(
            [ContactPeriod(90.0, 104.0), ContactPeriod(107.0, 108.0)],
            False,
            id='each at another time',
        ),
        pytest.param([], False, id='no host is heard'),
    ],
)
def test_one_long_contact_period_proves_that_entries_are_restored(
    contacts: list[ContactPeriod],
    *,
    are_restored: bool,
) -> None:
    assert are_entries_restored(contacts, TIMES, NOW) is are_restored


def contact_at(clock: Clock) -> StoreContact:
    contact = StoreContact(clock, Random(1))
    contact.tolerated_outage_seconds = lambda: HARMLESS_SECONDS
    return contact


@pytest.mark.parametrize(
    ('gaps', 'held'),
    [
        ([2.0, 3.0], 5.0),
        # A host that was suspended does not know about that time.
        ([2.0, 3.1, 1.0], 1.0),
    ],
)
def test_a_long_gap_between_answers_interrupts_contact(
    gaps: list[float],
    held: float,
) -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    for gap in gaps:
        clock.now += gap
        contact.note_success()
    assert contact.contact_period == ContactPeriod(clock.now - held, clock.now)


def test_a_contact_period_restarts_after_a_failure() -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    contact.note_failure('test')
    assert contact.contact_period is None
    clock.now += 1
    contact.note_success()
    assert contact.contact_period == ContactPeriod(clock.now, clock.now)


@pytest.mark.parametrize('is_heard', [True, False])
def test_a_host_that_was_cut_off_alone_trusts_removals(
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
        read = decode_heartbeat(encode_heartbeat(beat))
        assert read == beat
        members.hear(read)
    assert contact.was_lost_recently is not is_heard
    clock.now += RETURN_SECONDS
    assert not contact.was_lost_recently


@pytest.mark.parametrize(
    ('away_seconds', 'may_have_expired'),
    [
        pytest.param(0.5, False, id='a reset'),
        pytest.param(HARMLESS_SECONDS + 0.1, True, id='an outage'),
    ],
)
def test_a_removal_after_a_short_reset_is_not_taken_for_expiry(
    away_seconds: float,
    *,
    may_have_expired: bool,
) -> None:
    clock = Clock()
    contact = contact_at(clock)
    contact.note_success()
    contact.note_failure('reset')
    clock.now += away_seconds
    contact.note_success()
    assert contact.was_lost_recently is may_have_expired


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
