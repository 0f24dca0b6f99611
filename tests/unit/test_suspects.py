"""The table of suspect requests: expiry, capacity, clock skew, merging."""

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


class SuspectHost:
    """A table with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = float(START)
        self.changes = 0
        self.table = SuspectTable(lambda: self.now, on_change=self.note)

    def note(self) -> None:
        self.changes += 1

    def end(self, request: str, *incarnations: str) -> None:
        for incarnation in incarnations:
            self.table.note_ended((request,), incarnation)


def content(number: int) -> str:
    """Return the digest of a request."""
    return f'{number:016x}'


A = content(1)


def sent(records: Mapping[str, Evidence]) -> dict[str, Evidence]:
    """Return records as another host receives them."""
    encoded = StateEncoder().encode(SharedState(suspects=records))
    decoded = decode_state(encoded)
    assert decoded is not None
    return dict(decoded.suspects)


def stored(records: Mapping[str, Evidence]) -> dict[str, Evidence]:
    """Return records as they are read back from the store."""
    document = encode_suspects(records, 7)
    read = StoredObject(metadata=Metadata(name='all'), spec=document['spec'])
    decoded = decode_suspects(read)
    assert decoded is not None
    return decoded


@pytest.mark.parametrize('path', [sent, stored])
def test_evidence_of_three_hosts_is_merged_over_each_path(path: object) -> None:
    assert callable(path)
    hosts = [SuspectHost() for _ in range(3)]
    for number, host in enumerate(hosts):
        host.end(A, f'u{number}@1')
        assert not host.table.held
    for host in hosts:
        for other in hosts:
            host.table.add_evidence(path(other.table.records))
    assert all(host.table.held == {A} for host in hosts)
    assert len({host.table.digest for host in hosts}) == 1
    # Known evidence counts as no change; otherwise hosts would announce it to
    # each other endlessly.
    assert not hosts[0].table.add_evidence(path(hosts[1].table.records))


@pytest.mark.parametrize(
    ('incarnations', 'seconds', 'is_kept'),
    [
        pytest.param(3, HELD_SECONDS - 1, True, id='held'),
        pytest.param(3, HELD_SECONDS, False, id='no longer held'),
        pytest.param(2, SUSPECT_SECONDS - 1, True, id='suspect'),
        pytest.param(2, SUSPECT_SECONDS, False, id='no longer suspect'),
    ],
)
def test_records_expire(incarnations: int, seconds: int, is_kept: bool) -> None:
    host = SuspectHost()
    host.end(A, *(f'u{number}@1' for number in range(incarnations)))
    host.now += seconds
    host.table.expire()
    assert (A in host.table.records) is is_kept
    assert bool(host.table.held) is (is_kept and incarnations >= 3)
    assert bool(host.table.digest) is is_kept


@pytest.mark.parametrize('seconds', [0, SUSPECT_SECONDS + 60])
def test_a_host_that_starts_minutes_later_receives_records(
    seconds: int,
) -> None:
    host, newcomer = SuspectHost(), SuspectHost()
    host.end(A, 'u1@1', 'u2@1', 'u3@1')
    newcomer.now += seconds
    newcomer.table.add_evidence(sent(host.table.records))
    assert newcomer.table.held == {A}
    newcomer.now = START + HELD_SECONDS
    newcomer.table.expire()
    # Expired evidence is not added again.
    assert not newcomer.table.add_evidence(sent(host.table.records))


def test_another_exit_renews_a_record() -> None:
    host = SuspectHost()
    host.end(A, 'u1@1', 'u2@1')
    host.now += SUSPECT_SECONDS - 1
    host.end(A, 'u3@1')
    assert host.table.held == {A}
    assert host.table.seconds_left(A) == HELD_SECONDS


def test_a_clock_that_is_ahead_does_not_extend_holding() -> None:
    ahead = SuspectHost()
    ahead.now += 10 * HELD_SECONDS
    ahead.end(A, 'u1@1', 'u2@1', 'u3@1')
    host = SuspectHost()
    host.table.add_evidence(ahead.table.records)
    assert host.table.held == {A}
    assert host.table.seconds_left(A) <= HELD_SECONDS
    host.now += HELD_SECONDS
    host.table.expire()
    assert not host.table.records


def test_ever_new_requests_use_bounded_capacity() -> None:
    host = SuspectHost()
    host.end(A, 'u1@1', 'u2@1', 'u3@1')
    for number in range(MAX_RECORDS + 50):
        host.end(content(1000 + number), 'u4@1')
        assert len(host.table.records) <= MAX_RECORDS
    # Records with the fewest incarnations are dropped first.
    assert host.table.held == {A}


def test_incarnations_of_one_request_use_bounded_capacity() -> None:
    host = SuspectHost()
    host.end(A, *(f'u{number}@1' for number in range(MAX_INCARNATIONS * 2)))
    for number in range(MAX_INCARNATIONS * 2):
        host.table.note_answered(A, f'v{number}@1')
    known = host.table.records[A]
    assert len(known.ended) == MAX_INCARNATIONS
    assert len(known.answered) == MAX_INCARNATIONS


def test_lifting_a_request_applies_to_all_hosts() -> None:
    host, other = SuspectHost(), SuspectHost()
    host.end(A, 'u1@1', 'u2@1', 'u3@1')
    other.table.add_evidence(host.table.records)
    assert not host.table.lift(content(2))
    assert host.table.lift(A)
    assert not host.table.held
    # Evidence of a host that has not received the lift does not restore it.
    host.table.add_evidence(other.table.records)
    assert not host.table.held
    other.table.add_evidence(sent(host.table.records))
    assert not other.table.held
    # The request is held again after further exits.
    host.now += 1
    host.end(A, 'u4@1', 'u5@1', 'u6@1')
    assert host.table.held == {A}


def test_each_ended_incarnation_is_reported_once() -> None:
    host, other = SuspectHost(), SuspectHost()
    reported: list[str] = []
    other.table.on_ended = reported.append
    host.end(A, 'u1@1')
    other.table.add_evidence(sent(host.table.records))
    other.table.add_evidence(sent(host.table.records))
    host.end(A, 'u2@1')
    other.table.add_evidence(sent(host.table.records))
    assert reported == ['u1@1', 'u2@1']


def test_a_request_with_a_single_incarnation_is_not_stored() -> None:
    host = SuspectHost()
    host.end(A, 'u1@1')
    assert not host.table.shared
    host.end(A, 'u2@1')
    assert set(host.table.shared) == {A}


@pytest.mark.parametrize(
    'spec',
    [
        None,
        [],
        {'requests': []},
        {'requests': {A: {'ended': ['u1']}}},
        {'requests': {A: {'ended': {'u1': 'soon'}}}},
        # Invalid digests of requests and invalid times.
        {'requests': {'a': {'ended': {'u1@1': 1}}}},
        {'requests': {'Z' * 16: {'ended': {'u1@1': 1}}}},
        {'requests': {A: {'ended': {'u1@1': -1}}}},
        {'requests': {A: {'ended': {'u1@1': 1.5}}}},
        {'requests': {A: {'ended': {'u1@1': 1}, 'lifted_at': 10**12}}},
    ],
)
def test_an_invalid_object_is_not_decoded(spec: object) -> None:
    read = StoredObject(metadata=Metadata(name='all'), spec=spec)
    assert decode_suspects(read) is None
