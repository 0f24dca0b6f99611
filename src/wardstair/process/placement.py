"""Finds an entry host in another zone for a call that has no slot here."""

from random import Random

from wardstair.process.fleet import Fleet
from wardstair.request.call import Call
from wardstair.version.document import HostModel
from wardstair.version.topology import Topology


class RemotePlacement:
    """Places calls by the reports of other zones."""

    def __init__(
        self,
        zone: str,
        region: str,
        fleet: Fleet,
        random: Random,
    ) -> None:
        """Prepare without a version.

        Args:
            zone: Zone of this host.
            region: Region of this host.
            fleet: Reports of other zones and their hosts.
            random: Source of the choice among equals.
        """
        self.topology: Topology | None = None
        self._zone = zone
        self._region = region
        self._fleet = fleet
        self._random = random

    def find(self, call: Call, tried: frozenset[str]) -> HostModel | None:
        """Return an entry host that reported room, nearest zone first.

        Args:
            call: The call to place.
            tried: Hosts that it must not go to again.
        """
        if self.topology is None:
            return None
        for zone in self._zones_by_delay(self.topology):
            if self._fleet.far_free(zone, call.route.workload.name) <= 0:
                continue
            hosts = [
                host
                for host in self._fleet.far_hosts(zone)
                if host.name not in tried
            ]
            if hosts:
                return self._random.choice(hosts)
        return None

    def _zones_by_delay(self, topology: Topology) -> list[str]:
        delays = next(
            (
                region.delays_ms
                for region in topology.document.regions
                if region.name == self._region
            ),
            {},
        )
        others = [
            (
                0
                if region == self._region
                else delays.get(region, float('inf')),
                self._random.random(),
                zone,
            )
            for zone, region in topology.zone_regions.items()
            if zone != self._zone
        ]
        return [zone for _, _, zone in sorted(others)]
