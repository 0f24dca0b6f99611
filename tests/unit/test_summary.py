"""The summary counts requests that were not served in time by cause."""

import io
import sys

import pytest

from wardstair.cli.explain import explain
from wardstair.process.request_history import Cause
from wardstair.process.summary import CauseCount, summarize

ANSWERED = (
    'time=1 event=request-answered request={id} route=read late={late} '
    'seconds={seconds} warm={warm} load={load} slots=4 sends={sends}'
)


def answered(
    *,
    late: bool = True,
    seconds: float = 0.5,
    warm: bool = True,
    load: float = 0,
    sends: int = 1,
) -> str:
    """Return the log line of an answered request."""
    return ANSWERED.format(
        id='r',
        late=late,
        seconds=seconds,
        warm=warm,
        load=load,
        sends=sends,
    )


REFUSED = 'event=request-refused request=r reason={} route=read seconds=0.0'


@pytest.mark.parametrize(
    ('line', 'cause'),
    [
        (answered(warm=False), Cause.late_cold),
        (answered(load=5), Cause.late_queue),
        (answered(load=1), Cause.late_slow),
        (answered(sends=2), Cause.late_again),
        (REFUSED.format('overloaded'), Cause.refused_full),
        (REFUSED.format('deadline-passed'), Cause.timed_out),
        ('event=caller-left request=r route=read seconds=1.0', Cause.left),
        ('event=request-unheld request=r held=9', Cause.refused_memory),
    ],
)
def test_each_end_event_has_its_cause(line: str, cause: Cause) -> None:
    (count,) = summarize([line])
    assert (count.cause, count.requests, count.share) == (cause, 1, 1.0)


def test_most_frequent_cause_is_first_and_requests_in_time_are_ignored() -> (
    None
):
    lines = [
        answered(late=False),
        answered(load=5, seconds=0.4),
        answered(load=5, seconds=0.6),
        answered(load=5, seconds=0.7),
        answered(warm=False, seconds=0.9),
        'event=request-resent request=r reason=silent',
        'not a line of ours',
    ]
    assert summarize(lines) == [
        CauseCount(Cause.late_queue, 'read', 3, 0.75, 0.6),
        CauseCount(Cause.late_cold, 'read', 1, 0.25, 0.9),
    ]
    assert summarize([]) == []


def test_the_command_prints_a_table(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(sys, 'stdin', io.StringIO(f'{answered(load=5)}\n'))
    explain(summary=True)
    head, row = capsys.readouterr().out.splitlines()
    assert head.split() == [
        'requests',
        'share',
        'median_seconds',
        'route',
        'cause',
    ]
    assert row.split()[:4] == ['1', '100.0%', '0.500', 'read']


def test_the_command_without_a_request_id_prints_usage(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as ended:
        explain()
    assert ended.value.code == 2
    assert '--summary' in capsys.readouterr().err
