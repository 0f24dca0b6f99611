"""Assembles, starts and stops the components of a gateway process."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import fields
from random import Random

from wardstair.connection.pool import UpstreamPool
from wardstair.decisions.agreement import listing_delay
from wardstair.decisions.authorisation import Freshness
from wardstair.decisions.notices import Availability
from wardstair.decisions.processor_pressure import ProcessorPressure
from wardstair.decisions.reachability import probe_times
from wardstair.decisions.resends import ResendLimit
from wardstair.decisions.state_age import RefreshTimes, refresh_times
from wardstair.decisions.stopping import ANSWER_MARGIN_SECONDS, stop_times
from wardstair.fleet.datagrams import DatagramSocket
from wardstair.fleet.demand import DemandTable
from wardstair.fleet.demand_endpoint import DemandEndpoint
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.fleet.heartbeats import HeartbeatDatagram, PeerName
from wardstair.fleet.loads import FleetLoads
from wardstair.fleet.members import Members
from wardstair.fleet.naming import ENOUGH_HOSTS
from wardstair.fleet.peer_requests import PeerAnswer, PeerRequest
from wardstair.gateway.admission import Admission
from wardstair.gateway.announcing import ChangeAnnouncer
from wardstair.gateway.authorising import Authoriser
from wardstair.gateway.bodies import body_capacity
from wardstair.gateway.callers import CallerListener
from wardstair.gateway.choosing import Chooser
from wardstair.gateway.distances import Distances
from wardstair.gateway.endpoints import (
    Directory,
    lookup_application,
    metrics_application,
    ready_application,
    state_application,
)
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.gateway.fleet_views import FleetViews
from wardstair.gateway.forwarding import Forwarder, Transports
from wardstair.gateway.gauges import add_blocked_listeners, add_gauges
from wardstair.gateway.incarnations import IncarnationEvents
from wardstair.gateway.listeners import Listeners
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.peer_forwarding import PeerForwarder
from wardstair.gateway.peer_server import PeerRequestServer
from wardstair.gateway.ports import NamedPort, UdpPort
from wardstair.gateway.quotas import Quotas
from wardstair.gateway.reachability import ReachabilityMonitor
from wardstair.gateway.reporting import Reporter
from wardstair.gateway.resend_budgets import ResendBudgets
from wardstair.gateway.rollout_parts import make_rollout_parts
from wardstair.gateway.sending import Sender
from wardstair.gateway.settings import (
    GatewaySettings,
    Listener,
    LiveSettings,
)
from wardstair.gateway.updates import UpdateSender
from wardstair.platform.store import Store
from wardstair.process.log import log_event, log_warning
from wardstair.process.metrics import Metrics
from wardstair.process.supervision import Supervisor
from wardstair.state.agreement import ListingAgreement
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.freshness import ConfigurationFreshness
from wardstair.state.local_state import LocalState
from wardstair.state.refreshing import StateRefresher
from wardstair.state.registration import Registration
from wardstair.state.roles import RoleLog, Roles
from wardstair.state.rollouts import RolloutTable
from wardstair.state.suspect_sharing import SuspectSharing
from wardstair.state.sync import StoreSync
from wardstair.state.watching import KindWatcher

# Interval at which idle connections and expired records are removed.
SWEEP_SECONDS = 0.5
# On the first start of the whole fleet no callers are waiting, so hosts delay
# reading the store until the relays are known; only relays need to read it. A
# host that joins a running fleet waits only for the first answer of another
# host, 0.3 s at most. By then it knows whether it is a relay, and it receives
# state from the others.
FIRST_START_DELAY_SECONDS = 1.2
# Fraction of an upstream's connection limit that the fleet uses.
CONNECTION_FRACTION = 0.8
MIN_CONNECTIONS = 4
# Minimum interval between extra heartbeats for changed limits. An upstream that
# reports a different limit in each answer would otherwise cause ten heartbeats
# a second to every host. The regular heartbeats, one a second, carry the limits
# as well.
LIMIT_ANNOUNCE_INTERVAL_SECONDS = 1.0
# Time for closing the sockets, between the last answer and the end of the grace
# period.
CLOSE_TIMEOUT_SECONDS = 0.1
# Time after the first heartbeat of another host in which this one has been told
# the other hosts of its zone.
MATES_SECONDS = 1.0
# Size of the number that identifies a process in reports of demand.
RUN_BITS = 48
# Offset of the port for demand reports from the first fleet port.
DEMAND_PORT_OFFSET = 1
# A stopping host accepts new connections for this long. Most callers cache
# look-ups for two seconds and still connect to this host meanwhile. Callers
# that cache them longer are refused the connection and try another address.
LINGER_SECONDS = 2.5
# Time after it for requests that have begun to come, and for the first one of a
# new connection. A request that begins later than 3 s after the signal has too
# little left of the grace period.
LAST_HEAD_SECONDS = 0.5
# Interval at which connections that became idle during a stop are closed.
LAST_CHECK_SECONDS = 0.1


class GatewayHost:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, random: Random) -> None:
        """Assemble the components without opening a socket.

        Args:
            settings: Settings of this host.
            random: Source of jitter.
        """
        self.settings = settings
        self.live_settings = LiveSettings(settings)
        self.metrics = Metrics()
        clock = time.monotonic
        self._clock = clock
        own = PeerName(
            settings.name,
            settings.zone,
            settings.address,
            str(settings.callers),
            settings.cores,
        )
        self._processor_pressure = ProcessorPressure()
        self._random = random
        self.local_state = LocalState(
            clock,
            Catalog(clock),
            rollouts=RolloutTable(
                is_in_use=settings.rollout_bounds is not None
            ),
        )
        self.local_state.on_steering = self._on_steering
        self.local_state.restoration.period = lambda: (
            self.live_settings.current.heartbeat.expiry_seconds
        )
        self.local_state.notices.drain_seconds = lambda: (
            self.live_settings.current.bounds.drain_seconds
        )
        self.store = Store(settings.store)
        self.contact = StoreContact(clock, random)
        self.store.on_era = self.contact.note_era
        self.contact.tolerated_outage_seconds = lambda: (
            self.live_settings.current.heartbeat.tolerated_outage_seconds
        )
        self.members = Members(
            own,
            clock,
            lambda: self.contact.is_held,
            lambda: self.live_settings.current.timing.relay_timeout,
            lambda: self.views.is_settled,
        )
        self.members.sentinel_silence = lambda: (
            self.live_settings.current.timing.sentinel_silence
        )
        self.members.is_sentinel = lambda: self.is_sentinel
        self.members.is_contact_suspect = lambda: self.contact.is_suspect
        self.members.on_suspect = self.contact.renew_watches
        self.members.own_contact = lambda: self.contact.contact_period
        self.contact.others = self.members.contacts
        self.heartbeat_endpoint = HeartbeatEndpoint(
            self.members,
            settings.fleet_ports[0],
            lambda: self.local_state.versions,
            random,
        )
        self.heartbeat_endpoint.sentinel_seconds = lambda: (
            self.live_settings.current.timing.sentinel_heartbeat
        )
        self.contact.on_suspect = self._on_contact_suspicion
        roles = Roles(
            lambda: self.members.is_relay,
            lambda: self.is_sentinel,
            lambda: self.is_first_sentinel,
        )
        self._role_log = RoleLog(roles)
        self.heartbeat_endpoint.state_age = lambda: (
            self.local_state.age.reportable
        )
        self.local_state.age.on_fresh = self.heartbeat_endpoint.announce_age
        self.sync = StoreSync(
            self.store,
            self.contact,
            self.local_state,
            roles,
            lambda: self.live_settings.current.timing,
        )
        self.exchange = StateExchange(
            self.local_state,
            self.contact,
            settings.fleet_ports[0],
            roles,
            settings.zone,
            lambda: self.live_settings.current.timing,
        )
        self.heartbeat_endpoint.on_heartbeat = self._on_heartbeat
        self.heartbeat_endpoint.on_state = self.exchange.receive_datagram
        self._updates = UpdateSender(
            self.heartbeat_endpoint,
            self.exchange,
            roles,
            lambda: self.live_settings.current.timing,
        )
        self.exchange.on_update = self._updates.send_update
        self.sync.on_update = self._updates.send_update
        self.refresher = StateRefresher(
            self.sync,
            self.local_state,
            self.contact,
            roles,
            self._refresh_times,
        )
        self.agreement = ListingAgreement(
            self.sync,
            self.local_state,
            self.contact,
            self._listing_delay,
        )
        self.registration = Registration(
            self.store,
            self.contact,
            own,
            self.members,
            self.local_state.restoration,
            is_first_start=settings.is_first_start,
        )
        distances = Distances(self.live_settings)
        self.pool = UpstreamPool(self._max_connections)
        self.peer_forwarder = PeerForwarder(
            self.members,
            self.local_state,
            self.live_settings,
            settings.fleet_ports[0],
            random,
        )
        self.reachability_monitor = ReachabilityMonitor(
            self.local_state,
            self.pool,
            random,
        )
        self.local_state.reachability.times = lambda: probe_times(
            self.live_settings.current.bounds.contact_seconds,
        )
        self.local_state.reachability.on_change = self._on_reachability_changed
        self.local_state.reachability.on_regained = self._on_regained
        self.chooser = Chooser(self.live_settings, self.local_state, distances)
        reporter = Reporter(self.metrics)
        self.suspect_sharing = SuspectSharing(
            self.store,
            self.contact,
            self.local_state.suspects,
            roles,
            random,
        )
        self.loads = FleetLoads(
            self.members,
            lambda: self.live_settings.current.zones,
            lambda: not self.chooser.limited_sends.is_idle,
        )
        self.heartbeat_endpoint.zone_loads = self.loads.reported
        self._suspect_announcer = ChangeAnnouncer(
            self.heartbeat_endpoint.send_heartbeats
        )
        self._limit_announcer = ChangeAnnouncer(
            self.heartbeat_endpoint.send_heartbeats,
            LIMIT_ANNOUNCE_INTERVAL_SECONDS,
        )
        self._reachability_announcer = ChangeAnnouncer(
            self.heartbeat_endpoint.send_heartbeats
        )
        self.local_state.limits.on_change = self._on_limits_changed
        self._incarnations = IncarnationEvents(
            self.local_state,
            self.pool,
            self.chooser,
            self._suspect_announcer,
            self.suspect_sharing.changed,
        )
        self.exit_detector = ExitDetector(
            self.local_state.suspects,
            self._incarnations.newest,
            lambda: self.live_settings.current.heartbeat.expiry_seconds,
            lambda: self.local_state.catalog.in_service,
        )
        self.quotas = Quotas(
            clock,
            lambda: self.live_settings.current.organisation_bounds,
            self._assumed_hosts,
        )
        self.quotas.attach_table(
            DemandTable(
                own.name,
                own.zone,
                clock,
                self.quotas.own_counts,
                self.quotas.own_refused,
                run=random.getrandbits(RUN_BITS) + 1,
                age=self.quotas.age,
                window=self.quotas.window,
                expected_zones=self._expected_zones,
                is_alone=self._is_alone,
            )
        )
        self.demand_endpoint = DemandEndpoint(
            self.members,
            self.quotas.table,
            settings.fleet_ports[0] + DEMAND_PORT_OFFSET,
            lambda: self.local_state.has_quotas,
            random,
        )
        self.demand_endpoint.far_addresses = lambda: (
            self.heartbeat_endpoint.far_addresses
        )
        self.demand_endpoint.on_reported = self.quotas.note_reported
        self.quotas.on_hasty = self.demand_endpoint.hasten
        self._freshness = ConfigurationFreshness(
            clock, self._is_store_reachable
        )
        bodies = body_capacity(settings.memory_bytes)
        self.sender = Sender(
            self.pool, distances, self.local_state, self.chooser.rollouts
        )
        self.resend_budgets = ResendBudgets(
            self._fleet_resend_limit,
            lambda: self.chooser.view.fleet_size,
            clock,
        )
        self.forwarder = Forwarder(
            self.local_state,
            self.chooser,
            Transports(
                self.sender,
                self.peer_forwarder,
                bodies,
                self.resend_budgets,
            ),
            self.live_settings,
            reporter,
            self.exit_detector,
            Admission(
                self.local_state,
                Authoriser(self.local_state, self._configuration_freshness),
                self.quotas,
                reporter,
            ),
        )
        self.reachability_monitor.on_suspect = self.forwarder.forward_waiting
        self.directory = Directory(self.live_settings, own, self.members)
        self.callers = CallerListener(
            self._serve_caller,
            bodies,
            reporter.body_refused,
            self._is_repeatable,
        )
        self.peer_request_server = PeerRequestServer(
            self._serve_peer_request, self.callers.bodies
        )
        self.views = FleetViews(self.members, self.loads, self.chooser)
        self.views.refresh()
        self.rollouts = make_rollout_parts(self, random)
        self._supervisor = Supervisor(self.metrics.task_failures.add)
        self._listeners = Listeners(
            self.callers,
            self.metrics.listener_failures.add,
            settings.descriptors,
        )
        add_gauges(self)
        add_blocked_listeners(self.metrics, self._listeners.binder)
        self._is_stopping = False
        self._is_closed = False

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this host."""
        state = self.local_state
        is_informed = state.steering is not None and state.rollouts.is_known
        return is_informed and not self._is_stopping

    @property
    def blocked_listeners(self) -> tuple[str, ...]:
        """Names of the listeners that wait for their ports."""
        return tuple(self._listeners.binder.blocked)

    @property
    def is_sentinel(self) -> bool:
        """Whether this host is a sentinel, which watches the store closely."""
        return self._sentinel_rank is not None

    @property
    def is_first_sentinel(self) -> bool:
        """Whether this host is the first of the sentinels."""
        return self._sentinel_rank == 0

    @property
    def _sentinel_rank(self) -> int | None:
        return self.members.sentinel_rank(
            self.live_settings.current.zones,
            takes_part=self.contact.is_held and not self._is_stopping,
        )

    async def start(self) -> None:
        """Open the listeners and start the tasks.

        Waits for ports that are in use. Until all but that for metrics are
        free, each refuses connections, and no other host hears of this one.
        """
        settings = self.settings
        listeners = self._listeners
        self._supervisor.spawn('metrics', self._serve_metrics)
        await listeners.bind(
            {
                'callers': settings.callers,
                'ready': settings.ready,
                'lookups': settings.lookups,
                'fleet': Listener(settings.address, settings.fleet_ports[0]),
            },
            self._datagram_ports(),
        )
        listeners.open_callers('callers')
        listeners.open(ready_application(lambda: self.is_ready), 'ready')
        listeners.open(lookup_application(self.directory), 'lookups')
        await self.heartbeat_endpoint.start(settings.address)
        await self.demand_endpoint.start(settings.address)
        rollouts = self.rollouts
        if rollouts is not None:
            await rollouts.start(self._supervisor.spawn)
        listeners.open(
            state_application(
                self.exchange,
                self.local_state.suspects,
                self.peer_request_server,
                None if rollouts is None else rollouts.listing,
            ),
            'fleet',
        )
        seeds = tuple(seed.rpartition(':')[0] for seed in settings.seeds)
        spawn = self._supervisor.spawn
        spawn('configuration', self._run_when_ready(self.sync.configuration))
        spawn('evacuations', self._run_when_ready(self.sync.evacuations))
        spawn('upstreams', self._watch_upstreams)
        if self.sync.rollouts is not None:
            spawn('rollouts', self._run_when_ready(self.sync.rollouts.watcher))
        sharing = self.suspect_sharing
        spawn('suspects', self._run_when_ready(sharing.watcher))
        spawn('suspect-sharing', sharing.run)
        spawn('contact', self.sync.probe_contact)
        spawn('registration', self.registration.run)
        spawn('heartbeats', lambda: self.heartbeat_endpoint.run(seeds))
        spawn('sentinel-heartbeats', self.heartbeat_endpoint.run_sentinel)
        spawn('demand', self.demand_endpoint.run)
        spawn('sweep', self._sweep)
        spawn('state-age', self.refresher.run)
        spawn('reach', self.reachability_monitor.run)
        log_event(
            'host-started',
            host=settings.name,
            zone=settings.zone,
            callers=settings.callers,
            store=settings.store,
        )

    async def stop(self) -> None:
        """Drain and shut down within the grace period.

        Requests in progress are completed unless the grace period ends first.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        began = self._clock()
        grace = self.live_settings.current.bounds.grace_seconds
        self.callers.stop_times = stop_times(began, grace)
        end = self.callers.stop_times.ends
        self.directory.is_leaving = True
        self.members.is_leaving = True
        self.heartbeat_endpoint.send_heartbeats()
        log_event(
            'host-stopping',
            open=self.callers.open_count,
            lateness=round(self._processor_pressure.lateness, 3),
        )
        await asyncio.sleep(LINGER_SECONDS)
        late = self._clock() - began - LINGER_SECONDS
        accepted = self._listeners.stop_callers()
        unread = self.callers.unread_count
        idle = self.callers.close_idle(spares_expected=True)
        log_event(
            'callers-closed',
            accepted=accepted,
            unread=unread,
            idle=idle,
            late=round(late, 3),
        )
        self.peer_request_server.is_stopping = True
        head_end = min(self._clock() + LAST_HEAD_SECONDS, end)
        await self.callers.wait_closed(head_end - self._clock())
        await self._finish_callers(end)
        await self.peer_request_server.wait_idle(end - self._clock())
        log_event(
            'host-stopped',
            cut=self.callers.open_count,
            cut_forwarded=self.peer_request_server.open_count,
            unread=self.callers.unread_count,
        )
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self.close()
        except TimeoutError:
            # A connection whose caller does not read cannot be closed
            # gracefully. It closes when the process exits.
            log_warning('host-close-unfinished', seconds=CLOSE_TIMEOUT_SECONDS)

    async def _finish_callers(self, end: float) -> None:
        """Wait until all connections of callers have closed.

        Requests that would be cut by the exit are answered shortly before it.

        Args:
            end: Monotonic time of the exit in seconds.
        """
        while not self.callers.is_quiet:
            left = end - self._clock()
            if left <= 0:
                return
            if left <= ANSWER_MARGIN_SECONDS:
                self.callers.expire_requests()
            self.callers.close_idle()
            await self.callers.wait_closed(min(left, LAST_CHECK_SECONDS))

    async def close(self) -> None:
        """Stop all tasks and close all sockets immediately."""
        if self._is_closed:
            return
        self._is_closed = True
        await self._supervisor.stop()
        self.exit_detector.close()
        self._suspect_announcer.close()
        self._limit_announcer.close()
        self._reachability_announcer.close()
        self._updates.close()
        await self._listeners.close()
        self.heartbeat_endpoint.stop()
        self.demand_endpoint.stop()
        if self.rollouts is not None:
            self.rollouts.close()
        self.pool.close()
        self.peer_forwarder.close()
        self.exchange.close()
        self.refresher.close()
        self.agreement.close()
        self.sync.close()
        self.store.close()

    def adopt_settings(self, settings: GatewaySettings) -> list[str]:
        """Apply changed settings. Sockets keep their addresses and ports.

        Args:
            settings: The new settings.

        Returns:
            Names of the settings that have changed.
        """
        before = self.live_settings.current
        self.live_settings.current = settings
        return [
            setting.name
            for setting in fields(GatewaySettings)
            if getattr(settings, setting.name) != getattr(before, setting.name)
        ]

    async def _serve_metrics(self) -> None:
        # Not waited for: a host serves callers without its metrics, and while
        # it waits for other ports, its metrics tell for which.
        await self._listeners.bind({'metrics': self.settings.metrics})
        self._listeners.open(
            metrics_application(self.metrics.render), 'metrics'
        )
        await asyncio.Event().wait()

    def _datagram_ports(self) -> tuple[NamedPort, ...]:
        endpoints: dict[str, DatagramSocket] = {
            'heartbeats': self.heartbeat_endpoint,
            'demand': self.demand_endpoint,
        }
        if self.rollouts is not None:
            endpoints['rollouts'] = self.rollouts.endpoint
        address = self.settings.address
        return tuple(
            NamedPort(
                name,
                Listener(address, endpoint.port),
                'udp',
                UdpPort(endpoint, address),
            )
            for name, endpoint in endpoints.items()
        )

    def _on_steering(self) -> None:
        steering = self.local_state.steering
        assert steering is not None
        self.chooser.splitter.drop_unsplit(steering.routes)
        self.quotas.forget(steering.organisations.by_name)
        self._listeners.limit_callers(steering.limits)

    def _fleet_resend_limit(self) -> ResendLimit:
        bounds = self.live_settings.current.bounds
        return ResendLimit(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window,
        )

    def _max_connections(self, name: str) -> int:
        steering = self.local_state.steering
        upstream = self.local_state.catalog.upstreams.get(name)
        if steering is None or upstream is None:
            return MIN_CONNECTIONS
        service = steering.services.get(upstream.entry.service)
        if service is None:
            return MIN_CONNECTIONS
        hosts = self.chooser.view.fleet_size
        share = service.max_connections * CONNECTION_FRACTION / hosts
        return max(MIN_CONNECTIONS, int(share))

    async def _sweep(self) -> None:
        while True:
            due = self._clock() + SWEEP_SECONDS
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock()
            self.members.is_busy = self._processor_pressure.note(now - due, now)
            catalog = self.local_state.catalog
            catalog.expire_missing()
            self.pool.sweep(self._keeps_connections)
            self.chooser.cold_sends.forget(set(catalog.upstreams))
            self.chooser.limited_sends.forget(catalog.upstreams)
            self.loads.step()
            self.local_state.expire_kept_zones()
            self.local_state.suspects.expire()
            self.local_state.limits.forget(catalog.upstreams)
            self.local_state.notices.forget(catalog.upstreams)
            self.views.refresh()
            self._role_log.refresh()
            self._freshness.refresh()

    def _listing_delay(self) -> float:
        settings = self.live_settings.current
        return listing_delay(settings.update_bound_seconds, settings.name)

    def _refresh_times(self) -> RefreshTimes:
        settings = self.live_settings.current
        retry_seconds = self.store.answer_timeout.timeout(
            settings.timing.far_hedge,
            settings.update_bound_seconds,
        )
        return refresh_times(
            settings.update_bound_seconds, settings.name, retry_seconds
        )

    def _assumed_hosts(self) -> int:
        """Return the number of hosts assumed before any report is received.

        Look-ups return at least `ENOUGH_HOSTS` hosts in each zone. The number
        is 0 once the view is settled or a report has been received.
        """
        if self.chooser.view.is_settled or not self.quotas.table.is_empty:
            return 0
        return ENOUGH_HOSTS * len(self.live_settings.current.zones)

    def _is_alone(self) -> bool:
        """Return whether there is no other host in this zone."""
        members = self.members
        has_mates = bool(members.in_zone(members.own.zone))
        return members.knows_fleet(MATES_SECONDS) and not has_mates

    def _expected_zones(self) -> Collection[str]:
        """Return the zones that have hosts, as far as this host knows."""
        if self.chooser.view.knows_zones:
            return self.members.zones()
        return self.live_settings.current.zones

    def _is_store_reachable(self) -> bool:
        if self.contact.is_held:
            return True
        return any(one.hears_store for one in self.members.live())

    def _configuration_freshness(self) -> Freshness:
        bounds = self.live_settings.current.organisation_bounds
        is_expired = self._freshness.age > bounds.revoke_seconds
        return Freshness(self._is_store_reachable(), is_expired)

    def _run_when_ready(
        self, watcher: KindWatcher
    ) -> Callable[[], Awaitable[None]]:
        async def run_when_ready() -> None:
            if self.settings.is_first_start:
                await asyncio.sleep(FIRST_START_DELAY_SECONDS)
            await self.heartbeat_endpoint.is_greeted.wait()
            await watcher.run()

        return run_when_ready

    async def _watch_upstreams(self) -> None:
        await self.heartbeat_endpoint.is_greeted.wait()
        await self.registration.check_for_restore()
        await self._run_when_ready(self.sync.upstreams)()

    def _on_heartbeat(self, beat: HeartbeatDatagram) -> None:
        self.loads.record(beat)
        self.exchange.on_heartbeat(beat)
        self.agreement.on_heartbeat(beat)

    def _on_limits_changed(self) -> None:
        """Announce a changed limit and compute this host's share of it."""
        self._limit_announcer.schedule()
        if not self.chooser.load_view.is_settled:
            # The first limit takes effect at once, later ones at the next
            # sweep.
            self.views.refresh_loads()

    def _is_repeatable(self, host: str, path: str) -> bool:
        steering = self.local_state.steering
        return steering is not None and steering.is_repeatable(host, path)

    async def _serve_caller(self, inbound: Inbound) -> Reply:
        if not self.local_state.reachability.is_cut_off:
            # A host that is cut off forwards the request to a peer, which
            # counts it.
            self.loads.note_request()
        return await self.forwarder.serve(inbound)

    async def _serve_peer_request(self, relayed: PeerRequest) -> PeerAnswer:
        self.loads.note_request()
        return await self.forwarder.serve_peer_request(relayed)

    def _on_reachability_changed(self) -> None:
        """Announce which upstream groups this host cannot reach."""
        reachability = self.local_state.reachability
        self.members.lost = reachability.lost
        if reachability.is_cut_off:
            # Connections that are still open may be dead as well.
            self.pool.close()
        self._reachability_announcer.schedule()

    def _on_regained(self, groups: frozenset[str]) -> None:
        """Discard failures recorded while the upstreams were unreachable."""
        for group in groups:
            for entry in self.local_state.reachability.members_of(group):
                self.local_state.catalog.upstreams[entry.name].reset_failures()

    def _on_contact_suspicion(self) -> None:
        """Announce that a sentinel's contact became uncertain or certain.

        While it is uncertain, other hosts watch the store in its place.
        """
        if self.is_sentinel:
            self.heartbeat_endpoint.send_heartbeats()

    def _keeps_connections(self, name: str) -> bool:
        upstream = self.local_state.catalog.upstreams.get(name)
        if upstream is None or not upstream.takes_work:
            return False
        return (
            self.local_state.notices.availability(upstream)
            is not Availability.closed
        )
