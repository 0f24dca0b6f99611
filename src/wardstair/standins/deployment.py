"""Runs a whole deployment as tasks of one process, on loopback.

Stand-ins replace the platform and the upstreams. The entry hosts are the
real implementation and listen on ports that the operating system assigns.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from result import Err, Ok

from wardstair.errors import ConfigurationError
from wardstair.process.host import EntryHost
from wardstair.process.orders import (
    Action,
    ApplyDocument,
    Order,
    OrderExecutor,
)
from wardstair.process.platform import PlatformClient
from wardstair.process.settings import EntrySettings, check_settings
from wardstair.standins.platform import PlatformStandin
from wardstair.standins.upstream import UpstreamStandin
from wardstair.version.document import HostModel, SteeringDocument

ANY_PORT = '127.0.0.1:0'
POLL_SECONDS = 0.02
READY_SECONDS = 30.0


class Deployment:
    """The stand-ins and entry hosts of one steering configuration."""

    def __init__(
        self,
        document: SteeringDocument,
        seed: int = 1,
        beat_seconds: float = 0.1,
    ) -> None:
        """Prepare the deployment without starting anything.

        Args:
            document: The configuration. `start` replaces its addresses by
                those in use.
            seed: Seed of all random choices.
            beat_seconds: Seconds between heartbeats. The default is short so
                that small deployments become ready quickly.
        """
        self.document = document
        self.platform = PlatformStandin()
        self.hosts: dict[str, EntryHost] = {}
        self.upstreams: dict[str, UpstreamStandin] = {}
        self._random = Random(seed)
        self._beat_seconds = beat_seconds
        self._orders = 0

    async def start(self) -> None:
        """Start all stand-ins and hosts and wait until the hosts can serve."""
        self.platform.start()
        for model in self.document.upstreams:
            upstream = UpstreamStandin(model.name, model.slots)
            upstream.start()
            self.upstreams[model.name] = upstream
        for host in self.document.hosts:
            await self.start_host(host)
        self.document = self.with_addresses()
        await self.apply()
        await self.wait_until(self._is_ready)

    async def stop(self) -> None:
        """Stop all hosts and stand-ins."""
        for host in self.hosts.values():
            await host.stop()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.platform.stop()

    async def start_host(
        self,
        model: HostModel,
        *,
        control: bool = True,
        seeds: tuple[str, ...] = (),
    ) -> EntryHost:
        """Start an entry host, or restart it without state.

        Args:
            model: The host.
            control: Whether its control tasks run. Benchmarks turn them off
                to measure the cost of control.
            seeds: Peers from which the host can fetch the configuration.
        """
        host = EntryHost(
            self._settings(model).model_copy(update={'seeds': seeds}),
            Random(self._random.random()),
        )
        host.is_control_on = control
        await host.start()
        self.hosts[model.name] = host
        return host

    async def apply(self) -> int:
        """Apply the configuration and return the new version."""
        content = self.document.model_dump(mode='json')
        return await self.order(ApplyDocument(verb='apply', document=content))

    async def order(self, action: Action, key: str = '') -> int:
        """Execute an order and return the version that contains it.

        Raises:
            ConfigurationError: The order was rejected.
        """
        self._orders += 1
        client = PlatformClient(self.platform.url, 2.0, 1000)
        executor = OrderExecutor(client)
        order = Order(
            key=key or f'deployment-{self._orders}',
            operator='deployment',
            action=action,
        )
        try:
            answer = await executor.execute(order)
        finally:
            client.close()
        match answer:
            case Ok(done):
                return done.version
            case Err(faults):
                hint = 'correct the order'
                raise ConfigurationError(str(faults[0]), hint)

    async def wait_until(
        self,
        condition: Callable[[], bool],
        seconds: float = READY_SECONDS,
    ) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        async with asyncio.timeout(seconds):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def wait_version(
        self,
        version: int,
        names: Iterable[str] | None = None,
    ) -> None:
        """Wait until hosts have adopted a version or a later one.

        Args:
            version: The version.
            names: The hosts to wait for; all hosts if None.
        """
        chosen = list(self.hosts if names is None else names)
        await self.wait_until(
            lambda: all(
                self.hosts[name].configuration.version >= version
                for name in chosen
            ),
        )

    def url(self, name: str, path: str) -> str:
        """Return a URL on a host's listener for callers."""
        return f'http://127.0.0.1:{self.hosts[name].ports.callers}{path}'

    def operator_url(self, name: str, path: str) -> str:
        """Return a URL on a host's listener for operators."""
        return f'http://127.0.0.1:{self.hosts[name].ports.operators}{path}'

    def _settings(self, model: HostModel) -> EntrySettings:
        regions = {zone.name: zone.region for zone in self.document.zones}
        running = self.hosts.get(model.name)
        addresses = {
            'callers': ANY_PORT,
            'peers': ANY_PORT,
            'forward': ANY_PORT,
            'operators': ANY_PORT,
        }
        if running is not None:
            addresses = {
                'callers': f'127.0.0.1:{running.ports.callers}',
                'peers': f'127.0.0.1:{running.ports.peers}',
                'forward': f'127.0.0.1:{running.ports.forward}',
                'operators': f'127.0.0.1:{running.ports.operators}',
            }
        checked = check_settings(
            {
                'host': {
                    'name': model.name,
                    'zone': model.zone,
                    'region': regions[model.zone],
                },
                'listen': {
                    name: {'address': address}
                    for name, address in addresses.items()
                },
                'platform': {
                    'url': self.platform.url,
                    'calls_per_second': 100,
                },
                'timing': {'beat_seconds': self._beat_seconds},
                'trusted_resolvers': ['127.0.0.1'],
            },
            'deployment',
        )
        return checked.unwrap()

    def with_addresses(self) -> SteeringDocument:
        """Return a copy of the configuration with the addresses in use."""
        content = self.document.model_dump(mode='json')
        for row in content['hosts']:
            ports = self.hosts[row['name']].ports
            row['callers'] = f'127.0.0.1:{ports.callers}'
            row['peers'] = f'127.0.0.1:{ports.peers}'
            row['forward'] = f'127.0.0.1:{ports.forward}'
            row['operators'] = f'127.0.0.1:{ports.operators}'
        for row in content['upstreams']:
            upstream = self.upstreams.get(row['name'])
            if upstream is not None:
                row['address'] = upstream.address
        return SteeringDocument.model_validate(content)

    def _is_ready(self) -> bool:
        return all(
            host.capacity.is_settled and self._has_fleet_state(host)
            for host in self.hosts.values()
        )

    def _has_fleet_state(self, host: EntryHost) -> bool:
        topology = host.topology
        if topology is None:
            return False
        zones = {model.zone for model in self.document.hosts}
        reported = sum(len(host.fleet.zones.hosts_of(zone)) for zone in zones)
        if reported < len(self.document.hosts):
            return False
        if len(host.fleet.live_names()) <= self._zone_peer_count(host.me.name):
            return False
        # All slots are free at the start, so a smaller count is outdated.
        return all(
            host.fleet.free_in_zone(zone, workload.name)
            == topology.slots(workload.name, zone)
            for zone in zones
            for workload in self.document.workloads
        )

    def _zone_peer_count(self, name: str) -> int:
        zones = {host.name: host.zone for host in self.document.hosts}
        return sum(zone == zones[name] for zone in zones.values()) - 1
