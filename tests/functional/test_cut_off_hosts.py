"""Hosts that reach no upstream while callers and other hosts reach them."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

import pytest
from lib.cut_fleet import NORTH, Cut, CutFleet, CutLoad, running_cut_fleet
from lib.rig import Caller, until
from lib.running_time import run_in_running_time
from lib.upstream_standin import Seen, UpstreamStandin, answer_ok

from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds

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
CUT_SECONDS = 6.0
# Time for the effects of the cut to end.
RECOVERY_SECONDS = 2.0
# Least share of first attempts that are served: relative to the share at other
# hosts during the cut, and of all right after its start.
LEAST_SHARE = 0.95
# Response time of upstreams that have become slower.
SLOW_SECONDS = 0.1

Chosen = Callable[[CutFleet], list[GatewayHost]]


def run(test: Callable[[CutFleet], Awaitable[None]]) -> None:
    """Run a test on a fleet with a time limit.

    All times are those for which this process could run.
    """

    async def main() -> None:
        async with running_cut_fleet(BOUNDS) as fleet, asyncio.timeout(60):
            await test(fleet)

    run_in_running_time(main)


def two_hosts(fleet: CutFleet) -> list[GatewayHost]:
    return fleet.hosts[:2]


def a_zone(fleet: CutFleet) -> list[GatewayHost]:
    return fleet.hosts_of('north-a')


def a_region(fleet: CutFleet) -> list[GatewayHost]:
    return fleet.hosts_of(*NORTH)


def looked_up_addresses(fleet: CutFleet) -> set[str]:
    """Return the addresses that lookups at all hosts list."""
    return {
        address
        for host in fleet.hosts
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


@pytest.mark.parametrize(
    ('chosen', 'how'),
    [
        (two_hosts, Cut.hang),
        (two_hosts, Cut.reset),
        (a_zone, Cut.refuse),
        (a_zone, Cut.reset),
        (a_region, Cut.hang),
        (a_region, Cut.refuse),
    ],
)
def test_callers_of_cut_off_hosts_are_served(chosen: Chosen, how: Cut) -> None:
    async def test(fleet: CutFleet) -> None:
        load = CutLoad(fleet)
        seconds = CALM_SECONDS + CUT_SECONDS + 2 * RECOVERY_SECONDS
        playing = asyncio.ensure_future(load.play(seconds))
        await asyncio.sleep(CALM_SECONDS)
        cut = chosen(fleet)
        others = [host for host in fleet.hosts if host not in cut]
        began = time.monotonic()
        fleet.cut(cut, how)
        await asyncio.sleep(CUT_SECONDS)
        ended = time.monotonic()
        fleet.mend()
        await asyncio.sleep(RECOVERY_SECONDS)
        all_addresses = looked_up_addresses(fleet)
        await playing
        bound = began + BOUNDS.contact_seconds
        at_others = share(load.share(bound, ended, others))
        at_cut = share(load.share(bound, ended, cut))
        assert at_cut >= LEAST_SHARE * at_others
        assert share(load.share(began, bound, fleet.hosts)) >= LEAST_SHARE
        assert not load.ran_twice()
        assert len(all_addresses) == len(fleet.hosts)
        after_recovery = load.share(
            ended + RECOVERY_SECONDS, time.monotonic(), fleet.hosts
        )
        assert share(after_recovery) == 1.0

    run(test)


async def _answer_slowly(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(SLOW_SECONDS)
    await answer_ok(upstream, seen, writer)


@pytest.mark.parametrize('how', [Cut.refuse_new, Cut.reset_new])
@pytest.mark.parametrize('chosen', [two_hosts, a_region])
def test_callers_are_served_where_only_new_connections_fail(
    chosen: Chosen,
    how: Cut,
) -> None:
    async def test(fleet: CutFleet) -> None:
        load = CutLoad(fleet)
        seconds = CALM_SECONDS + CUT_SECONDS + 2 * RECOVERY_SECONDS
        playing = asyncio.ensure_future(load.play(seconds))
        await asyncio.sleep(CALM_SECONDS)
        cut = chosen(fleet)
        others = [host for host in fleet.hosts if host not in cut]
        began = time.monotonic()
        fleet.cut(cut, how)
        # Slow answers require more connections than are open. The open ones
        # still work.
        for upstream in fleet.upstreams:
            upstream.script = _answer_slowly
        await asyncio.sleep(CUT_SECONDS)
        ended = time.monotonic()
        fleet.mend()
        await playing
        bound = began + BOUNDS.contact_seconds
        at_others = share(load.share(bound, ended, others))
        at_cut = share(load.share(bound, ended, cut))
        assert at_cut >= LEAST_SHARE * at_others
        assert share(load.share(began, bound, fleet.hosts)) >= LEAST_SHARE
        assert not load.ran_twice()
        after_recovery = load.share(
            ended + RECOVERY_SECONDS, time.monotonic(), fleet.hosts
        )
        assert share(after_recovery) == 1.0

    run(test)


async def _answer_after_a_second(
    upstream: UpstreamStandin,
    seen: Seen,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(1.0)
    await answer_ok(upstream, seen, writer)


def test_exits_that_a_cut_off_host_assumes_are_not_reported_to_others() -> None:
    async def test(fleet: CutFleet) -> None:
        for upstream in fleet.upstreams:
            upstream.script = _answer_after_a_second
        cut, *others = fleet.hosts
        callers = [
            await Caller.connect_to(cut.settings.callers) for _ in range(16)
        ]
        for number, caller in enumerate(callers):
            name = f'r{number}'
            await caller.send('/read/x', request_id=name, key=str(number))
        await until(lambda: all(one.seen for one in fleet.upstreams))
        fleet.cut([cut], Cut.refuse)
        await asyncio.gather(*(caller.answer() for caller in callers))
        # Two probes, and two heartbeats that would report their results.
        await asyncio.sleep(2.5)
        now = time.monotonic()
        assert not any(host.local_state.suspects.records for host in others)
        for host in others:
            upstreams = host.local_state.catalog.upstreams.values()
            assert not any(one.is_cold(now) for one in upstreams)
            assert not any(one.is_avoided(now) for one in upstreams)

    run(test)


def test_probes_on_new_connections_do_not_cut_off_open_ones() -> None:
    async def test(fleet: CutFleet) -> None:
        host = fleet.hosts[0]
        caller = await Caller.connect_to(host.settings.callers)
        for number in range(24):
            await caller.ask(request_id=f'r{number}', key=str(number))
        entries = host.local_state.catalog.in_service
        assert all(
            host.pool.has_idle(entry.name, is_once=False) for entry in entries
        )
        fleet.cut([host], Cut.reset_new)
        reachability = host.local_state.reachability
        for entry in entries:
            reachability.note_unopened(entry)
        probed = host.reachability_monitor.probes
        # The group of all upstreams is lost after three failed probes.
        await until(
            lambda: host.reachability_monitor.probes > probed + 8,
        )
        assert not reachability.lost
        answer = await caller.ask(request_id='last', key='1')
        assert answer.status == 200

    run(test)
