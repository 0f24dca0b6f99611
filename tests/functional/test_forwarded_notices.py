"""Notices of upstreams, and requests that a host forwards to its peers."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.cut_fleet import Cut, CutFleet, running_cut_fleet
from lib.rig import Answer, Caller, until
from lib.upstream_standin import Script, Seen, UpstreamStandin, whole_answer

from wardstair.decisions.notices import Availability
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds
from wardstair.state.upstream import Upstream

SEAL = 'Wardstair-Server-Seal: s.1\r\n'
NOT_RUN = 'Wardstair-Not-Executed: 1\r\n'
REQUESTS = 24
# Large enough that no resend is withheld for lack of retry budget.
BOUNDS = Bounds(retry_extra=600, drain_seconds=0.5)
PAUSE_SECONDS = 30.0


async def leave(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    extra = f'{SEAL}Server-Leaving: 1\r\n'
    writer.write(whole_answer(seen.request_id, b'ok', extra=extra))
    await writer.drain()


async def ask_for_pause(
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    extra = f'{NOT_RUN}Retry-After: {PAUSE_SECONDS}\r\n'
    unavailable = '503 Service Unavailable'
    writer.write(whole_answer(seen.request_id, b'', unavailable, extra))
    await writer.drain()


def run(test: Callable[[CutFleet], Awaitable[None]]) -> None:
    """Run a test on a fleet with a time limit."""

    async def main() -> None:
        async with running_cut_fleet(BOUNDS) as fleet, asyncio.timeout(30):
            await test(fleet)

    asyncio.run(main())


async def cut_off(fleet: CutFleet, host: GatewayHost) -> None:
    """Cut a host off and wait until it has detected it."""
    fleet.cut([host], Cut.refuse)
    await ask_all(host, 'first', 1)
    await until(lambda: host.local_state.reachability.is_cut_off)


async def ask_all(
    host: GatewayHost, prefix: str, count: int = REQUESTS
) -> list[Answer]:
    """Send requests with a key each, one after the other."""
    caller = await Caller.connect_to(host.settings.callers)
    try:
        return [
            await caller.ask(
                '/read/x',
                request_id=f'{prefix}-{number}',
                key=f'{prefix}-{number}',
            )
            for number in range(count)
        ]
    finally:
        caller.close()


def received(upstream: UpstreamStandin, prefix: str) -> list[str]:
    """Return the requests that an upstream has received, by their prefix."""
    return [
        seen.request_id
        for seen in upstream.seen
        if seen.request_id.startswith(prefix)
    ]


def known_to(host: GatewayHost, standin: UpstreamStandin) -> Upstream:
    return host.local_state.catalog.upstreams[standin.name]


def note_pause(host: GatewayHost, upstream: Upstream) -> None:
    host.local_state.notices.note_pause(upstream, PAUSE_SECONDS)


def note_leaving(host: GatewayHost, upstream: Upstream) -> None:
    host.local_state.notices.note_leaving(upstream)


@pytest.mark.parametrize('note', [note_pause, note_leaving])
def test_a_peer_does_not_send_to_upstreams_closed_to_the_first_host(
    note: Callable[[GatewayHost, Upstream], None],
) -> None:
    async def test(fleet: CutFleet) -> None:
        host = fleet.hosts[0]
        closed, *others = fleet.upstreams
        note(host, known_to(host, closed))
        await asyncio.sleep(BOUNDS.drain_seconds)
        await cut_off(fleet, host)
        answers = await ask_all(host, 'later')
        assert {answer.status for answer in answers} == {200}
        assert not received(closed, 'later')
        assert sum(len(received(one, 'later')) for one in others) == REQUESTS

    run(test)


@pytest.mark.parametrize(
    ('script', 'availability'),
    [
        (leave, Availability.closed),
        (ask_for_pause, Availability.paused),
    ],
)
def test_a_host_complies_with_notices_in_answers_to_its_peers(
    script: Script, availability: Availability
) -> None:
    async def test(fleet: CutFleet) -> None:
        host = fleet.hosts[0]
        notifying = fleet.upstreams[0]
        await cut_off(fleet, host)
        notifying.script = script
        await ask_all(host, 'before')
        assert received(notifying, 'before')
        notices = host.local_state.notices
        upstream = known_to(host, notifying)
        await asyncio.sleep(BOUNDS.drain_seconds)
        assert notices.availability(upstream) is availability
        fleet.mend()
        await until(lambda: not host.local_state.reachability.is_cut_off)
        await ask_all(host, 'after')
        assert not received(notifying, 'after')

    run(test)


@pytest.mark.parametrize('is_cut_off', [False, True])
def test_a_request_is_refused_at_once_if_all_upstreams_pause(
    is_cut_off: bool,
) -> None:
    async def test(fleet: CutFleet) -> None:
        host = fleet.hosts[0]
        for one in fleet.upstreams:
            note_pause(host, known_to(host, one))
        fail_two(host)
        if is_cut_off:
            fleet.cut([host], Cut.refuse)
        answers = await ask_all(host, 'later', 4)
        assert {answer.status for answer in answers} == {503}
        for answer in answers:
            assert float(answer.headers['retry-after']) > 1
        for one in fleet.upstreams:
            assert not received(one, 'later')

    run(test)


def test_a_cut_off_host_refuses_for_the_time_that_all_upstreams_pause() -> None:
    async def test(fleet: CutFleet) -> None:
        host = fleet.hosts[0]
        await cut_off(fleet, host)
        for one in fleet.upstreams:
            note_pause(host, known_to(host, one))
        answers = await ask_all(host, 'later', 4)
        assert {answer.status for answer in answers} == {503}
        for answer in answers:
            assert b'upstreams-paused' in answer.body
            assert float(answer.headers['retry-after']) > 1
        for one in fleet.upstreams:
            assert not received(one, 'later')

    run(test)


def fail_two(host: GatewayHost) -> None:
    """Record failures of connections to two upstreams."""
    for entry in host.local_state.catalog.in_service[:2]:
        host.local_state.reachability.note_failed(entry)
