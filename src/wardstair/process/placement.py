"""Selects zones for calls by the placement policy of their workload."""

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

WEIGHTS_CACHE_SECONDS = 0.5
UNKNOWN_DELAY_MILLISECONDS = 1e6


@dataclass(frozen=True)
class _CachedWeights:
    made_at: float
    weights: list[ZoneWeight]


class Placement:
    """Selects the zone of a call, and an entry host if it is another zone."""

    def __init__(
        self,
        zone: str,
        region: str,
        fleet: Fleet,
        random: Random,
    ) -> None:
        """Create a placement that has no configuration yet.

        Args:
            zone: Zone of this host.
            region: Region of this host.
            fleet: Source of the reports and entry hosts of other zones.
            random: Source of randomness.
        """
        self._zone = zone
        self._region = region
        self._fleet = fleet
        self._random = random
        self._topology: Topology | None = None
        self._cached_weights: dict[str, _CachedWeights] = {}

    def adopt(self, topology: Topology) -> None:
        """Use the zones and policies of a new configuration version."""
        self._topology = topology
        self._cached_weights = {}

    def preferred_remote_host(self, call: Call) -> HostModel | None:
        """Draw a zone by the policy; return a host of it if it is remote.

        Called before the slots of this host's zone are tried. None means that
        these should be tried first.
        """
        workload = call.route.workload.name
        zone = draw(self.weights(workload), self._random)
        if zone is None or zone == self._zone:
            return None
        return self._random_host(zone, frozenset())

    def find(self, call: Call, tried: frozenset[str]) -> HostModel | None:
        """Return a host of the nearest other zone with free slots, if any.

        Called when the slots of this host's zone are in use. The policy
        is ignored, since any host that can serve the request is acceptable.

        Args:
            call: Call to place.
            tried: Names of hosts that were already tried and are skipped.
        """
        views = self._views(call.route.workload.name)
        for view in sorted(views, key=self._by_delay):
            if view.zone == self._zone or not view.is_open:
                continue
            host = self._random_host(view.zone, tried)
            if host is not None:
                return host
        return None

    def weights(self, workload: str) -> list[ZoneWeight]:
        """Return the weights of the zones, cached for half a second."""
        now = time.monotonic()
        cached = self._cached_weights.get(workload)
        if cached is None or now - cached.made_at >= WEIGHTS_CACHE_SECONDS:
            policy = self._policy(workload)
            cached = _CachedWeights(now, weigh(policy, self._views(workload)))
            self._cached_weights[workload] = cached
        return cached.weights

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
                delays.get(zone, UNKNOWN_DELAY_MILLISECONDS),
                topology.slots(workload, zone),
                self._fleet.free_in_zone(zone, workload),
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
            else here.get(region, UNKNOWN_DELAY_MILLISECONDS)
            for zone, region in topology.zone_regions.items()
        }
        delays[self._zone] = 0.0
        return delays

    def _by_delay(self, view: ZoneView) -> tuple[float, float]:
        return view.delay, self._random.random()

    def _random_host(
        self, zone: str, tried: frozenset[str]
    ) -> HostModel | None:
        hosts = [
            host
            for host in self._fleet.far_hosts(zone)
            if host.name not in tried
        ]
        return self._random.choice(hosts) if hosts else None


def policy_of(model: PolicyModel) -> Policy:
    """Return the policy that a policy model of the configuration describes."""
    match model.kind:
        case 'nearest':
            return Nearest(model.spill_at)
        case 'weighted':
            return Weighted(dict(model.weights))
        case 'least-in-flight':
            return LeastInFlight()
        case 'headroom-first':
            return HeadroomFirst()
