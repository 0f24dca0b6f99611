"""What upstreams say of further requests, as a host reads and keeps it."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from lib.paused_service import Outcome, PausedService
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.notices import (
    Notice,
    Standing,
    return_after,
    shortest_pause,
    standing_of,
    willing,
)
from wardstair.platform.headers import decode_upstream
from wardstair.state.notices import (
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
def test_an_upstream_leaves_if_any_value_says_so(
    texts: list[str],
    *,
    is_leaving: bool,
) -> None:
    pairs = [('server-LEAVING', text) for text in texts]
    fields = decode_upstream(pairs)
    assert fields.is_leaving is is_leaving
    # The caller's side gets it as the upstream wrote it.
    assert fields.passed_on == tuple(pairs)


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
def test_the_longest_time_that_can_be_read_is_meant(
    texts: list[str],
    seconds: float | None,
) -> None:
    pairs = [('RETRY-after', text) for text in texts]
    assert decode_upstream(pairs).retry_after == seconds


DRAIN_SECONDS = 4.0


@pytest.mark.parametrize(
    ('leaving_since', 'paused_until', 'standing'),
    [
        (None, 0.0, Standing.open),
        (None, 10.1, Standing.paused),
        (None, 10.0, Standing.open),
        (9.0, 0.0, Standing.leaving),
        (9.0, 11.0, Standing.paused),
        (8.0, 0.0, Standing.closed),
        (8.0, 99.0, Standing.closed),
    ],
)
def test_what_an_upstream_takes_follows_what_it_has_said(
    leaving_since: float | None,
    paused_until: float,
    standing: Standing,
) -> None:
    notice = Notice(leaving_since, paused_until)
    assert standing_of(notice, 10.0, DRAIN_SECONDS) is standing


@pytest.mark.parametrize(
    ('standings', 'chosen'),
    [
        ([Standing.open, Standing.leaving, Standing.open], [0, 2]),
        ([Standing.paused, Standing.leaving, Standing.closed], [1]),
        ([Standing.paused, Standing.closed], []),
        ([], []),
    ],
)
def test_leaving_upstreams_are_kept_for_a_service_without_others(
    standings: list[Standing],
    chosen: list[int],
) -> None:
    assert willing(list(enumerate(standings))) == chosen


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
def test_a_caller_is_told_when_the_first_pause_ends(
    notices: list[Notice],
    seconds: float | None,
) -> None:
    assert shortest_pause(notices, 10.0) == seconds


def at_the_end(pause_left: float) -> float:
    """Let all callers come back at the end of a pause."""
    return pause_left


def played(
    rate: float,
    slots: int,
    work: float,
    pause: float,
    told: Callable[[float], float],
) -> Outcome:
    """Return what callers get in several plays of a load."""
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
def test_callers_that_meet_a_pause_do_not_all_come_back_at_its_end(
    rate: float,
    slots: int,
    work: float,
    pause: float,
) -> None:
    spread = played(rate, slots, work, pause, return_after)
    same = played(rate, slots, work, pause, at_the_end)
    assert spread.all == same.all
    assert spread.lost < same.lost
    assert spread.in_aim > same.in_aim


@pytest.mark.parametrize(
    ('pauses', 'at', 'standing'),
    [
        pytest.param([(0.0, 3.0)], 2.9, Standing.paused, id='within'),
        pytest.param([(0.0, 3.0)], 3.0, Standing.open, id='over'),
        pytest.param([(0.0, 3.0), (0.5, 1.0)], 2.9, Standing.paused, id='less'),
        pytest.param([(0.0, 3.0), (2.0, 3.0)], 4.9, Standing.paused, id='more'),
        pytest.param([(0.0, 0.0)], 0.0, Standing.open, id='none'),
        pytest.param(
            [(0.0, float('inf'))],
            MAX_PAUSE_SECONDS - 1,
            Standing.paused,
            id='huge',
        ),
        pytest.param(
            [(0.0, float('inf'))],
            MAX_PAUSE_SECONDS,
            Standing.open,
            id='bounded',
        ),
    ],
)
def test_a_pause_lasts_as_long_as_the_longest_that_was_asked_for(
    pauses: list[tuple[float, float]],
    at: float,
    standing: Standing,
) -> None:
    clock = Clock()
    began = clock.now
    table = NoticeTable(clock)
    for asked_at, seconds in pauses:
        clock.now = began + asked_at
        table.note_pause(upstream_of(), seconds)
    clock.now = began + at
    assert table.availability(upstream_of()) is standing


def test_a_life_that_leaves_does_so_until_the_next_begins() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_leaving(upstream_of())
    first = table.notice_of(upstream_of()).leaving_since
    clock.now += 100
    table.note_leaving(upstream_of())
    table.note_pause(upstream_of(), 1)
    assert table.notice_of(upstream_of()).leaving_since == first
    clock.now += 2
    assert table.availability(upstream_of()) is Standing.closed
    assert table.availability(upstream_of(born=2)) is Standing.open


def test_a_late_answer_of_an_earlier_life_says_nothing_of_the_next() -> None:
    table = NoticeTable(Clock())
    table.note_pause(upstream_of(born=2), 3)
    table.note_leaving(upstream_of(born=1))
    table.note_pause(upstream_of(born=1), 9)
    assert table.notice_of(upstream_of(born=1)) == Notice()
    assert table.notice_of(upstream_of(born=2)).leaving_since is None


def test_a_pause_that_is_over_is_forgotten() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_pause(upstream_of(), 3)
    clock.now += 2
    table.forget(())
    assert table.availability(upstream_of()) is Standing.paused
    clock.now += 1
    table.forget([ENTRY.name])
    assert table.is_idle


def test_a_notice_outlasts_the_entry_for_a_while() -> None:
    clock = Clock()
    table = NoticeTable(clock)
    table.note_leaving(upstream_of())
    clock.now += REMEMBERED_SECONDS - 1
    table.forget(())
    assert table.availability(upstream_of()) is Standing.closed
    clock.now += 2
    table.forget([ENTRY.name])
    assert table.availability(upstream_of()) is Standing.closed
    table.forget(())
    assert table.is_idle
