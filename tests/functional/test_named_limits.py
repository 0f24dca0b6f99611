"""Upstreams that name how many requests a second they take from all hosts.

What users saw: upstreams that had named 3.6 and 4.7 requests a second got 52
and 63 requests in 4 s, where 27 and 33 are borne.

The order of events: an upstream in need names a figure in its answers; hosts
pass the answers on to callers and go on sending as before.

The cause: hosts read of an answer what it says of the request and of the load,
and did not know the figure. Nor would it have been enough to: it is told to one
host and binds the sum of all, who share no count of what they send.

The evidence: with six hosts, six upstreams and 120 requests a second, an
upstream that names 4 gets 35 in 4 s where 29 are borne, and 35 as well when it
names 0.5, where 8 are; if all name 4, each gets 111.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from lib.fleet import Fleet, Load, running_fleet
from lib.upstream_standin import Seen, UpstreamStandin, whole_answer

HOSTS = 6
UPSTREAMS = 6
# Requests a second of all callers.
RATE = 120.0
SEAL = 'Wardstair-Server-Seal: s.1\r\n'
# What an upstream bears of what it names, by the users' rules: half more, and
# five requests, in any four seconds from four seconds after it first named it.
WINDOW = 4.0
OVERSHOOT = 1.5
SLACK = 5
CONTACT_SECONDS = 4.0
PLAYED_SECONDS = 11.0


@dataclass
class Scene:
    """Upstreams of which some name a limit.

    Attributes:
        limit: What they name; empty for nothing.
        naming: Names of those that do.
        came: When requests came, by upstream.
        named_at: When each named something first.
    """

    limit: str = ''
    naming: frozenset[str] = frozenset()
    came: dict[str, list[float]] = field(default_factory=dict)
    named_at: dict[str, float] = field(default_factory=dict)

    async def serve(
        self,
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        now = time.monotonic()
        self.came.setdefault(upstream.name, []).append(now)
        extra = SEAL
        if self.limit and upstream.name in self.naming:
            self.named_at.setdefault(upstream.name, now)
            extra = f'{SEAL}Server-Limit: {self.limit}\r\n'
        writer.write(whole_answer(seen.request_id, extra=extra))
        await writer.drain()

    def most(self, name: str) -> int:
        """Return the most that an upstream got in a window."""
        begin = self.named_at[name] + CONTACT_SECONDS
        times = [at for at in self.came[name] if at >= begin]
        return max(
            (sum(first <= at < first + WINDOW for at in times))
            for first in [*times, begin]
        )


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

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
    load = Load(RATE)
    await load.play(fleet.hosts, seconds)
    return load


@pytest.mark.parametrize(
    ('limit', 'naming'),
    [
        pytest.param('4', 1, id='one upstream'),
        pytest.param('0.5', 1, id='one that takes hardly any'),
        pytest.param('4', UPSTREAMS, id='all upstreams'),
    ],
)
def test_an_upstream_gets_what_it_names_from_all_hosts(
    limit: str,
    naming: int,
) -> None:
    async def test() -> None:
        names = frozenset(f'i-{number}' for number in range(naming))
        scene = Scene(limit, names)
        async with running_fleet(HOSTS, upstreams_of(scene)) as fleet:
            await play(fleet)
            borne = int(float(limit) * WINDOW * OVERSHOOT + SLACK)
            most = {name: scene.most(name) for name in scene.named_at}
            assert most
            assert all(got <= borne for got in most.values()), most

    run(test)
