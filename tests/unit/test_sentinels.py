"""Choice of sentinels, and how soon they are replaced."""

from collections.abc import Callable
from random import Random

import pytest
from lib.beats import beat_of, peer_of

from wardstair.decisions.timing import timing_for
from wardstair.fleet.heartbeats import decode_heartbeat, encode_heartbeat
from wardstair.fleet.members import Members
from wardstair.state.contact import StoreContact

TIMING = timing_for(2.5, 3.0)


class _Fleet:
    """A host that receives heartbeats of all relays, with a manual clock."""

    def __init__(self, own: int = 0, zones: int = 3) -> None:
        self.now = 100.0
        self.regions = {f'z{zone}': f'r{zone % 3}' for zone in range(zones)}
        self.peers = [
            peer_of(f'host-{zone}-{number}', zone)
            for zone in self.regions
            for number in range(2)
        ]
        self.members = Members(
            self.peers.pop(own),
            lambda: self.now,
            lambda: True,
        )
        self.members.sentinel_silence = lambda: TIMING.sentinel_silence
        self.hear_all(1)

    @property
    def rank(self) -> int | None:
        return self.members.sentinel_rank(self.regions, takes_part=True)

    def hear_all(
        self, number: int, *, is_contact_suspect: bool = False
    ) -> None:
        for peer in self.peers:
            beat = beat_of(
                peer,
                number,
                is_sentinel=True,
                is_contact_suspect=is_contact_suspect,
            )
            self.members.hear(beat)


def fleet_of_other_host() -> _Fleet:
    """Return the fleet as seen by a host that is no sentinel."""
    fleets = [_Fleet(own) for own in range(6)]
    return next(fleet for fleet in fleets if fleet.rank is None)


def test_silent_sentinels_are_replaced_in_time() -> None:
    fleet = fleet_of_other_host()
    fleet.now += 2 * TIMING.sentinel_heartbeat
    assert fleet.rank is None
    fleet.now += TIMING.sentinel_silence
    assert fleet.rank is not None


def test_sentinels_without_sure_contact_are_replaced_at_once() -> None:
    fleet = fleet_of_other_host()
    fleet.hear_all(2, is_contact_suspect=True)
    assert fleet.rank is not None
    fleet.hear_all(3)
    assert fleet.rank is None


@pytest.mark.parametrize('zones', [3, 6, 9, 62])
def test_two_hosts_are_sentinels_in_fleets_of_any_size(zones: int) -> None:
    ranks = [_Fleet(own, zones).rank for own in range(2 * zones)]
    assert sorted(rank for rank in ranks if rank is not None) == [0, 1]


def test_late_watch_of_a_sentinel_renews_watches_once() -> None:
    fleet = _Fleet()
    renewed: list[float] = []
    fleet.members.on_suspect = lambda: renewed.append(fleet.now)
    sentinel_peer = fleet.peers[2]
    for number in (2, 3):
        beat = beat_of(
            sentinel_peer, number, is_sentinel=True, is_contact_suspect=True
        )
        decoded = decode_heartbeat(encode_heartbeat(beat))
        assert decoded is not None
        fleet.members.hear(decoded)
    assert len(renewed) == 1


@pytest.mark.parametrize(
    ('ends', 'is_lost'),
    [
        pytest.param(lambda one: one.note_success(), False, id='an answer'),
        pytest.param(lambda one: one.note_failure('x'), True, id='a failure'),
    ],
)
def test_contact_is_suspect_until_the_next_outcome(
    ends: Callable[[StoreContact], None],
    *,
    is_lost: bool,
) -> None:
    contact = StoreContact(lambda: 100.0, Random(1))
    contact.note_success()
    states: list[tuple[bool, bool]] = []
    contact.on_suspect = lambda: states.append(
        (contact.is_suspect, contact.is_lost)
    )
    contact.note_late_watch()
    contact.note_late_watch()
    ends(contact)
    assert states == [(True, False), (False, is_lost)]
