"""Tests of the messages between hosts during the roll-out of a version."""

from collections import Counter
from random import Random

import cbor2
import pytest
from lib.revisions import at

from wardstair.decisions.rollout_verdict import AnswerTally, TallyKey
from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet.rollout_messages import (
    MAX_DATAGRAM_BYTES,
    ReportBundle,
    RolloutMessage,
    RolloutPlan,
    RolloutReport,
    bundles,
    decode_message,
    encode_message,
    number_of_host,
)

TALLIES = {
    TallyKey(2**32 - number, 2**31 + number): AnswerTally(300, 20, 10)
    for number in range(1, 201)
}
REPORT = RolloutReport(
    sender='north-a-entry-17',
    zone='north-a',
    run=2**48,
    number=70000,
    service='reservations',
    version='v20260912-1',
    requests=100000,
    sent=5000,
    allowed=6000,
    can_use_more=True,
    term=at(70000),
    plan=900,
    stage=RolloutStage.moving,
    waiting=3,
    is_urgent=True,
    new=TALLIES,
    old={TallyKey(1, 2): AnswerTally(1, 0, 0)},
)
PLAN = RolloutPlan(
    service='reservations',
    version='v20260912-1',
    term=at(7),
    number=12,
    stage=RolloutStage.testing,
    share=0.1,
    group=frozenset(2**32 - number for number in range(1, 13)),
    allowances={2**32 - number: 10000 + number for number in range(1, 301)},
    reason='testing',
    is_forwarded=True,
)


@pytest.mark.parametrize(
    'message',
    [
        REPORT,
        PLAN,
        ReportBundle((b'one', b'two')),
        RolloutReport('a', 'z', 1, 1, 's', 'v', 0, 0, 0, False),
    ],
)
def test_decoding_returns_what_was_encoded(message: RolloutMessage) -> None:
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'\xff\xff',
        cbor2.dumps(7),
        cbor2.dumps([2, 1]),
        cbor2.dumps([1, 9, 'kind']),
        cbor2.dumps([1, 2, 7]),
        cbor2.dumps([1, 2, [2**20]]),
        cbor2.dumps([1, 3, 's', 'v', [0, 1], 1, 0, 1.5, [], {}, '', False]),
        cbor2.dumps([1, 3, 's', 'v', [0, 1], 1, 9, 0.5, [], {}, '', False]),
        cbor2.dumps([1, 3, 's', 'v', [0, 1], 1, 0, 0.5, [], {1: -1}, '', 0]),
        encode_message(REPORT)[:-1],
    ],
)
def test_a_datagram_that_is_no_message_is_not_decoded(datagram: bytes) -> None:
    assert decode_message(datagram) is None


def test_random_bytes_are_not_decoded() -> None:
    random = Random(3)
    whole = encode_message(next(REPORT.parts()))
    for _ in range(2000):
        changed = bytearray(whole)
        changed[random.randrange(len(whole))] = random.randrange(256)
        decode_message(bytes(changed))


def test_parts_of_a_report_fit_into_datagrams_and_hold_all_answers() -> None:
    parts = list(REPORT.parts())
    new = Counter(key for part in parts for key in part.new)
    assert new == Counter(REPORT.new.keys())
    assert sum(len(part.old) for part in parts) == 1
    assert all(part.number == REPORT.number for part in parts)
    for part in parts:
        assert len(encode_message(part)) <= MAX_DATAGRAM_BYTES


def test_parts_of_a_plan_fit_into_datagrams_and_hold_all_allowances() -> None:
    parts = list(PLAN.parts(is_forwarded=True))
    given = Counter[int]()
    for part in parts:
        given.update(part.allowances)
        assert len(encode_message(part)) <= MAX_DATAGRAM_BYTES
    assert all(part.is_forwarded for part in parts)
    assert given == Counter(PLAN.allowances)


def test_bundles_fit_into_datagrams_and_hold_all_reports() -> None:
    reports = [bytes(100 + number) for number in range(60)]
    made = list(bundles(reports))
    assert [one for bundle in made for one in bundle.reports] == reports
    for bundle in made:
        assert len(encode_message(bundle)) <= MAX_DATAGRAM_BYTES


def test_a_restarted_host_has_another_number() -> None:
    assert number_of_host('host-1', 1) != number_of_host('host-1', 2)
