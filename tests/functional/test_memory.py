"""Bounds on the memory of pipes, the journal and decoded messages."""

from random import Random

import pytest

from wardstair.connection.pipe import Pipe
from wardstair.decisions.membership import FarHost
from wardstair.process.journal import Journal
from wardstair.process.messages import (
    DEFLATED,
    MAX_MESSAGE_BYTES,
    HostsGive,
    PartGive,
    decode,
    encode,
)


def test_a_pipe_accepts_its_limit_plus_one_chunk() -> None:
    pipe = Pipe(limit=100)
    accepted = 0
    while pipe.offer(b'x' * 64):
        accepted += 64
    assert accepted == 128
    assert pipe.take(1000) == b'x' * 64
    assert pipe.offer(b'y')


def test_the_journal_evicts_the_oldest_entry() -> None:
    journal = Journal(entries=3)
    for number in range(5):
        journal.open(str(number), 1)
    assert journal.find('1') is None
    assert journal.find('4') is not None


@pytest.mark.parametrize('count', [1, 300])
def test_messages_survive_encoding_and_decoding(count: int) -> None:
    hosts = tuple(
        FarHost(f'host-{number}', '01', leaving=False)
        for number in range(count)
    )
    raw = encode(HostsGive(hosts))
    assert raw.startswith(DEFLATED) == (count > 1)
    assert decode(raw).unwrap() == HostsGive(hosts)


@pytest.mark.parametrize(
    'raw',
    [b'', b'\xff', DEFLATED, DEFLATED + b'junk', b'\xa1\x64kind\x61x'],
)
def test_malformed_messages_are_rejected(raw: bytes) -> None:
    assert decode(raw).is_err()


def test_a_small_message_that_inflates_beyond_the_limit_is_rejected() -> None:
    raw = encode(PartGive(b'0' * (2 * MAX_MESSAGE_BYTES)))
    assert len(raw) < MAX_MESSAGE_BYTES / 100
    assert decode(raw).is_err()


def test_decoding_random_bytes_never_raises() -> None:
    random = Random(1)
    for _ in range(2000):
        raw = random.randbytes(random.randrange(40))
        decode(raw)
        decode(DEFLATED + raw)
