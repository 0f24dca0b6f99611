"""The cause of a failed request, found by its id in the log alone."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import pytest
from lib.rig import Rig
from lib.specs import upstream_spec
from lib.upstream_standin import Seen, UpstreamStandin, answer_full, answer_ok
from loguru import logger

from wardstair.process.request_history import (
    Cause,
    RequestHistory,
    collect_history,
)

FORMAT = 'time={time:HH:mm:ss.SSS} level={level} {message}'
Test = Callable[[Rig], Awaitable[None]]


@contextmanager
def collected_log() -> Iterator[list[str]]:
    """Collect log lines as they are written."""
    lines: list[str] = []
    number = logger.add(lines.append, format=FORMAT)
    try:
        yield lines
    finally:
        logger.remove(number)


def history_of(test: Test, *upstreams: UpstreamStandin) -> RequestHistory:
    """Run a test and return the history of the request r1."""

    async def main() -> None:
        async with Rig(*upstreams) as rig, asyncio.timeout(25):
            await test(rig)

    with collected_log() as lines:
        asyncio.run(main())
    return collect_history(lines, 'r1')


async def reset_connection(
    _upstream: UpstreamStandin,
    _seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    writer.transport.abort()


async def answer_slowly(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer the request r1 later than the target latency."""
    if seen.request_id == 'r1':
        await asyncio.sleep(0.6)
    await answer_ok(upstream, seen, writer)


def test_refused_without_having_run() -> None:
    async def test(rig: Rig) -> None:
        answer = await rig.ask('/order/x', 'POST', b'x')
        assert answer.status == 503

    history = history_of(test, UpstreamStandin('i-1', answer_full))
    assert history.cause is Cause.refused_full
    assert history.lines[-1].fields['upstreams'] == 'i-1'
    assert history.lines[-1].fields['known'] == '1'


def test_outcome_unknown_after_an_upstream_died() -> None:
    async def test(rig: Rig) -> None:
        answer = await rig.ask('/order/x', 'POST', b'x')
        assert answer.status == 502

    history = history_of(test, UpstreamStandin('i-1', reset_connection))
    assert history.cause is Cause.unknown
    events = [line.event for line in history.lines]
    expected = ['exchange-broken', 'upstream-avoided', 'request-refused']
    assert events == expected
    assert any(line.event == 'upstream-changed' for line in history.context)


def test_the_version_that_answered_is_named() -> None:
    async def test(rig: Rig) -> None:
        assert (await rig.ask()).status == 200

    history = history_of(test, UpstreamStandin('i-1'))
    assert 'upstream_version=v1' in history.lines[-1].text()


@pytest.mark.parametrize(
    ('before', 'cause'),
    [([], Cause.late_cold), (['r0'], Cause.late_slow)],
)
def test_late_by_a_cold_key_or_a_slow_upstream(
    before: list[str],
    cause: Cause,
) -> None:
    async def test(rig: Rig) -> None:
        for request_id in [*before, 'r1']:
            answer = await rig.ask('/order/x', 'POST', b'x', request_id)
            assert answer.status == 200

    history = history_of(test, UpstreamStandin('i-1', answer_slowly))
    assert history.cause is cause
    assert history.lines[-1].fields['upstream'] == 'i-1'


def test_unreachable_upstreams() -> None:
    async def test(rig: Rig) -> None:
        rig.store.put('servers', 'i-2', upstream_spec(1))
        await rig.until(
            lambda: 'i-2' in rig.gateway.local_state.catalog.upstreams
        )
        answer = await rig.ask('/order/x', 'POST', b'x')
        assert answer.status == 503

    assert history_of(test).cause is Cause.refused_gone


@pytest.mark.parametrize(
    'raw',
    ['', 'no line of ours', 'event="cut', 'time=1 event=request-answered'],
)
def test_a_request_missing_in_the_log_has_no_known_cause(raw: str) -> None:
    assert collect_history([raw], 'r1').cause is Cause.unlogged
