"""The state of one host as JSON values, for operators."""

import time
from typing import Any

from wardstair.decisions.ledger import Identity
from wardstair.decisions.membership import HostState
from wardstair.process.capacity import Capacity
from wardstair.process.configuration import Configuration
from wardstair.process.fleet import Fleet
from wardstair.process.settings import HostSettings
from wardstair.process.slots import SlotPool

# Ages are infinite before the first report, which JSON cannot represent.
MAX_AGE_SECONDS = 1e6
_MILLISECONDS = 1000


class HostViews:
    """Read-only views of the components of a host."""

    def __init__(
        self,
        identity: Identity,
        location: HostSettings,
        configuration: Configuration,
        capacity: Capacity,
        fleet: Fleet,
        pool: SlotPool,
    ) -> None:
        """Create the views of these components."""
        self._identity = identity
        self._location = location
        self._configuration = configuration
        self._capacity = capacity
        self._fleet = fleet
        self._pool = pool

    def status(self) -> dict[str, Any]:
        """Return the status of the host as JSON values."""
        return {
            'host': self._identity.name,
            'incarnation': self._identity.incarnation,
            'zone': self._location.zone,
            'region': self._location.region,
            'version': self._configuration.version,
            'config_age': round(
                min(self._configuration.age, MAX_AGE_SECONDS), 1
            ),
            'fenced': self._capacity.is_fenced,
            'waiting': self._pool.waiting,
            'ledgers': {
                name: {
                    'owned': len(ledger.owned),
                    'borrowed': len(ledger.borrowed),
                    'in_use': ledger.in_use,
                }
                for name, ledger in self._capacity.ledgers.items()
            },
        }

    def upstreams(self) -> list[dict[str, Any]]:
        """Return the upstreams of the zone as JSON values."""
        now = time.monotonic()
        return [
            {
                'upstream': view.model.name,
                'workload': view.model.workload,
                'zone': view.model.zone,
                'slots': view.model.slots,
                'held': len(view.ledger.owned) + len(view.ledger.borrowed),
                'in_use': view.ledger.in_use,
                'latency_ms': round(view.latency * _MILLISECONDS, 1),
                'state': 'serving' if view.health.may_serve(now) else 'out',
                'reported_load': round(view.reported_load, 2),
                'report_age': round(
                    min(now - view.reported_at, MAX_AGE_SECONDS), 1
                ),
            }
            for view in self._pool.views.values()
        ]

    def fleet_hosts(self) -> list[dict[str, Any]]:
        """Return the known entry hosts as JSON values."""
        now = time.monotonic()
        zone_hosts = [
            {
                'host': name,
                'zone': self._location.zone,
                'state': self._fleet.members.state_of(name, now).value,
                'version': member.row.version,
                'leaving': member.row.leaving,
                'heard': round(now - member.heard_at, 1),
            }
            for name, member in self._fleet.members.members.items()
        ]
        remote_hosts = [
            {
                'host': host.name,
                'zone': zone,
                'state': 'reported',
                'version': known.report.version,
                'leaving': host.leaving,
                'heard': round(now - known.heard_at, 1),
            }
            for zone, known in self._fleet.zones.zones.items()
            if zone != self._location.zone
            for host in self._fleet.zones.hosts_of(zone)
        ]
        own = {
            'host': self._identity.name,
            'zone': self._location.zone,
            'state': HostState.live.value,
            'version': self._configuration.version,
            'leaving': self._fleet.is_leaving,
            'heard': 0.0,
        }
        return [own, *zone_hosts, *remote_hosts]

    def config_status(self) -> dict[str, Any]:
        """Return the lowest version in force in each zone as JSON values."""
        lowest = self._fleet.lowest_versions()
        lowest[self._location.zone] = (
            min(
                [self._configuration.version]
                + [
                    member.row.version
                    for member in self._fleet.members.members.values()
                ],
            ),
            0.0,
        )
        return {
            'version': self._configuration.version,
            'zones': {
                zone: {'lowest': version, 'age': round(age, 1)}
                for zone, (version, age) in sorted(lowest.items())
            },
        }
