"""How the capacity for bodies and answers is shared out."""

import pytest

from wardstair.connection.answer_memory import Reservation
from wardstair.gateway.bodies import (
    ANSWERS_DIVISOR,
    BodyCapacity,
    MemoryLease,
    body_capacity,
    memory_of,
)

MEBIBYTE = 1024 * 1024
LARGEST = 64 * MEBIBYTE


def waiting(
    capacity: BodyCapacity, name: str, length: int, made: list[str]
) -> MemoryLease:
    """Return a lease whose answer waits for memory."""
    lease = MemoryLease(capacity)
    reserved = lease.reserve(length, lambda: made.append(name))
    assert reserved is Reservation.waiting
    return lease


@pytest.mark.parametrize('megabytes', [200, 300, 424, 552])
def test_each_host_takes_a_body_of_the_largest_size(megabytes: int) -> None:
    capacity = body_capacity(megabytes * MEBIBYTE)
    assert capacity.grow_body(0, LARGEST)
    assert capacity.held_bytes <= capacity.max_body_bytes


def test_bodies_leave_a_part_to_answers() -> None:
    capacity = BodyCapacity(LARGEST)
    while capacity.grow_body(0, MEBIBYTE):
        """Take bodies until one is refused."""
    assert MemoryLease(capacity).take(LARGEST // ANSWERS_DIVISOR // 3)


def test_answers_get_memory_in_the_order_of_their_waiting() -> None:
    made: list[str] = []
    capacity = BodyCapacity(LARGEST)
    holder = MemoryLease(capacity)
    assert holder.take(LARGEST // 2)
    first = waiting(capacity, 'first', LARGEST // 2, made)
    second = waiting(capacity, 'second', LARGEST // 2, made)
    holder.release()
    assert made == ['first']
    first.release()
    assert made == ['first', 'second']
    second.release()
    assert not capacity.held_bytes


def test_an_answer_that_is_given_up_lets_those_behind_it_pass() -> None:
    made: list[str] = []
    capacity = BodyCapacity(LARGEST)
    holder = MemoryLease(capacity)
    assert holder.take(LARGEST // 2)
    waiting(capacity, 'gone', LARGEST // 2, made).release()
    waiting(capacity, 'second', LARGEST // 2, made)
    holder.release()
    assert made == ['second']


def test_no_body_takes_what_an_answer_waits_for() -> None:
    capacity = BodyCapacity(LARGEST)
    holder = MemoryLease(capacity)
    assert holder.take(LARGEST // 4)
    waiting(capacity, 'first', LARGEST * 3 // 4, [])
    assert not capacity.grow_body(0, MEBIBYTE)


def test_an_answer_beyond_the_capacity_is_refused_at_once() -> None:
    lease = MemoryLease(BodyCapacity(LARGEST))
    assert lease.reserve(LARGEST, lambda: None) is Reservation.refused


def test_an_answer_frees_the_body_of_its_own_request_first() -> None:
    capacity = BodyCapacity(memory_of(LARGEST))
    body = MemoryLease(capacity)
    assert body.take_body(LARGEST // 2)
    answer = MemoryLease(capacity, on_short=body.release)
    assert answer.reserve(LARGEST, lambda: None) is Reservation.made
