"""Upstreams that limit the requests per second they accept from all hosts.

Guards against hosts that exceed such a limit. Upstreams that had named limits
of 3.6 and 4.7 requests per second received 52 and 63 requests in 4 s, where 27
and 33 are permitted. The limit stands in an answer, which one host receives,
but it applies to the sum over all hosts. Hosts ignored it, and reading it alone
would not be enough, as they share no count of the requests that they send.

Without limits, six hosts with 120 requests per second for six upstreams sent 86
requests in 4 s to an upstream that named 4 (29 are permitted), 85 to one that
named 0.5 (8 are permitted), and 80 to 94 to each if all named 4. If each host
keeps to its share of the limit, the first two figures are 16 and 2.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from lib.fleet import Fleet, Load, running_fleet
from lib.rig import Caller, until
from lib.specs import upstream_spec
from lib.upstream_standin import Seen, UpstreamStandin, whole_answer

from wardstair.gateway.limited_sends import MAX_WAIT_SECONDS

HOSTS = 6
UPSTREAMS = 6
# Requests per second of all callers together.
REQUESTS_PER_SECOND = 120.0
SEAL = 'Wardstair-Server-Seal: s.1\r\n'
# The requirements permit half more than a named limit plus five requests in any
# 4 s, from 4 s after the upstream first named it.
WINDOW_SECONDS = 4.0
OVERSHOOT = 1.5
TOLERANCE_REQUESTS = 5
CONTACT_SECONDS = 4.0
PLAYED_SECONDS = 9.5


@dataclass
class Scene:
    """Upstreams of which some name a limit.

    Attributes:
        limit: Limit in requests per second; empty for none.
        naming: Names of the upstreams that name it.
        arrivals: Arrival times of requests in seconds, by upstream.
        named_at: Time in seconds at which each first named a limit.
    """

    limit: str = ''
    naming: frozenset[str] = frozenset()
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    named_at: dict[str, float] = field(default_factory=dict)

    async def serve(
        self,
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        now = time.monotonic()
        self.arrivals.setdefault(upstream.name, []).append(now)
        extra = SEAL
        if self.limit and upstream.name in self.naming:
            self.named_at.setdefault(upstream.name, now)
            extra = f'{SEAL}Server-Limit: {self.limit}\r\n'
        writer.write(whole_answer(seen.request_id, extra=extra))
        await writer.drain()

    def peak(self, name: str) -> int:
        """Return the most requests that an upstream received in a window."""
        begin = self.named_at[name] + CONTACT_SECONDS
        times = [at for at in self.arrivals[name] if at >= begin]
        return max(
            (sum(first <= at < first + WINDOW_SECONDS for at in times))
            for first in [*times, begin]
        )


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


def upstreams_of(scene: Scene) -> list[UpstreamStandin]:
    return [
        UpstreamStandin(f'i-{number}', scene.serve)
        for number in range(UPSTREAMS)
    ]


async def play(fleet: Fleet, seconds: float = PLAYED_SECONDS) -> Load:
    load = Load(REQUESTS_PER_SECOND)
    await load.play(fleet.hosts, seconds)
    return load


@pytest.mark.parametrize(
    ('limit', 'naming'),
    [
        pytest.param('4', 1, id='one upstream'),
        pytest.param('0.5', 1, id='one with a low limit'),
        pytest.param('4', UPSTREAMS, id='all upstreams'),
    ],
)
def test_all_hosts_together_keep_to_a_named_limit(
    limit: str,
    naming: int,
) -> None:
    async def test() -> None:
        names = frozenset(f'i-{number}' for number in range(naming))
        scene = Scene(limit, names)
        async with running_fleet(HOSTS, upstreams_of(scene)) as fleet:
            await play(fleet)
            permitted = int(
                float(limit) * WINDOW_SECONDS * OVERSHOOT + TOLERANCE_REQUESTS
            )
            peaks = {name: scene.peak(name) for name in scene.named_at}
            assert peaks
            assert all(peak <= permitted for peak in peaks.values()), peaks

    run(test)


def knows(fleet: Fleet, name: str, rate: float | None) -> bool:
    """Return whether all hosts know the limit of an upstream."""
    return all(
        (row := host.local_state.limits.rows.get(name)) is not None
        and row.rate == rate
        for host in fleet.hosts
    )


async def ask_until(
    fleet: Fleet,
    is_true: Callable[[], bool],
    host: int = 0,
) -> None:
    """Send requests to one host until a condition holds."""
    caller = await Caller.connect_to(fleet.hosts[host].settings.callers)
    random = Random(host)
    async with asyncio.timeout(30):
        while not is_true():
            name = f'{random.getrandbits(48):012x}'
            await caller.ask(request_id=name, key=str(random.randrange(500)))
            await asyncio.sleep(0.02)
    caller.close()


def test_all_hosts_learn_a_limit_that_one_host_received() -> None:
    """They also learn a changed limit, its removal and a restart."""

    async def test() -> None:
        scene = Scene('2', frozenset(('i-0',)))
        async with running_fleet(HOSTS, upstreams_of(scene)) as fleet:
            await ask_until(fleet, lambda: 'i-0' in scene.named_at)
            await until(lambda: knows(fleet, 'i-0', 2.0))
            scene.limit = '3.5'
            await ask_until(fleet, lambda: knows(fleet, 'i-0', 3.5))
            scene.limit = ''
            await ask_until(fleet, lambda: knows(fleet, 'i-0', None))
            # The limit is named again, then the upstream restarts.
            scene.limit = '2'
            await ask_until(fleet, lambda: knows(fleet, 'i-0', 2.0))
            entry = upstream_spec(fleet.upstreams[0].port, zone='north-a')
            entry['born'] = 7
            fleet.store.put('servers', 'i-0', entry)
            catalogs = [host.local_state.catalog for host in fleet.hosts]
            await until(
                lambda: all(
                    one.upstreams['i-0'].entry.born == 7 for one in catalogs
                ),
            )
            assert not any(
                host.chooser.limited_sends.is_limited(
                    host.local_state.catalog.upstreams['i-0'],
                )
                for host in fleet.hosts
            )

    run(test)


def test_the_end_of_a_limit_is_noticed_without_callers_in_the_zone() -> None:
    """Only one host has callers, and it is in a different zone."""

    async def test() -> None:
        scene = Scene('1', frozenset(('i-0',)))
        async with running_fleet(HOSTS, upstreams_of(scene)) as fleet:
            await ask_until(fleet, lambda: 'i-0' in scene.named_at)
            await until(lambda: knows(fleet, 'i-0', 1.0))
            scene.limit = ''
            # The upstream is in north-a.
            assert fleet.hosts[2].settings.zone == 'south-a'
            await ask_until(fleet, lambda: knows(fleet, 'i-0', None), host=2)

    run(test)


def test_requests_above_all_limits_are_refused_at_once() -> None:
    async def test() -> None:
        names = frozenset(f'i-{number}' for number in range(UPSTREAMS))
        scene = Scene('0.5', names)
        async with running_fleet(HOSTS, upstreams_of(scene)) as fleet:
            load = await play(fleet, seconds=4)
            refused = [one for one in load.answers if one.status == 503]
            assert refused
            assert all(b'limits-reached' in one.body for one in refused)
            waits = [float(one.headers['retry-after']) for one in refused]
            assert all(0 < wait <= MAX_WAIT_SECONDS for wait in waits)
            assert {one.status for one in load.answers} == {200, 503}

    run(test)
