"""Limits of the configuration that change under connections which live on."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import pytest
from lib.rig import Caller, Rig
from lib.specs import configuration_spec
from lib.upstream_standin import UpstreamStandin

Test = Callable[[Rig, Caller], Awaitable[None]]
HEAD = (
    b'POST /send/x HTTP/1.1\r\nHost: music.example\r\n'
    b'Wardstair-Attempt-Id: r2\r\nWardstair-Deadline-Ms: 3000\r\n'
)
# Below the smallest read-ahead that a change may meet.
SMALL, MIDDLE, LARGE = 2000, 20000, 60000
# Idle times in milliseconds; a host adds a margin to them.
SHORT_IDLE, LONG_IDLE = 300, 60000


def with_length(body: int) -> bytes:
    return HEAD + b'Content-Length: %d\r\n\r\n' % body + b'x' * body


def in_chunks(body: int) -> bytes:
    half = body // 2
    chunk = b'%x\r\n%b\r\n' % (half, b'x' * half)
    return (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 2 + b'0\r\n\r\n'
    )


def with_field(field: int) -> bytes:
    return HEAD + b'Field: %b\r\nContent-Length: 1\r\n\r\nx' % (b'f' * field)


async def set_limit(rig: Rig, version: int, name: str, limit: int) -> None:
    """Set one limit and wait until it is in force."""
    spec = configuration_spec(version)
    cast(dict[str, int], spec['limits'])[name] = limit
    rig.store.put('config', 'main', spec)
    state = rig.gateway.local_state
    await rig.until(
        lambda: state.steering is not None and state.steering.version == version
    )


@dataclass(frozen=True)
class Change:
    """A change of a limit and the request that it concerns.

    Attributes:
        name: Name of the limit.
        before: Its first value.
        after: Its second value.
        request: The request.
        sent_before: Bytes of it that are sent before the change.
        status: Status of its answer.
    """

    name: str
    before: int
    after: int
    request: bytes
    sent_before: int
    status: int


BODY, HEADER = 'max_body_bytes', 'max_header_bytes'
CHANGES = {
    'longer body': Change(BODY, SMALL, LARGE, with_length(MIDDLE), 0, 200),
    'longer chunked body': Change(
        BODY, SMALL, LARGE, in_chunks(MIDDLE), 0, 200
    ),
    'longer head': Change(HEADER, SMALL, LARGE, with_field(MIDDLE), 0, 200),
    'shorter body': Change(BODY, LARGE, SMALL, with_length(MIDDLE), 0, 400),
    'shorter chunked body': Change(
        BODY, LARGE, SMALL, in_chunks(MIDDLE), 0, 400
    ),
    'shorter head': Change(HEADER, LARGE, SMALL, with_field(MIDDLE), 0, 400),
    'body under way, longer': Change(
        BODY, SMALL, LARGE, in_chunks(2 * SMALL), 999, 200
    ),
    'head under way, longer': Change(
        HEADER, SMALL, LARGE, with_field(MIDDLE), 999, 200
    ),
    'body under way, shorter': Change(
        BODY, LARGE, SMALL, with_length(MIDDLE), 9999, 200
    ),
    'chunked body under way, shorter': Change(
        BODY, LARGE, SMALL, in_chunks(MIDDLE), 9999, 200
    ),
}


def run(test: Test, name: str, limit: int) -> None:
    """Run a test with a caller that has had one request answered."""

    async def main() -> None:
        async with Rig(UpstreamStandin('i-1')) as rig, asyncio.timeout(25):
            await set_limit(rig, 2, name, limit)
            caller = await Caller.connect(rig)
            assert (await caller.ask('/read/x')).status == 200
            await test(rig, caller)
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize('name', CHANGES)
def test_a_kept_connection_follows_a_changed_limit(name: str) -> None:
    """Connections kept the limits of the time of their accept."""
    change = CHANGES[name]

    async def test(rig: Rig, caller: Caller) -> None:
        caller.writer.write(change.request[: change.sent_before])
        await caller.writer.drain()
        await asyncio.sleep(0.05)
        await set_limit(rig, 3, change.name, change.after)
        caller.writer.write(change.request[change.sent_before :])
        answer = await caller.answer()
        assert answer.status == change.status
        assert (answer.headers.get('connection') == 'close') is (
            change.status != 200
        )

    run(test, change.name, change.before)


def test_requests_sent_ahead_follow_a_changed_limit() -> None:
    async def test(rig: Rig, caller: Caller) -> None:
        await set_limit(rig, 3, BODY, LARGE)
        for _ in range(3):
            caller.writer.write(with_length(MIDDLE))
        for _ in range(3):
            assert (await caller.answer()).status == 200

    run(test, BODY, SMALL)


@pytest.mark.parametrize('idle', [SHORT_IDLE, LONG_IDLE])
def test_an_idle_connection_follows_a_changed_idle_time(idle: int) -> None:
    before = LONG_IDLE if idle == SHORT_IDLE else 2 * SHORT_IDLE

    async def test(rig: Rig, caller: Caller) -> None:
        await set_limit(rig, 3, 'idle_timeout_ms', idle)
        closing = asyncio.ensure_future(caller.reader.read())
        await asyncio.wait((closing,), timeout=3 * before / 1000)
        assert closing.done() is (idle == SHORT_IDLE)
        closing.cancel()

    run(test, 'idle_timeout_ms', before)
