"""The table of requests that ended upstreams: time, room, clocks, others."""

from collections.abc import Mapping

import pytest

from wardstair.decisions.suspicion import Evidence
from wardstair.fleet.sharing import (
    SharedState,
    StateEncoder,
    decode_state,
)
from wardstair.platform.objects import (
    Metadata,
    StoredObject,
    decode_suspects,
    encode_suspects,
)
from wardstair.state.suspects import (
    HELD_SECONDS,
    MAX_INCARNATIONS,
    MAX_RECORDS,
    SUSPECT_SECONDS,
    SuspectTable,
)

START = 1_800_000_000


class Day:
    """A table in a time that moves by hand."""

    def __init__(self) -> None:
        self.now = float(START)
        self.changes = 0
        self.table = SuspectTable(lambda: self.now, on_change=self.note)

    def note(self) -> None:
        self.changes += 1

    def end(self, request: str, *lives: str) -> None:
        for life in lives:
            self.table.note_ended((request,), life)


def content(number: int) -> str:
    """Return the digest of a request."""
    return f'{number:016x}'


A = content(1)


def told(records: Mapping[str, Evidence]) -> dict[str, Evidence]:
    """Return records as another host gets them."""
    encoded = StateEncoder().encode(SharedState(suspects=records))
    decoded = decode_state(encoded)
    assert decoded is not None
    return dict(decoded.suspects)


def stored(records: Mapping[str, Evidence]) -> dict[str, Evidence]:
    """Return records as the store gives them back."""
    document = encode_suspects(records, 7)
    read = StoredObject(metadata=Metadata(name='all'), spec=document['spec'])
    decoded = decode_suspects(read)
    assert decoded is not None
    return decoded


@pytest.mark.parametrize('way', [told, stored])
def test_what_three_hosts_saw_adds_up_over_each_way(way: object) -> None:
    assert callable(way)
    hosts = [Day() for _ in range(3)]
    for number, host in enumerate(hosts):
        host.end(A, f'u{number}@1')
        assert not host.table.held
    for host in hosts:
        for other in hosts:
            host.table.add_evidence(way(other.table.records))
    assert all(host.table.held == {A} for host in hosts)
    assert len({host.table.digest for host in hosts}) == 1
    # Told again it is no news, which would go round for ever.
    assert not hosts[0].table.add_evidence(way(hosts[1].table.records))


@pytest.mark.parametrize(
    ('lives', 'seconds', 'is_kept'),
    [
        pytest.param(3, HELD_SECONDS - 1, True, id='comes again after minutes'),
        pytest.param(3, HELD_SECONDS, False, id='its time is over'),
        pytest.param(2, SUSPECT_SECONDS - 1, True, id='suspected'),
        pytest.param(2, SUSPECT_SECONDS, False, id='no longer suspected'),
    ],
)
def test_what_is_known_ends(lives: int, seconds: int, is_kept: bool) -> None:
    day = Day()
    day.end(A, *(f'u{number}@1' for number in range(lives)))
    day.now += seconds
    day.table.expire()
    assert (A in day.table.records) is is_kept
    assert bool(day.table.held) is (is_kept and lives >= 3)
    assert bool(day.table.digest) is is_kept


@pytest.mark.parametrize('seconds', [0, SUSPECT_SECONDS + 60])
def test_a_host_that_starts_minutes_later_is_told(seconds: int) -> None:
    day, newcomer = Day(), Day()
    day.end(A, 'u1@1', 'u2@1', 'u3@1')
    newcomer.now += seconds
    newcomer.table.add_evidence(told(day.table.records))
    assert newcomer.table.held == {A}
    newcomer.now = START + HELD_SECONDS
    newcomer.table.expire()
    # What is too old does not come back.
    assert not newcomer.table.add_evidence(told(day.table.records))


def test_an_end_renews_what_is_known() -> None:
    day = Day()
    day.end(A, 'u1@1', 'u2@1')
    day.now += SUSPECT_SECONDS - 1
    day.end(A, 'u3@1')
    assert day.table.held == {A}
    assert day.table.seconds_left(A) == HELD_SECONDS


def test_a_clock_that_is_ahead_holds_nobody_for_longer() -> None:
    ahead = Day()
    ahead.now += 10 * HELD_SECONDS
    ahead.end(A, 'u1@1', 'u2@1', 'u3@1')
    day = Day()
    day.table.add_evidence(ahead.table.records)
    assert day.table.held == {A}
    assert day.table.seconds_left(A) <= HELD_SECONDS
    day.now += HELD_SECONDS
    day.table.expire()
    assert not day.table.records


def test_a_caller_that_draws_ever_new_requests_takes_bounded_room() -> None:
    day = Day()
    day.end(A, 'u1@1', 'u2@1', 'u3@1')
    for number in range(MAX_RECORDS + 50):
        day.end(content(1000 + number), 'u4@1')
        assert len(day.table.records) <= MAX_RECORDS
    # Those with the fewest lives go first.
    assert day.table.held == {A}


def test_lives_of_one_request_take_bounded_room() -> None:
    day = Day()
    day.end(A, *(f'u{number}@1' for number in range(MAX_INCARNATIONS * 2)))
    for number in range(MAX_INCARNATIONS * 2):
        day.table.note_answered(A, f'v{number}@1')
    known = day.table.records[A]
    assert len(known.ended) == MAX_INCARNATIONS
    assert len(known.answered) == MAX_INCARNATIONS


def test_an_operator_lifts_it_for_all() -> None:
    day, other = Day(), Day()
    day.end(A, 'u1@1', 'u2@1', 'u3@1')
    other.table.add_evidence(day.table.records)
    assert not day.table.lift(content(2))
    assert day.table.lift(A)
    assert not day.table.held
    # A host that has not heard of it does not bring it back.
    day.table.add_evidence(other.table.records)
    assert not day.table.held
    other.table.add_evidence(told(day.table.records))
    assert not other.table.held
    # It is held again if it goes on.
    day.now += 1
    day.end(A, 'u4@1', 'u5@1', 'u6@1')
    assert day.table.held == {A}


def test_each_life_that_ended_is_told_once() -> None:
    day, other = Day(), Day()
    told_lives: list[str] = []
    other.table.on_ended = told_lives.append
    day.end(A, 'u1@1')
    other.table.add_evidence(told(day.table.records))
    other.table.add_evidence(told(day.table.records))
    day.end(A, 'u2@1')
    other.table.add_evidence(told(day.table.records))
    assert told_lives == ['u1@1', 'u2@1']


def test_one_life_of_one_request_is_not_worth_a_write() -> None:
    day = Day()
    day.end(A, 'u1@1')
    assert not day.table.shared
    day.end(A, 'u2@1')
    assert set(day.table.shared) == {A}


@pytest.mark.parametrize(
    'spec',
    [
        None,
        [],
        {'requests': []},
        {'requests': {A: {'ended': ['u1']}}},
        {'requests': {A: {'ended': {'u1': 'soon'}}}},
        # Names that no host gives a request, and times that are none.
        {'requests': {'a': {'ended': {'u1@1': 1}}}},
        {'requests': {'Z' * 16: {'ended': {'u1@1': 1}}}},
        {'requests': {A: {'ended': {'u1@1': -1}}}},
        {'requests': {A: {'ended': {'u1@1': 1.5}}}},
        {'requests': {A: {'ended': {'u1@1': 1}, 'lifted_at': 10**12}}},
    ],
)
def test_an_object_that_cannot_be_read_tells_nothing(spec: object) -> None:
    read = StoredObject(metadata=Metadata(name='all'), spec=spec)
    assert decode_suspects(read) is None
