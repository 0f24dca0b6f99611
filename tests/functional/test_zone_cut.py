"""A zone whose hosts reach no host of other zones while callers reach all.

Guards against a cut between zones that breaks a promise of the fleet as a
whole, or that outlives its cause.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from lib.cut_fleet import CutFleet, CutLoad, running_cut_fleet
from lib.rig import until
from lib.specs import configuration_spec, route_spec, upstream_spec
from lib.upstream_standin import (
    Seen,
    UpstreamStandin,
    answer_ok,
    whole_answer,
)
from lib.zone_cut import ZoneCut

from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds

ZONE = 'north-a'
BOUNDS = Bounds(
    contact_seconds=4.0,
    lookup_seconds=5.0,
    drain_seconds=2.5,
    apply_seconds=2.5,
    evacuate_seconds=5.0,
    retry_ratio=0.2,
    retry_extra=64,
    cold_overshoot=1.5,
    cold_slack=5,
)
CALM_SECONDS = 1.0
CUT_SECONDS = 8.0
# Time within which look-ups name hosts that are back, or no more those that
# are gone.
LOOKUP_SECONDS = BOUNDS.contact_seconds + 3.0
LEAST_SHARE = 0.95
# Limit that an upstream names, in requests per second, and what it bears in a
# window.
LIMIT = 4.0
WINDOW_SECONDS = 4.0
MOST_IN_WINDOW = LIMIT * 1.5 * WINDOW_SECONDS + 5
# Requests per second that a cold upstream bears, and for how long it is cold.
COLD_RATE = 4.0
COLD_SECONDS = 6.0
MOST_COLD = COLD_RATE * BOUNDS.cold_overshoot + BOUNDS.cold_slack
# Requests per second that exceed these bounds if hosts ignore each other.
BUSY_RATE = 300.0
VERSIONS = 30
VERSION_SECONDS = 0.1


def run(test: Callable[[CutFleet, ZoneCut], Awaitable[None]]) -> None:
    """Run a test on a fleet with a time limit."""
    configuration = configuration_spec(
        1,
        read=route_spec('/read/', 'safe', max_attempts=3),
        order=route_spec('/order/', 'unsafe', max_attempts=3),
    )
    services = configuration['services']
    assert isinstance(services, dict)
    services['views']['cold_per_s'] = COLD_RATE

    async def main() -> None:
        async with (
            running_cut_fleet(BOUNDS, configuration) as fleet,
            asyncio.timeout(60),
        ):
            cut = ZoneCut(fleet, ZONE)
            cut.attach()
            await test(fleet, cut)

    asyncio.run(main())


def named_by(hosts: list[GatewayHost]) -> set[str]:
    """Return the addresses that look-ups at some hosts list."""
    return {
        address
        for host in hosts
        for address in json.loads(
            host.directory.answer(
                f'name=music.example&zone={host.settings.zone}'
                f'&region={host.settings.region}',
            )
        )['addresses']
    }


def share(counts: tuple[int, int]) -> float:
    served, sent = counts
    return served / sent if sent else 1.0


def most_in(seconds: float, times: list[float]) -> int:
    """Return the most times within a window."""
    return max(
        (sum(first <= at < first + seconds for at in times) for first in times),
        default=0,
    )


@pytest.mark.parametrize('with_upstreams', [True, False])
def test_callers_of_a_cut_zone_are_served(*, with_upstreams: bool) -> None:
    async def test(fleet: CutFleet, cut: ZoneCut) -> None:
        load = CutLoad(fleet)
        seconds = CALM_SECONDS + CUT_SECONDS + LOOKUP_SECONDS
        playing = asyncio.ensure_future(load.play(seconds))
        await asyncio.sleep(CALM_SECONDS)
        began = time.monotonic()
        cut.begin(with_upstreams=with_upstreams)
        await asyncio.sleep(CUT_SECONDS)
        ended = time.monotonic()
        cut.end()
        await playing
        bound = began + BOUNDS.contact_seconds
        assert share(load.share(bound, ended, cut.inside)) >= LEAST_SHARE
        assert share(load.share(bound, ended, cut.outside)) >= LEAST_SHARE
        if not with_upstreams:
            # Requests under way on paths that hang have nowhere else to go.
            assert share(load.share(began, bound, fleet.hosts)) >= LEAST_SHARE
        assert not load.ran_twice()
        await until(fleet.knows_all)
        assert len(named_by(fleet.hosts)) == len(fleet.hosts)

    run(test)


@pytest.mark.parametrize('is_inside', [True, False])
def test_look_ups_leave_out_cut_off_hosts_that_are_down(
    *, is_inside: bool
) -> None:
    async def test(_fleet: CutFleet, cut: ZoneCut) -> None:
        here, there = cut.inside, cut.outside
        if not is_inside:
            here, there = there, here
        gone = {str(host.settings.callers) for host in there}
        assert len(named_by(here) | gone) > len(gone)
        cut.begin(with_upstreams=True)
        await asyncio.sleep(LOOKUP_SECONDS)
        assert not named_by(here) & gone
        cut.end()
        await asyncio.sleep(LOOKUP_SECONDS)
        assert len(named_by([*here, *there])) == len([*here, *there])

    run(test)


async def _answer_with_limit(
    times: list[float],
    _upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    times.append(time.monotonic())
    extra = f'Wardstair-Server-Seal: s.1\r\nServer-Limit: {LIMIT}\r\n'
    writer.write(whole_answer(seen.request_id, extra=extra))
    await writer.drain()


def test_both_sides_of_a_cut_together_keep_a_named_limit() -> None:
    async def test(fleet: CutFleet, cut: ZoneCut) -> None:
        times: list[float] = []
        fleet.upstreams[0].script = partial(_answer_with_limit, times)
        load = CutLoad(fleet, rate=BUSY_RATE, callers=96)
        seconds = 2 * BOUNDS.contact_seconds + CUT_SECONDS
        playing = asyncio.ensure_future(load.play(seconds))
        await asyncio.sleep(BOUNDS.contact_seconds)
        began = time.monotonic()
        cut.begin(with_upstreams=False)
        await asyncio.sleep(CUT_SECONDS)
        cut.end()
        await playing
        held = [at for at in times if at >= began]
        assert held
        assert most_in(WINDOW_SECONDS, held) <= MOST_IN_WINDOW

    run(test)


async def _note_cold(
    times: list[float],
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    times.append(time.monotonic())
    await answer_ok(upstream, seen, writer)


def test_both_sides_of_a_cut_together_keep_the_rate_of_a_cold_upstream() -> (
    None
):
    async def test(fleet: CutFleet, cut: ZoneCut) -> None:
        times: list[float] = []
        cold = UpstreamStandin('i-cold', partial(_note_cold, times))
        await cold.start()
        load = CutLoad(fleet, rate=BUSY_RATE, callers=96)
        playing = asyncio.ensure_future(load.play(CUT_SECONDS + COLD_SECONDS))
        cut.begin(with_upstreams=False)
        await asyncio.sleep(BOUNDS.contact_seconds)
        # Hosts of both sides read it from the store.
        entry = upstream_spec(
            cold.port, zone=ZONE, cold_left_ms=COLD_SECONDS * 1000
        )
        began = time.monotonic()
        fleet.store.put('servers', cold.name, entry)
        await playing
        cut.end()
        sent = [at for at in times if at < began + COLD_SECONDS]
        assert sent
        assert most_in(1.0, sent) <= MOST_COLD
        await cold.stop()

    run(test)


def test_a_host_that_misses_versions_of_a_storm_ends_at_the_last() -> None:
    async def test(fleet: CutFleet, cut: ZoneCut) -> None:
        seen: dict[str, list[int]] = {
            host.settings.name: [] for host in fleet.hosts
        }

        def note() -> None:
            for host in fleet.hosts:
                steering = host.local_state.steering
                assert steering is not None
                seen[host.settings.name].append(steering.version)

        route = route_spec('/read/', 'safe')
        for version in range(2, VERSIONS + 2):
            configuration = configuration_spec(version, read=route)
            fleet.store.put('config', 'main', configuration)
            cut.is_cut = VERSIONS / 3 < version < VERSIONS / 2
            await asyncio.sleep(VERSION_SECONDS)
            note()
        await until(
            lambda: all(
                host.local_state.steering is not None
                and host.local_state.steering.version == VERSIONS + 1
                for host in fleet.hosts
            )
        )
        note()
        for versions in seen.values():
            assert versions == sorted(versions)
            assert versions[-1] == VERSIONS + 1

    run(test)
