"""Assembles the parts of a host that roll out versions."""

import time
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import TYPE_CHECKING

from wardstair.decisions.rollouts import RolloutBounds
from wardstair.fleet.rollout_endpoint import RolloutEndpoint
from wardstair.fleet.rollout_messages import RolloutPlan, RolloutReport
from wardstair.gateway.host_rollout import GateIdentity
from wardstair.gateway.rollout_coordinator import RolloutCoordinator
from wardstair.gateway.rollout_gauges import add_rollout_gauges
from wardstair.gateway.rollout_listing import RolloutListing, RolloutRow
from wardstair.gateway.rollout_scene import RolloutScene
from wardstair.state.rollout_records import RolloutRecords
from wardstair.state.upstream import Upstream

if TYPE_CHECKING:
    from wardstair.gateway.host import GatewayHost

# Offset of the port for messages about roll-outs from the first fleet port.
ROLLOUT_PORT_OFFSET = 2
# Assumed until answers have been measured.
DEFAULT_WORK_SECONDS = 0.5
Spawn = Callable[[str, Callable[[], Awaitable[None]]], None]


def make_rollout_parts(
    host: 'GatewayHost', random: Random
) -> 'RolloutParts | None':
    """Return the parts of a host; None if its settings have no bounds.

    Args:
        host: The host that they belong to.
        random: Source of jitter.
    """
    bounds = host.settings.rollout_bounds
    if bounds is None:
        return None
    return RolloutParts(host, bounds, random)


class RolloutParts:
    """The endpoint, the coordinator and the listing of roll-outs.

    Attributes:
        endpoint: Exchanges messages with other hosts.
        coordinator: Coordinates roll-outs while this host is a sentinel.
    """

    def __init__(
        self,
        host: 'GatewayHost',
        bounds: RolloutBounds,
        random: Random,
    ) -> None:
        """Assemble the parts without opening a socket.

        Args:
            host: The host that they belong to.
            bounds: The limits of the exposure.
            random: Source of jitter.
        """
        self._host = host
        self._bounds = bounds
        self._table = host.local_state.rollouts
        self._gate = host.chooser.rollouts
        settings = host.settings
        self.endpoint = RolloutEndpoint(
            host.members,
            settings.fleet_ports[0] + ROLLOUT_PORT_OFFSET,
            random,
        )
        records = RolloutRecords(host.store, host.contact, self._table)
        self.coordinator = RolloutCoordinator(
            self._table, self._scene(), records.write
        )
        self.coordinator.send_plan = self.endpoint.send_plan
        self._listing = RolloutListing(
            self._table, self._gate, self.coordinator, bounds, settings.name
        )
        self.endpoint.far_addresses = lambda: (
            host.heartbeat_endpoint.far_addresses
        )
        self.endpoint.is_active = lambda: bool(self._gate.running)
        self.endpoint.own_reports = self._own_reports
        self.endpoint.on_report = self.coordinator.take_report
        self.endpoint.on_plan = self._on_plan
        self._gate.on_news = self.endpoint.prompt
        self._gate.on_change = self._on_change
        add_rollout_gauges(host.metrics, self._gate, self._table)
        # The number of a run is never used again.
        self._gate.attach(
            self._table,
            GateIdentity(settings.name, settings.zone, time.time_ns()),
            lambda: host.local_state.catalog.generation,
        )

    async def start(self, spawn: Spawn) -> None:
        """Open the socket and start the tasks.

        Args:
            spawn: Runs a task under a name.
        """
        await self.endpoint.start(self._host.settings.address)
        spawn('rollout-reports', self.endpoint.run)
        spawn('rollout-coordinator', self.coordinator.run)

    def close(self) -> None:
        """Close the socket and cancel writes in progress."""
        self.coordinator.close()
        self.endpoint.stop()

    def listing(self) -> list[RolloutRow]:
        """Return the known roll-outs and refused orders, for operators."""
        steering = self._host.local_state.steering
        services = () if steering is None else tuple(steering.services)
        return self._listing.rows(services)

    def _scene(self) -> RolloutScene:
        host = self._host
        settings = host.live_settings
        return RolloutScene(
            own=host.settings.name,
            is_sentinel=lambda: host.is_sentinel,
            may_write=lambda: host.is_first_sentinel and host.contact.is_held,
            is_led=self._gate.is_led,
            has_contact=lambda: host.contact.is_held,
            bounds=lambda: settings.current.rollout_bounds or self._bounds,
            contact_seconds=lambda: settings.current.bounds.contact_seconds,
            live_hosts=host.members.live_names,
            share=self._gate.share,
            upstreams=self._upstreams,
            work_seconds=self._work_seconds,
            cold_rate=self._cold_rate,
        )

    def _own_reports(self) -> list[RolloutReport]:
        self._gate.check_plans()
        now = time.monotonic()
        usable = [
            upstream
            for service in self._gate.running
            for upstream in self._upstreams(service)
            if self._host.chooser.may_use(upstream, now)
        ]
        return self._gate.reports(usable)

    def _on_plan(self, plan: RolloutPlan) -> None:
        self.coordinator.note_plan(plan)
        self._gate.follow(plan)

    def _on_change(self) -> None:
        self.endpoint.prompt()
        self.coordinator.prompt()

    def _upstreams(self, service: str) -> Iterable[Upstream]:
        local_state = self._host.local_state
        return [
            upstream
            for upstream in local_state.catalog.of_service(service)
            if upstream.entry.zone not in local_state.evacuated
        ]

    def _work_seconds(self, service: str) -> float:
        steering = self._host.local_state.steering
        routes = () if steering is None else steering.routes
        return max(
            (
                self._host.chooser.work_of(route).seconds
                for route in routes
                if service in {share.service for share in route.shares}
            ),
            default=DEFAULT_WORK_SECONDS,
        )

    def _cold_rate(self, service: str) -> float:
        steering = self._host.local_state.steering
        known = None if steering is None else steering.services.get(service)
        return 0.0 if known is None else known.cold_rate
