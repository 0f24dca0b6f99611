"""Places calls on zones by the policy of their workload."""

import time
from dataclasses import dataclass
from random import Random

from wardstair.decisions.policies import (
    HeadroomFirst,
    LeastInFlight,
    Nearest,
    Policy,
    Weighted,
    ZoneView,
    ZoneWeight,
    draw,
    weigh,
)
from wardstair.process.fleet import Fleet
from wardstair.request.call import Call
from wardstair.version.document import HostModel, PolicyModel
from wardstair.version.topology import Topology

KEPT_SECONDS = 0.5
FAR_MILLISECONDS = 1e6


@dataclass(frozen=True)
class _Weighed:
    made_at: float
    weights: list[ZoneWeight]


class Placement:
    """Chooses the zone of a call, and an entry host if it is another's."""

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
            random: Source of the draw by weight.
        """
        self._zone = zone
        self._region = region
        self._fleet = fleet
        self._random = random
        self._topology: Topology | None = None
        self._kept: dict[str, _Weighed] = {}

    def adopt(self, topology: Topology) -> None:
        """Take over the zones and policies of a new version."""
        self._topology = topology
        self._kept = {}

    def preferred_remote_host(self, call: Call) -> HostModel | None:
        """Return a host of another zone if the policy draws one.

        Asked before the zone's own slots are tried; None means to try them.
        """
        workload = call.route.workload.name
        zone = draw(self.weights(workload), self._random)
        if zone is None or zone == self._zone:
            return None
        return self._host_of(zone, frozenset())

    def find(self, call: Call, tried: frozenset[str]) -> HostModel | None:
        """Return a host with room elsewhere, nearest zone first.

        Asked when the zone's own slots are in use: whatever the policy
        prefers, a request goes to whom can serve it.

        Args:
            call: The call to place.
            tried: Hosts that it must not go to again.
        """
        views = self._views(call.route.workload.name)
        for view in sorted(views, key=self._by_delay):
            if view.zone == self._zone or not view.is_open:
                continue
            host = self._host_of(view.zone, tried)
            if host is not None:
                return host
        return None

    def weights(self, workload: str) -> list[ZoneWeight]:
        """Return the weights of the zones, decided twice a second."""
        now = time.monotonic()
        kept = self._kept.get(workload)
        if kept is None or now - kept.made_at >= KEPT_SECONDS:
            policy = self._policy(workload)
            kept = _Weighed(now, weigh(policy, self._views(workload)))
            self._kept[workload] = kept
        return kept.weights

    def _policy(self, workload: str) -> Policy:
        if self._topology is None:
            return Nearest()
        model = self._topology.policies.get(workload)
        return Nearest() if model is None else policy_of(model)

    def _views(self, workload: str) -> list[ZoneView]:
        topology = self._topology
        if topology is None:
            return []
        delays = self._delays(topology)
        return [
            ZoneView(
                zone,
                delays.get(zone, FAR_MILLISECONDS),
                topology.slots(workload, zone),
                self._fleet.far_free(zone, workload),
                self._fleet.report_age(zone),
            )
            for zone in topology.zone_regions
        ]

    def _delays(self, topology: Topology) -> dict[str, float]:
        regions = {
            region.name: region.delays_ms
            for region in topology.document.regions
        }
        here = regions.get(self._region, {})
        delays = {
            zone: 1.0
            if region == self._region
            else here.get(region, FAR_MILLISECONDS)
            for zone, region in topology.zone_regions.items()
        }
        delays[self._zone] = 0.0
        return delays

    def _by_delay(self, view: ZoneView) -> tuple[float, float]:
        return view.delay, self._random.random()

    def _host_of(self, zone: str, tried: frozenset[str]) -> HostModel | None:
        hosts = [
            host
            for host in self._fleet.far_hosts(zone)
            if host.name not in tried
        ]
        return self._random.choice(hosts) if hosts else None


def policy_of(model: PolicyModel) -> Policy:
    """Return the policy that a configuration asks for."""
    match model.kind:
        case 'nearest':
            return Nearest(model.spill_at)
        case 'weighted':
            return Weighted(dict(model.weights))
        case 'least-in-flight':
            return LeastInFlight()
        case 'headroom-first':
            return HeadroomFirst()
