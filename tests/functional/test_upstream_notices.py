"""Upstreams that leave, or ask for no requests for a time, in their answers."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from lib.fleet import Load, running_fleet
from lib.rig import Rig
from lib.specs import upstream_spec
from lib.upstream_standin import (
    Script,
    Seen,
    UpstreamStandin,
    answer_full,
    answer_never,
    answer_ok,
    whole_answer,
)

from wardstair.connection.pool import ConnectFailed
from wardstair.connection.upstream import UpstreamConnection
from wardstair.decisions.notices import Standing
from wardstair.gateway.settings import Bounds

SEAL = 'Wardstair-Server-Seal: s.1\r\n'
NOT_RUN = 'Wardstair-Not-Executed: 1\r\n'
ROOM = 'Wardstair-Server-Load: 0,0,4\r\n'
PAUSE_SECONDS = 30
# By the users' rules: what may still come after a pause was asked for, from
# this long after it.
SLACK = 2
SLACK_SECONDS = 0.5
DRAIN_SECONDS = 0.5
REQUESTS = 12


@dataclass
class Notifier:
    """An upstream's script that gives a notice in each answer.

    Attributes:
        status: Status line of its answers.
        extra: Their headers.
        told_at: When the first was written.
        came: When requests came.
    """

    status: str
    extra: str
    told_at: float | None = None
    came: list[float] = field(default_factory=list)

    async def answer(
        self,
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.came.append(time.monotonic())
        writer.write(
            whole_answer(
                seen.request_id,
                upstream.name.encode(),
                self.status,
                self.extra,
            )
        )
        await writer.drain()
        if self.told_at is None:
            self.told_at = time.monotonic()

    def came_after(self, seconds: float) -> int:
        """Count what came from so long after the first notice."""
        assert self.told_at is not None
        return sum(at > self.told_at + seconds for at in self.came)


def leaver() -> Notifier:
    return Notifier('200 OK', f'{SEAL}Server-Leaving: 1\r\n')


def pauser() -> Notifier:
    pause = f'Retry-After: {PAUSE_SECONDS}\r\n'
    return Notifier('503 Service Unavailable', f'{NOT_RUN}{ROOM}{pause}')


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


async def answer_failure(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(whole_answer(seen.request_id, status='500 Oh'))
    await writer.drain()


async def ask_many(rig: Rig, target: str, keys: str = 'a') -> None:
    """Send requests for many keys, so that each upstream is the home of some.

    Each is resent or hedged where the other upstream does not answer it.

    Args:
        rig: Where to.
        target: Their target.
        keys: Begin of the keys; no upstream remembers new ones.
    """
    await asyncio.gather(
        *(
            rig.ask(target, request_id=f'r{number}', key=f'{keys}{number}')
            for number in range(REQUESTS)
        )
    )


# What the other upstream does meanwhile, and how a request may then come.
WAYS = [
    pytest.param(answer_ok, id='first choice'),
    pytest.param(answer_full, id='resend after a rejection'),
    pytest.param(answer_failure, id='resend after a failure'),
    pytest.param(answer_never, id='hedge'),
]


@pytest.mark.parametrize('other', WAYS)
def test_an_upstream_that_leaves_gets_no_request_after_the_drain_time(
    other: Script,
) -> None:
    async def test() -> None:
        notifier = leaver()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', other),
        )
        bounds = Bounds(drain_seconds=DRAIN_SECONDS)
        async with Rig(*upstreams, bounds=bounds) as rig:
            while notifier.told_at is None:
                await ask_many(rig, '/read/x')
            await asyncio.sleep(DRAIN_SECONDS)
            sent_at = time.monotonic()
            await ask_many(rig, '/read/x', 'b')
            assert not notifier.came_after(sent_at - notifier.told_at)

    run(test)


def test_upstreams_that_all_leave_serve_until_the_drain_time_is_short() -> None:
    async def test() -> None:
        notifier = leaver()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', notifier.answer),
        )
        bounds = Bounds(drain_seconds=4.0)
        async with Rig(*upstreams, bounds=bounds) as rig:
            table = rig.gateway.local_state.notices
            lives = rig.gateway.local_state.catalog.of_service('views')
            while any(table.standing(one) is Standing.open for one in lives):
                assert (await rig.ask('/read/x')).status == 200
            assert (await rig.ask('/order/x', 'POST', b'1')).status == 200
            await rig.until(
                lambda: all(
                    table.standing(one) is Standing.closed for one in lives
                )
            )
            came = len(notifier.came)
            refused = await rig.ask('/read/x')
            assert refused.status == 503
            assert b'upstreams-leaving' in refused.body
            assert float(refused.headers['retry-after']) > 0
            assert len(notifier.came) == came

    run(test)


@pytest.mark.parametrize(
    ('born', 'is_used'),
    [
        pytest.param(1, False, id='the same life'),
        pytest.param(2, True, id='the next life'),
    ],
)
def test_an_entry_that_comes_back_ends_no_leaving_of_its_life(
    born: int,
    *,
    is_used: bool,
) -> None:
    async def test() -> None:
        notifier = leaver()
        upstream = UpstreamStandin('i-1', notifier.answer)
        bounds = Bounds(drain_seconds=0.01)
        async with Rig(upstream, bounds=bounds) as rig:
            catalog = rig.gateway.local_state.catalog
            entry = upstream_spec(upstream.port)
            rig.store.put('servers', 'i-1', {**entry, 'born': 1})
            await rig.until(lambda: catalog.upstreams['i-1'].entry.born == 1)
            assert (await rig.ask('/read/x')).status == 200
            rig.store.delete('servers', 'i-1')
            await rig.until(lambda: 'i-1' not in catalog.upstreams)
            rig.store.put('servers', 'i-1', {**entry, 'born': born})
            await rig.until(lambda: 'i-1' in catalog.upstreams)
            answer = await rig.ask('/read/x')
            assert (answer.status == 200) is is_used

    run(test)


@pytest.mark.parametrize('other', WAYS)
def test_an_upstream_that_asks_for_a_pause_gets_one(other: Script) -> None:
    async def test() -> None:
        notifier = pauser()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', other),
        )
        async with Rig(*upstreams) as rig:
            while notifier.told_at is None:
                await ask_many(rig, '/read/x')
            await asyncio.sleep(SLACK_SECONDS)
            await ask_many(rig, '/read/x', 'b')
            assert notifier.came_after(SLACK_SECONDS) <= SLACK

    run(test)


def test_callers_are_refused_at_once_while_all_upstreams_pause() -> None:
    async def test() -> None:
        notifier = pauser()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', notifier.answer),
        )
        async with Rig(*upstreams) as rig:
            await ask_many(rig, '/read/x')
            came = len(notifier.came)
            refused = await rig.ask('/order/x', 'POST', b'1')
            assert refused.status == 503
            assert b'upstreams-paused' in refused.body
            assert 0 < float(refused.headers['retry-after']) <= PAUSE_SECONDS
            assert len(notifier.came) == came

    run(test)


def test_callers_are_served_while_a_part_of_a_service_pauses() -> None:
    async def test() -> None:
        pausers = [pauser(), pauser()]
        upstreams = [
            *(
                UpstreamStandin(f'i-{number}', one.answer)
                for number, one in enumerate(pausers)
            ),
            *(UpstreamStandin(f'i-{number}') for number in range(2, 6)),
        ]
        async with running_fleet(3, upstreams) as fleet:
            load = Load(120.0)
            await load.play(fleet.hosts, 3)
            assert {answer.status for answer in load.answers} == {200}
            for one in pausers:
                assert one.came
                borne = SLACK * len(fleet.hosts)
                assert one.came_after(SLACK_SECONDS) <= borne

    run(test)


def test_a_request_that_waits_for_a_connection_heeds_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        notifier = pauser()
        paused = UpstreamStandin('i-1', notifier.answer)
        async with Rig(paused, UpstreamStandin('i-2')) as rig:
            pool = rig.gateway.pool
            connect = pool.connect
            may_connect = asyncio.Event()
            waiting: list[str] = []

            async def connect_late(
                name: str,
                host: str,
                port: int,
            ) -> UpstreamConnection | ConnectFailed:
                waiting.append(name)
                await may_connect.wait()
                return await connect(name, host, port)

            monkeypatch.setattr(pool, 'connect', connect_late)
            asked = asyncio.gather(
                *(
                    rig.ask(request_id=f'r{number}', key=str(number))
                    for number in range(REQUESTS)
                )
            )
            await rig.until(lambda: len(waiting) == REQUESTS)
            upstream = rig.gateway.local_state.catalog.upstreams['i-1']
            assert paused.name in waiting
            rig.gateway.local_state.notices.note_pause(upstream, PAUSE_SECONDS)
            may_connect.set()
            answers = await asked
            assert {answer.status for answer in answers} == {200}
            assert not notifier.came

    run(test)
