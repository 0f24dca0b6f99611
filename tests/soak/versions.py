"""Whether the versions of the configuration take hold, and never go back.

Each version keeps the marking routes of the ones before it, so that a gateway
which answered for a marking route once must always find it in that life.
"""

import asyncio
from collections.abc import Callable
from itertools import count

from lib.rig import Caller
from lib.specs import configuration_spec, route_spec

from soak.ledger import COLD_RATE, Kind, Ledger
from soak.processes import GatewayProcess
from soak.upstreams import SERVICES

MARKS = 40
PROBE_SECONDS = 0.25
PATIENCE_SECONDS = 3.0
NOT_FOUND = 404


def weights_of(version: int) -> dict[str, float]:
    """Return the weights of the split route; each version has others."""
    views, orders = SERVICES
    return {views: 1, orders: 1 if version % 2 == 0 else 1 / 19}


def marked_configuration(version: int) -> dict[str, object]:
    """Return a configuration with a marking route for each version."""
    begin = max(1, version - MARKS)
    marks = {
        f'mark-{one}': route_spec(f'/mark-{one}/', 'safe', timeout_ms=1500)
        for one in range(begin, version + 1)
    }
    document = configuration_spec(
        version,
        read=route_spec('/read/', 'safe'),
        order=route_spec('/order/', 'unsafe'),
        split=route_spec(
            '/split/',
            'safe',
            service=None,
            backends=[
                {'service': service, 'weight': weight}
                for service, weight in weights_of(version).items()
            ],
        ),
        **marks,
    )
    services = document['services']
    assert isinstance(services, dict)
    for service in services.values():
        service['cold_per_s'] = COLD_RATE
    return document


class VersionProbe:
    """Asks one gateway which version is in force."""

    def __init__(
        self,
        gateway: GatewayProcess,
        ledger: Ledger,
        newest: Callable[[], int],
    ) -> None:
        """Prepare.

        Args:
            gateway: The gateway.
            ledger: Where a version that went back is noted.
            newest: The version that the store has acknowledged last.
        """
        self.in_force = 0
        self._gateway = gateway
        self._ledger = ledger
        self.newest = newest
        self._numbers = count()
        self._life = ''

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Ask again and again."""
        while not is_over():
            await self.ask()
            await asyncio.sleep(PROBE_SECONDS)

    async def ask(self) -> None:
        """Ask for the newest version, and for the one that was in force."""
        life = self._gateway.name
        if life != self._life:
            self._life = life
            self.in_force = 0
        newest = self.newest()
        if await self._status(newest) == 200 and life == self._gateway.name:
            self.in_force = max(self.in_force, newest)
            return
        known = self.in_force
        if not known or await self._status(known) != NOT_FOUND:
            return
        # A new process may have answered in the place of the old one.
        if self._gateway.name == life and self._gateway.is_running:
            self._ledger.broken.append(f'{life} went back from {known}')

    async def _status(self, version: int) -> int:
        name = f'{self._life}-probe-{next(self._numbers)}'
        self._ledger.begin(name, Kind.probe, self._life)
        caller = None
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                caller = await Caller.connect_to(self._gateway.callers)
                target = f'/mark-{version}/x'
                answer = await caller.ask(target, request_id=name)
        except (OSError, TimeoutError):
            return 0
        finally:
            if caller is not None:
                caller.close()
        return answer.status
