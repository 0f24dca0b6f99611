"""Gateway processes of a play, which are signalled by process id only."""

import asyncio
import contextlib
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, Process
from dataclasses import dataclass
from pathlib import Path

from lib.rig import free_ports, own_address
from lib.specs import ADDRESS

from soak.ledger import COLD_OVERSHOOT, COLD_SLACK
from wardstair.gateway.settings import Bounds, Listener

TESTS = Path(__file__).parents[1]
NAMES = ('callers', 'ready', 'control', 'lookups', 'metrics')
# Number of hosts that are listed as seeds.
SEEDS = 3
GRACE_SECONDS = 5
# Time for a process to exit on SIGHUP, or to be ready for the next one.
HANG_UP_WAIT_SECONDS = 0.3
MILLISECONDS = 1000


@dataclass
class Place:
    """Where a gateway runs; restarts change its process only."""

    name: str
    zone: str
    address: str
    ports: list[int]
    store_port: int
    settings: Path
    log: Path


class GatewayProcess:
    """One gateway across restarts of its process."""

    def __init__(self, place: Place, module: str) -> None:
        """Create a gateway without starting its process.

        Args:
            place: Where it runs.
            module: Module that is run as the program.
        """
        self.place = place
        self.life = 0
        self._module = module
        self._process: Process | None = None
        self._starting = asyncio.Lock()
        # Size of the log in bytes when the current process was started.
        self._logged = 0
        # How long to wait for an exit on SIGHUP.
        self.hung_up_seconds = HANG_UP_WAIT_SECONDS

    @property
    def name(self) -> str:
        """Name of its current process."""
        return f'{self.place.name}/{self.life}'

    @property
    def callers(self) -> Listener:
        """Where callers connect."""
        return Listener(self.place.address, self.place.ports[0])

    @property
    def process_id(self) -> int:
        """Id of its current process; 0 before the first one."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        process = self._process
        return process is not None and process.returncode is None

    async def start(self) -> None:
        """Start the program as the platform does, unless it is running."""
        async with self._starting:
            # Two concurrent faults may both restart it.
            if not self.is_running:
                await self._start()

    async def hang_up(self) -> None:
        """Send SIGHUP, on which the process reloads its settings.

        Until the program runs its first line, SIGHUP terminates the process,
        and the platform restarts it. SIGHUP must not terminate a process that
        has written a log line; such a process is not restarted here, so that
        the play fails.
        """
        process = self._process
        self.send(signal.SIGHUP)
        if process is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.hung_up_seconds):
                await process.wait()
        if process.returncode != -signal.SIGHUP:
            return
        if process is self._process and self._log_size() == self._logged:
            await self.start()

    def _log_size(self) -> int:
        log = self.place.log
        return log.stat().st_size if log.exists() else 0

    async def _start(self) -> None:
        self.life += 1
        self._logged = self._log_size()
        source = TESTS.parent / 'src'
        environment = {
            **os.environ,
            'WARDSTAIR_CONFIG': str(self.place.settings),
            'PYTHONPATH': f'{source}:{TESTS}',
            'SOAK_ADDRESS': self.place.address,
        }
        with self.place.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                self._module,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                preexec_fn=_end_by_hang_up,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self.is_running:
            assert self._process is not None
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def end(self) -> None:
        """Kill the process, even if it is stopped."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.wait()


def _end_by_hang_up() -> None:
    """Restore the default action of SIGHUP, as the platform does.

    A soak that is started by nohup would pass on that SIGHUP is ignored.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def settings_text(
    place: Place,
    zones: dict[str, str],
    seeds: str,
    held_to: Bounds | None = None,
) -> str:
    """Return the content of the settings file of a gateway.

    Args:
        place: Where it runs.
        zones: Region of each zone.
        seeds: Addresses of the seeds, quoted and separated by commas.
        held_to: Bounds on updates and contact, if not the defaults.
    """
    listen = '\n'.join(
        f'{name} = "{place.address}:{port}"'
        for name, port in zip(NAMES, place.ports, strict=False)
    )
    regions = '\n'.join(f'"{zone}" = "{zones[zone]}"' for zone in zones)
    port = place.ports[-1]
    bounds = (
        f'"grace_s={GRACE_SECONDS}", "cold_overshoot={COLD_OVERSHOOT}", '
        f'"cold_slack={COLD_SLACK}"'
    )
    if held_to is not None:
        bounds = f'{bounds}, {_update_bounds(held_to)}'
    return (
        f'name = "{place.name}"\naddress = "{place.address}"\n'
        f'zone = "{place.zone}"\nfleet_ports = [{port}, {port}]\n'
        f'seeds = [{seeds}]\nstore = "{ADDRESS}:{place.store_port}"\n'
        f'bounds = [{bounds}]\n'
        f'[listen]\n{listen}\n[zones]\n{regions}\n'
    )


def _update_bounds(bounds: Bounds) -> str:
    named = {
        'drain_ms': bounds.drain_seconds,
        'config_apply_ms': bounds.apply_seconds,
        'evacuate_ms': bounds.evacuate_seconds,
        'contact_ms': bounds.contact_seconds,
    }
    return ', '.join(
        f'"{name}={round(seconds * MILLISECONDS)}"'
        for name, seconds in named.items()
    )


def choose_places(
    zones: dict[str, str],
    hosts: int,
    stores: list[int],
    folder: Path,
    held_to: Bounds | None = None,
) -> list[Place]:
    """Choose addresses and ports, and write the settings files.

    Args:
        zones: Region of each zone.
        hosts: Number of gateways.
        stores: Port of the store for each gateway.
        folder: Directory for settings and logs.
        held_to: Bounds on updates and contact, if not the defaults.
    """
    ports = free_ports(len(NAMES) + 1)
    names = sorted(zones)
    places = [
        Place(
            name=f'host-{number}',
            zone=names[number % len(names)],
            address=own_address(),
            ports=ports,
            store_port=stores[number],
            settings=folder / f'host-{number}.toml',
            log=folder / f'host-{number}.log',
        )
        for number in range(hosts)
    ]
    seeds = ', '.join(f'"{one.address}:{ports[2]}"' for one in places[:SEEDS])
    for place in places:
        place.settings.write_text(settings_text(place, zones, seeds, held_to))
    return places
