"""Hosts that each have a way of their own to the store, and what they know."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from soak.proxy import Proxy

from lib.fleet import Fleet
from lib.rig import free_ports, until
from lib.specs import configuration_spec
from lib.upstream_standin import UpstreamStandin
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Bounds
from wardstair.state.sync import LAG_SECONDS

HOSTS = 6
UPSTREAMS = 4
# For what a change of a revision brings about to be over.
SETTLE_SECONDS = 0.05


def bounds_of(news_seconds: float) -> Bounds:
    """Return bounds of a deployment.

    Args:
        news_seconds: Time for news to be in force.
    """
    return Bounds(
        drain_seconds=news_seconds,
        apply_seconds=news_seconds,
        evacuate_seconds=news_seconds,
        contact_seconds=news_seconds + 0.5,
    )


@dataclass
class NewsFleet(Fleet):
    """Gateways behind proxies to the store.

    Attributes:
        proxies: The way of each gateway to the store.
    """

    proxies: list[Proxy] = field(default_factory=list)

    @property
    def sentinels(self) -> list[GatewayHost]:
        """The gateways that watch the store closely for all."""
        return [host for host in self.hosts if host.is_sentinel]

    def proxies_of(self, hosts: Iterable[GatewayHost]) -> list[Proxy]:
        """Return the ways of some gateways to the store."""
        return [self.proxies[self.hosts.index(host)] for host in hosts]

    async def begin_watches(self) -> None:
        """Have all watches of the sentinels begin at this moment.

        What happens right after it waits for the longest time.
        """
        await until(lambda: len(self.sentinels) == 2)
        for host in self.hosts:
            # At the start each was a sentinel for a moment, and began a watch.
            if not host.is_sentinel:
                host.sync.upstreams.drop_watch()
        self.store.put('evacuations', 'elsewhere', {})
        await self._read_by_sentinels()
        self.store.delete('evacuations', 'elsewhere')
        await self._read_by_sentinels()
        # Their other watches are renewed, since the revision has changed.
        await asyncio.sleep(LAG_SECONDS + SETTLE_SECONDS)

    async def _read_by_sentinels(self) -> None:
        number = self.store.revision
        await until(
            lambda: all(
                host.sync.evacuations.revision.number >= number
                for host in self.sentinels
            )
        )

    def let_leave(self, name: str) -> None:
        """Have an upstream say in the store that it drains."""
        known = self.store.kind('servers').objects[name]
        self.store.put('servers', name, _as_draining(known['spec']))


def uses(host: GatewayHost, name: str) -> bool:
    """Return whether a gateway would send to an upstream."""
    known = host.local_state.catalog.of_service('views')
    return any(upstream.name == name for upstream in known)


def lose_share(radio: HeartbeatEndpoint, random: Random, share: float) -> None:
    """Have datagrams of a gateway lost.

    Args:
        radio: What sends them.
        random: Draws which are lost.
        share: How many of them.
    """
    send = radio._send_bytes

    def send_some(address: str, datagram: bytes) -> None:
        if random.random() >= share:
            send(address, datagram)

    radio._send_bytes = send_some  # type: ignore[method-assign]


def _as_draining(spec: object) -> dict[str, object]:
    assert isinstance(spec, dict)
    return {**spec, 'status': {**spec['status'], 'state': 'draining'}}


async def seconds_until(is_true: Callable[[], bool]) -> float:
    """Return how long a condition takes to hold."""
    began_at = time.monotonic()
    await until(is_true)
    return time.monotonic() - began_at


@asynccontextmanager
async def running_news_fleet(
    bounds: Bounds,
    size: int = HOSTS,
) -> AsyncIterator[NewsFleet]:
    """Run gateways that know each other and all upstreams.

    Args:
        bounds: What the gateways are held to.
        size: How many gateways.
    """
    upstreams = [UpstreamStandin(f'i-{number}') for number in range(UPSTREAMS)]
    fleet = NewsFleet(bounds=bounds, upstreams=upstreams)
    await fleet.start_store(configuration_spec(1))
    (port,) = free_ports(1)
    for number in range(size):
        proxy = Proxy(fleet.store.port)
        await proxy.start()
        fleet.proxies.append(proxy)
        await fleet.start_host(number, port, proxy.port)
    try:
        await until(fleet.knows_all)
        yield fleet
    finally:
        await fleet.stop()
        for proxy in fleet.proxies:
            await proxy.stop()
