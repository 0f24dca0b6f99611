"""A fleet whose gateways each reach the store through a proxy."""

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
# Enough for the gateways to finish what a change of the revision starts.
SETTLE_SECONDS = 0.05


def bounds_of(news_seconds: float) -> Bounds:
    """Return the bounds of a deployment.

    Args:
        news_seconds: Time within which a change has to be in force.
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
        proxies: Proxy between each gateway and the store.
    """

    proxies: list[Proxy] = field(default_factory=list)

    @property
    def sentinels(self) -> list[GatewayHost]:
        """The gateways that are sentinels."""
        return [host for host in self.hosts if host.is_sentinel]

    def proxies_of(self, hosts: Iterable[GatewayHost]) -> list[Proxy]:
        """Return the proxies between some gateways and the store."""
        return [self.proxies[self.hosts.index(host)] for host in hosts]

    async def begin_watches(self) -> None:
        """Renew all watches of the sentinels.

        A fault right after it affects watches that have their whole wait
        ahead of them, which is the worst case.
        """
        await until(lambda: len(self.sentinels) == 2)
        for host in self.hosts:
            # Each host was a sentinel briefly at its start and began a watch.
            if not host.is_sentinel:
                host.sync.upstreams.drop_watch()
        self.store.put('evacuations', 'elsewhere', {})
        await self._wait_for_sentinels()
        self.store.delete('evacuations', 'elsewhere')
        await self._wait_for_sentinels()
        # The change of the revision also renews their other watches.
        await asyncio.sleep(LAG_SECONDS + SETTLE_SECONDS)

    async def _wait_for_sentinels(self) -> None:
        number = self.store.revision
        await until(
            lambda: all(
                host.sync.evacuations.revision.number >= number
                for host in self.sentinels
            )
        )

    def let_leave(self, name: str) -> None:
        """Mark an upstream as draining in the store."""
        known = self.store.kind('servers').objects[name]
        self.store.put('servers', name, _draining_spec(known['spec']))


def uses(host: GatewayHost, name: str) -> bool:
    """Return whether a gateway may send to an upstream."""
    known = host.local_state.catalog.of_service('views')
    return any(upstream.name == name for upstream in known)


def lose_share(
    endpoint: HeartbeatEndpoint,
    random: Random,
    share: float,
) -> None:
    """Drop some datagrams of a gateway.

    Args:
        endpoint: Endpoint that sends them.
        random: Determines which are dropped.
        share: Share of dropped datagrams.
    """
    send = endpoint._send_bytes

    def send_some(address: str, datagram: bytes) -> None:
        if random.random() >= share:
            send(address, datagram)

    endpoint._send_bytes = send_some  # type: ignore[method-assign]


def _draining_spec(spec: object) -> dict[str, object]:
    assert isinstance(spec, dict)
    return {**spec, 'status': {**spec['status'], 'state': 'draining'}}


async def seconds_until(is_true: Callable[[], bool]) -> float:
    """Wait for a condition and return how long that took."""
    began_at = time.monotonic()
    await until(is_true)
    return time.monotonic() - began_at


@asynccontextmanager
async def running_news_fleet(
    bounds: Bounds,
    size: int = HOSTS,
) -> AsyncIterator[NewsFleet]:
    """Run gateways until they know each other and all upstreams, and stop them.

    Args:
        bounds: Bounds of the gateways.
        size: Number of gateways.
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
