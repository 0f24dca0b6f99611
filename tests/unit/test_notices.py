"""Notices of upstreams: decoding, storage and the resulting availability."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from lib.paused_service import Outcome, PausedService
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.notices import (
    Availability,
    Notice,
    accepting_upstreams,
    availability_of,
    retry_after_seconds,
    shortest_pause,
)
from wardstair.platform.headers import decode_upstream
from wardstair.state.notices import (
    MAX_CARRIED_SECONDS,
    MAX_PAUSE_SECONDS,
    REMEMBERED_SECONDS,
    NoticeTable,
)
from wardstair.state.upstream import Upstream


def upstream_of(born: int = 1) -> Upstream:
    return Upstream(replace(ENTRY, born=born))


@pytest.mark.parametrize(
    ('texts', 'is_leaving'),
    [
        (['1'], True),
        ([' 1 '], True),
        (['1', '0'], True),
        (['0', '1'], True),
        (['0, 1'], True),
        ([], False),
        (['0'], False),
        ([''], False),
        (['11'], False),
        (['true'], False),
        (['\u0661'], False),
    ],
)
def test_any_header_value_announces_leaving(
    texts: list[str],
    *,
    is_leaving: bool,
) -> None:
    pairs = [('server-LEAVING', text) for text in texts]
    fields = decode_upstream(pairs)
    assert fields.is_leaving is is_leaving
    # The caller receives the header unchanged.
    assert fields.forwarded_headers == tuple(pairs)


@pytest.mark.parametrize(
    ('texts', 'seconds'),
    [
        (['3'], 3.0),
        ([' 0.5 '], 0.5),
        (['3', '1'], 3.0),
        (['1, 3'], 3.0),
        (['soon', '2'], 2.0),
        (['9' * 400], float('inf')),
        (['0'], 0.0),
        ([], None),
        ([''], None),
        (['-3'], None),
        (['1e3'], None),
        (['nan'], None),
        (['Thu, 03 Dec 2026 12:00:00 GMT'], None),
    ],
)
def test_longest_valid_retry_time_is_used(
    texts: list[str],
    seconds: float | None,
) -> None:
    pairs = [('RETRY-after', text) for text in texts]
    assert decode_upstream(pairs).retry_after == seconds


DRAIN_SECONDS = 4.0


@pytest.mark.parametrize(
    ('leaving_since', 'paused_until', 'availability'),
    [
        (None, 0.0, Availability.open),
        (None, 10.1, Availability.paused),
        (None, 10.0, Availability.open),
        (9.0, 0.0, Availability.leaving),
        (9.0, 11.0, Availability.paused),
        (8.0, 0.0, Availability.closed),
        (8.0, 99.0, Availability.closed),
    ],
)
def test_availability_follows_the_notices(
    leaving_since: float | None,
    paused_until: float,
    availability: Availability,
) -> None:
    notice = Notice(leaving_since, paused_until)
    assert availability_of(notice, 10.0, DRAIN_SECONDS) is availability


@pytest.mark.parametrize(
    ('availabilities', 'chosen'),
    [
        ([Availability.open, Availability.leaving, Availability.open], [0, 2]),
        ([Availability.paused, Availability.leaving, Availability.closed], [1]),
        ([Availability.paused, Availability.closed], []),
        ([], []),
    ],
)
def test_leaving_upstreams_are_used_only_without_open_ones(
    availabilities: list[Availability],
    chosen: list[int],
) -> None:
    assert accepting_upstreams(list(enumerate(availabilities))) == chosen


@pytest.mark.parametrize(
    ('notices', 'seconds'),
    [
        ([Notice(paused_until=13.0), Notice(paused_until=11.0)], 1.0),
        ([Notice(paused_until=13.0), Notice(9.0, 11.0)], 3.0),
        ([Notice(paused_until=13.0), Notice()], None),
        ([Notice(9.0, 11.0)], None),
        ([], None),
    ],
)
def test_shortest_pause_ignores_leaving_upstreams(
    notices: list[Notice],
    seconds: float | None,
) -> None:
    assert shortest_pause(notices, 10.0) == seconds


def retry_at_the_end(pause_left: float) -> float:
    """Have all callers retry at the end of a pause."""
    return pause_left


def simulate(
    rate: float,
    slots: int,
    work: float,
    pause: float,
    told: Callable[[float], float],
) -> Outcome:
    """Return the total outcome of several simulations of a load."""
    total = Outcome()
    for seed in range(6):
        one = PausedService(rate, slots, work, pause, seed).play(told)
        total.in_aim += one.in_aim
        total.late += one.late
        total.lost += one.lost
    return total


@pytest.mark.parametrize(
    ('rate', 'slots', 'work', 'pause'),
    [
        pytest.param(300, 120, 0.25, 3.0, id='two thirds of the slots used'),
        pytest.param(300, 120, 0.35, 3.0, id='nine tenths'),
        pytest.param(300, 120, 0.35, 0.6, id='nine tenths, short'),
        pytest.param(60, 36, 0.4, 2.0, id='small'),
    ],
)
def test_retries_are_spread_after_a_pause(
    rate: float,
    slots: int,
    work: float,
    pause: float,
) -> None:
    spread = simulate(rate, slots, work, pause, retry_after_seconds)
    same = simulate(rate, slots, work, pause, retry_at_the_end)
    assert spread.all == same.all
    assert spread.lost < same.lost
    assert spread.in_aim > same.in_aim


@pytest.mark.parametrize(
    ('pauses', 'at', 'availability'),
    [
        pytest.param([(0.0, 3.0)], 2.9, Availability.paused, id='within'),
        pytest.param([(0.0, 3.0)], 3.0, Availability.open, id='over'),
        pytest.param(
            [(0.0, 3.0), (0.5, 1.0)], 2.9, Availability.paused, id='less'
        ),
        pytest.param(
            [(0.0, 3.0), (2.0, 3.0)], 4.9, Availability.paused, id='more'
        ),
        pytest.param([(0.0, 0.0)], 0.0, Availability.open, id='none'),
        pytest.param(
            [(0.0, float('inf'))],
            MAX_PAUSE_SECONDS - 1,
            Availability.paused,
            id='huge',
        ),
        pytest.param(
            [(0.0, float('inf'))],
            MAX_PAUSE_SECONDS,
            Availability.open,
            id='bounded',
        ),
    ],
)
def test_longest_requested_pause_applies(
    pauses: list[tuple[float, float]],
    at: float,
    availability: Availability,
) -> None:
    clock = Clock()
    began = clock.now
    table = NoticeTable(clock)
    for asked_at, seconds in pauses:
        clock.now = began + asked_at
        table.note_pause(upstream_of(), seconds)
    clock.now = began + at
    assert table.availability(upstream_of()) is availability


def test_leaving_notice_applies_to_its_incarnation() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_leaving(upstream_of())
    first = table.notice_of(upstream_of()).leaving_since
    clock.now += 100
    table.note_leaving(upstream_of())
    table.note_pause(upstream_of(), 1)
    assert table.notice_of(upstream_of()).leaving_since == first
    clock.now += 2
    assert table.availability(upstream_of()) is Availability.closed
    assert table.availability(upstream_of(born=2)) is Availability.open


def test_late_answer_of_earlier_incarnation_is_ignored() -> None:
    table = NoticeTable(Clock())
    table.note_pause(upstream_of(born=2), 3)
    table.note_leaving(upstream_of(born=1))
    table.note_pause(upstream_of(born=1), 9)
    assert table.notice_of(upstream_of(born=1)) == Notice()
    assert table.notice_of(upstream_of(born=2)).leaving_since is None


@pytest.mark.parametrize(
    ('born', 'later', 'is_known'),
    [
        pytest.param(999_000, 0, True, id='had started'),
        pytest.param(999_000, MAX_CARRIED_SECONDS, True, id='still held'),
        pytest.param(999_000, MAX_CARRIED_SECONDS + 1, False, id='too old'),
        pytest.param(1_000_001, 0, False, id='started later'),
        pytest.param(2, 0, False, id='another clock'),
    ],
)
def test_a_notice_holds_for_an_incarnation_whose_entry_came_later(
    born: int,
    later: float,
    *,
    is_known: bool,
) -> None:
    clock = Clock()
    table = NoticeTable(clock, time_of_day=lambda: 1000.0)
    table.note_leaving(upstream_of())
    table.note_pause(upstream_of(), 3 * MAX_CARRIED_SECONDS)
    clock.now += later
    notice = table.notice_of(upstream_of(born))
    assert notice == (table.notice_of(upstream_of()) if is_known else Notice())
    table.note_pause(upstream_of(born), 1)
    is_leaving = table.notice_of(upstream_of(born)).leaving_since is not None
    assert is_leaving is is_known


def test_only_what_the_next_incarnation_said_is_carried() -> None:
    times = iter((900.0, 1000.0))
    table = NoticeTable(Clock(), time_of_day=lambda: next(times))
    table.note_leaving(upstream_of())
    table.note_pause(upstream_of(), 3)
    notice = table.notice_of(upstream_of(born=950_000))
    assert notice.leaving_since is None
    assert notice.paused_until > 0


def test_expired_pause_is_removed() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_pause(upstream_of(), 3)
    clock.now += 2
    table.forget(())
    assert table.availability(upstream_of()) is Availability.paused
    clock.now += 1
    table.forget([ENTRY.name])
    assert table.is_idle


def test_notice_is_kept_for_a_time_after_its_entry() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_leaving(upstream_of())
    clock.now += REMEMBERED_SECONDS - 1
    table.forget(())
    assert table.availability(upstream_of()) is Availability.closed
    clock.now += 2
    table.forget([ENTRY.name])
    assert table.availability(upstream_of()) is Availability.closed
    table.forget(())
    assert table.is_idle
