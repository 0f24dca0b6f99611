"""Upstreams whose answers announce that they leave, or ask for a pause."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from lib.fleet import Load, running_fleet
from lib.rig import Rig
from lib.running_time import run_in_running_time
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
from wardstair.decisions.notices import Availability
from wardstair.gateway.settings import Bounds

SEAL = 'Wardstair-Server-Seal: s.1\r\n'
NOT_RUN = 'Wardstair-Not-Executed: 1\r\n'
LOAD = 'Wardstair-Server-Load: 0,0,4\r\n'
PAUSE_SECONDS = 30
# The requirements permit this many requests in a pause, counted from this time
# after the upstream asked for it.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_TOLERANCE_SECONDS = 0.5
DRAIN_SECONDS = 0.5
REQUESTS = 12
MILLISECONDS = 1000


@dataclass
class Notifier:
    """Script of an upstream that gives a notice in each answer.

    Attributes:
        status: Status line of the answers.
        extra: Additional headers of the answers.
        notified_at: Time in seconds at which the first answer was written.
        arrivals: Arrival times of requests in seconds.
    """

    status: str
    extra: str
    notified_at: float | None = None
    arrivals: list[float] = field(default_factory=list)

    async def answer(
        self,
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.arrivals.append(time.monotonic())
        writer.write(
            whole_answer(
                seen.request_id,
                upstream.name.encode(),
                self.status,
                self.extra,
            )
        )
        await writer.drain()
        if self.notified_at is None:
            self.notified_at = time.monotonic()

    def count_after(self, seconds: float) -> int:
        """Count requests that arrive later than this after the first notice."""
        assert self.notified_at is not None
        return sum(at > self.notified_at + seconds for at in self.arrivals)


def leaver() -> Notifier:
    return Notifier('200 OK', f'{SEAL}Server-Leaving: 1\r\n')


def pauser() -> Notifier:
    pause = f'Retry-After: {PAUSE_SECONDS}\r\n'
    return Notifier('503 Service Unavailable', f'{NOT_RUN}{LOAD}{pause}')


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


def run_in_time(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout, in the running time of the process."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    run_in_running_time(main)


async def answer_failure(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(whole_answer(seen.request_id, status='500 Oh'))
    await writer.drain()


async def ask_many(rig: Rig, target: str, keys: str = 'a') -> None:
    """Send requests with many keys; each upstream is preferred for some.

    A request is resent or hedged if the other upstream does not answer it.

    Args:
        rig: Rig with the gateway that receives the requests.
        target: Target of the requests.
        keys: Prefix of the keys; a new prefix makes keys that are cold.
    """
    await asyncio.gather(
        *(
            rig.ask(target, request_id=f'r{number}', key=f'{keys}{number}')
            for number in range(REQUESTS)
        )
    )


# Behaviour of the other upstream, and how a request then reaches the first.
OTHER_BEHAVIOURS = [
    pytest.param(answer_ok, id='first choice'),
    pytest.param(answer_full, id='resend after a rejection'),
    pytest.param(answer_failure, id='resend after a failure'),
    pytest.param(answer_never, id='hedge'),
]


@pytest.mark.parametrize('has_ended', [False, True])
def test_a_leaving_notice_outlasts_the_late_entry_of_its_incarnation(
    *,
    has_ended: bool,
) -> None:
    async def test() -> None:
        notifier = leaver()
        upstream = UpstreamStandin('i-1', notifier.answer)
        bounds = Bounds(drain_seconds=0.01)
        async with Rig(upstream, bounds=bounds) as rig:
            catalog = rig.gateway.local_state.catalog
            known = catalog.upstreams['i-1']
            if has_ended:
                catalog.note_ended(known.incarnation)
            born = int(time.time() * MILLISECONDS)
            assert (await rig.ask('/read/x')).status == 200
            entry = upstream_spec(upstream.port)
            rig.store.put('servers', 'i-1', {**entry, 'born': born})
            await rig.until(lambda: catalog.upstreams['i-1'].entry.born == born)
            await rig.ask('/read/x')
            assert len(notifier.arrivals) == 1

    run(test)


@pytest.mark.parametrize('other', OTHER_BEHAVIOURS)
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
            while notifier.notified_at is None:
                await ask_many(rig, '/read/x')
            await asyncio.sleep(DRAIN_SECONDS)
            sent_at = time.monotonic()
            await ask_many(rig, '/read/x', 'b')
            assert not notifier.count_after(sent_at - notifier.notified_at)

    run(test)


def test_upstreams_that_all_leave_serve_until_the_drain_time_ends() -> None:
    async def test() -> None:
        notifier = leaver()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', notifier.answer),
        )
        bounds = Bounds(drain_seconds=4.0)
        async with Rig(*upstreams, bounds=bounds) as rig:
            table = rig.gateway.local_state.notices
            incarnations = rig.gateway.local_state.catalog.of_service('views')
            while any(
                table.availability(one) is Availability.open
                for one in incarnations
            ):
                assert (await rig.ask('/read/x')).status == 200
            assert (await rig.ask('/order/x', 'POST', b'1')).status == 200
            await rig.until(
                lambda: all(
                    table.availability(one) is Availability.closed
                    for one in incarnations
                )
            )
            before = len(notifier.arrivals)
            refused = await rig.ask('/read/x')
            assert refused.status == 503
            assert b'upstreams-leaving' in refused.body
            assert float(refused.headers['retry-after']) > 0
            assert len(notifier.arrivals) == before

    run(test)


@pytest.mark.parametrize(
    ('born', 'is_used'),
    [
        pytest.param(1, False, id='same incarnation'),
        pytest.param(2, True, id='next incarnation'),
    ],
)
def test_a_leaving_notice_outlasts_the_removal_of_the_entry(
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


@pytest.mark.parametrize('other', OTHER_BEHAVIOURS)
def test_an_upstream_that_asks_for_a_pause_gets_few_requests(
    other: Script,
) -> None:
    async def test() -> None:
        notifier = pauser()
        upstreams = (
            UpstreamStandin('i-1', notifier.answer),
            UpstreamStandin('i-2', other),
        )
        async with Rig(*upstreams) as rig:
            while notifier.notified_at is None:
                await ask_many(rig, '/read/x')
            await asyncio.sleep(PAUSE_TOLERANCE_SECONDS)
            await ask_many(rig, '/read/x', 'b')
            assert (
                notifier.count_after(PAUSE_TOLERANCE_SECONDS)
                <= MAX_REQUESTS_IN_PAUSE
            )

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
            before = len(notifier.arrivals)
            refused = await rig.ask('/order/x', 'POST', b'1')
            assert refused.status == 503
            assert b'upstreams-paused' in refused.body
            assert 0 < float(refused.headers['retry-after']) <= PAUSE_SECONDS
            assert len(notifier.arrivals) == before

    run(test)


def test_callers_are_served_while_some_upstreams_pause() -> None:
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
                assert one.arrivals
                permitted = MAX_REQUESTS_IN_PAUSE * len(fleet.hosts)
                assert one.count_after(PAUSE_TOLERANCE_SECONDS) <= permitted

    run_in_time(test)


def test_a_request_that_waits_for_a_connection_respects_a_pause(
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
            pending = asyncio.gather(
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
            answers = await pending
            assert {answer.status for answer in answers} == {200}
            assert not notifier.arrivals

    run(test)
