"""The gateway process: its parts, their tasks, start and stop."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import fields
from random import Random

from wardstair.connection.pool import UpstreamPool
from wardstair.decisions.authorisation import Freshness
from wardstair.decisions.notices import Standing
from wardstair.decisions.processor_pressure import ProcessorPressure
from wardstair.decisions.reach import reach_times
from wardstair.decisions.state_age import RefreshTimes, refresh_times
from wardstair.fleet.demand import DemandTable
from wardstair.fleet.demand_endpoint import DemandEndpoint
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.fleet.heartbeats import HeartbeatDatagram, PeerName
from wardstair.fleet.loads import FleetLoads
from wardstair.fleet.members import Members
from wardstair.fleet.naming import ENOUGH_HOSTS
from wardstair.fleet.peer_requests import PeerAnswer, PeerRequest
from wardstair.gateway.admission import Admission
from wardstair.gateway.authorising import Authoriser
from wardstair.gateway.bodies import body_room
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
from wardstair.gateway.fleet_views import FleetViews
from wardstair.gateway.forwarding import Forwarder, WaysOut
from wardstair.gateway.gauges import add_gauges
from wardstair.gateway.handing_on import Handover
from wardstair.gateway.listeners import Listeners
from wardstair.gateway.lives import LifeEnds
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.news import NewsSender
from wardstair.gateway.quotas import Quotas
from wardstair.gateway.reaching import ReachKeeper
from wardstair.gateway.relay_server import RelayServer
from wardstair.gateway.reporting import Reporter
from wardstair.gateway.sending import Sender
from wardstair.gateway.settings import (
    GatewaySettings,
    Listener,
    LiveSettings,
)
from wardstair.gateway.telling import NewsTeller
from wardstair.gateway.witness import Witness
from wardstair.platform.store import Store
from wardstair.process.log import log_event, log_warning
from wardstair.process.metrics import Metrics
from wardstair.process.supervision import Supervisor
from wardstair.state.belief import Belief
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.following import Follower
from wardstair.state.freshness import ConfigurationFreshness
from wardstair.state.refreshing import StateRefresher
from wardstair.state.registration import Registration
from wardstair.state.roles import RoleLog, Roles
from wardstair.state.suspect_sharing import SuspectSharing
from wardstair.state.sync import StoreSync

# How often what is past is swept out: connections, missing upstreams.
SWEEP_SECONDS = 0.5
# When the whole fleet starts for the first time, no caller waits yet: only the
# hosts that are relays then need to read the store. A host that starts into
# traffic waits until another has answered, 0.3 s at most: from then on it knows
# whether it is a relay, and gets from others what they have.
FIRST_LISTING_SECONDS = 1.2
# Part of an upstream's connections that the fleet uses.
CONNECTION_SHARE = 0.8
LEAST_CONNECTIONS = 4
# Left of the grace period when the process ends by itself.
GRACE_LEFT_SECONDS = 0.5
# An upstream that names another limit in each answer would have ten heartbeats
# sent a second to everybody; those of each second tell of it as well.
LIMIT_NEWS_SECONDS = 1.0
# What closing the sockets may take of that.
CLOSE_SECONDS = 0.1
# Offset of the port for reports of demand from the first port of the fleet.
DEMAND_PORT_OFFSET = 1
# A stopping host takes new callers for this long: most keep look-ups for two
# seconds, and connect on them meanwhile. Those that keep them for longer are
# refused the connection and go to another address.
LINGER_SECONDS = 2.5


class GatewayHost:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, random: Random) -> None:
        """Assemble the parts without opening a socket.

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
        self._busyness = ProcessorPressure()
        self._random = random
        self.belief = Belief(clock, Catalog(clock))
        self.belief.on_steering = self._on_steering
        self.belief.restoration.period = lambda: (
            self.live_settings.current.heartbeat.lapse_seconds
        )
        self.belief.notices.drain_seconds = lambda: (
            self.live_settings.current.bounds.drain_seconds
        )
        self.store = Store(settings.store)
        self.contact = StoreContact(clock, random)
        self.store.on_era = self.contact.note_era
        self.contact.harmless_seconds = lambda: (
            self.live_settings.current.heartbeat.harmless_seconds
        )
        self.members = Members(
            own,
            clock,
            lambda: self.contact.is_held,
            lambda: self.live_settings.current.timing.replaced,
            lambda: self.views.is_settled,
        )
        self.members.sentinel_silence = lambda: (
            self.live_settings.current.timing.sentinel_silence
        )
        self.members.is_sentinel = lambda: self.is_sentinel
        self.members.is_contact_suspect = lambda: self.contact.is_doubted
        self.members.on_suspect = self.contact.renew_watches
        self.members.own_contact = lambda: self.contact.span
        self.contact.others = self.members.contacts
        self.radio = HeartbeatEndpoint(
            self.members,
            settings.fleet_ports[0],
            lambda: self.belief.versions,
            random,
        )
        self.radio.sentinel_seconds = lambda: (
            self.live_settings.current.timing.sentinel_beat
        )
        self.contact.on_doubt = self._on_doubt
        roles = Roles(
            lambda: self.members.is_relay,
            lambda: self.is_sentinel,
            lambda: self._sentinel_rank == 0,
        )
        self._role_log = RoleLog(roles)
        self.radio.state_age = lambda: self.belief.age.told
        self.belief.age.on_fresh = self.radio.announce_age
        self.sync = StoreSync(
            self.store,
            self.contact,
            self.belief,
            roles,
            lambda: self.live_settings.current.timing,
        )
        self.exchange = StateExchange(
            self.belief,
            self.contact,
            settings.fleet_ports[0],
            roles,
            settings.zone,
            lambda: self.live_settings.current.timing,
        )
        self.radio.on_heartbeat = self._on_beat
        self.radio.on_state = self.exchange.take_datagram
        self._news = NewsSender(
            self.radio,
            self.exchange,
            roles,
            lambda: self.live_settings.current.timing,
        )
        self.exchange.on_news = self._news.tell
        self.sync.on_news = self._news.tell
        self.refresher = StateRefresher(
            self.sync,
            self.belief,
            self.contact,
            roles,
            self._refresh_times,
        )
        self.registration = Registration(
            self.store,
            self.contact,
            own,
            self.members,
            self.belief.restoration,
            is_first_start=settings.is_first_start,
        )
        distances = Distances(self.live_settings)
        self.pool = UpstreamPool(self._most_connections)
        self.handover = Handover(
            self.members,
            self.live_settings,
            settings.fleet_ports[0],
            random,
        )
        self.reach_keeper = ReachKeeper(
            self.belief,
            self.pool,
            random,
        )
        self.belief.reach.times = lambda: reach_times(
            self.live_settings.current.bounds.contact_seconds,
        )
        self.belief.reach.on_change = self._on_reach
        self.belief.reach.on_regained = self._on_regained
        self.chooser = Chooser(self.live_settings, self.belief, distances)
        reporter = Reporter(self.metrics)
        self.suspect_sharing = SuspectSharing(
            self.store,
            self.contact,
            self.belief.suspects,
            roles,
            random,
        )
        self.loads = FleetLoads(
            self.members,
            lambda: self.live_settings.current.zones,
            lambda: not self.chooser.limited_sends.is_idle,
        )
        self.radio.zone_loads = self.loads.reported
        self._suspect_teller = NewsTeller(self.radio.send_heartbeats)
        self._limit_teller = NewsTeller(
            self.radio.send_heartbeats,
            LIMIT_NEWS_SECONDS,
        )
        self._reach_teller = NewsTeller(self.radio.send_heartbeats)
        self.belief.limits.on_change = self._on_limits
        self._life_ends = LifeEnds(
            self.belief,
            self.pool,
            self.chooser,
            self._suspect_teller,
            self.suspect_sharing.changed,
        )
        self.witness = Witness(
            self.belief.suspects,
            self._life_ends.newest,
            lambda: self.live_settings.current.heartbeat.lapse_seconds,
            lambda: self.belief.catalog.in_service,
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
            )
        )
        self.demand_radio = DemandEndpoint(
            self.members,
            self.quotas.table,
            settings.fleet_ports[0] + DEMAND_PORT_OFFSET,
            lambda: self.belief.has_quotas,
            random,
        )
        self.demand_radio.far_addresses = lambda: self.radio.far_addresses
        self.demand_radio.on_reported = self.quotas.note_reported
        self._freshness = ConfigurationFreshness(clock, self._hears_store)
        self.forwarder = Forwarder(
            self.belief,
            self.chooser,
            WaysOut(
                Sender(self.pool, distances, self.belief),
                self.handover,
            ),
            self.live_settings,
            reporter,
            self.witness,
            Admission(
                self.belief,
                Authoriser(self.belief, self._configuration_freshness),
                self.quotas,
                reporter,
            ),
        )
        self.reach_keeper.on_doubt = self.forwarder.hand_on_waiting
        self.directory = Directory(self.live_settings, own, self.members)
        self.callers = CallerListener(
            self._serve_caller,
            body_room(settings.memory_bytes),
            reporter.unheld,
        )
        self.relays = RelayServer(self._serve_relayed, self.callers.bodies)
        self.views = FleetViews(self.members, self.loads, self.chooser)
        self.views.refresh()
        add_gauges(self)
        self._supervisor = Supervisor(self.metrics.task_failures.add)
        self._listeners = Listeners(self.callers)
        self._is_stopping = False
        self._is_closed = False

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.belief.steering is not None and not self._is_stopping

    @property
    def is_sentinel(self) -> bool:
        """Whether this host watches the store closely for the others."""
        return self._sentinel_rank is not None

    @property
    def _sentinel_rank(self) -> int | None:
        return self.members.sentinel_rank(
            self.live_settings.current.zones,
            takes_part=self.contact.is_held and not self._is_stopping,
        )

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        settings = self.settings
        listeners = self._listeners
        listeners.open_callers(settings.callers)
        listeners.open(ready_application(lambda: self.is_ready), settings.ready)
        listeners.open(lookup_application(self.directory), settings.lookups)
        metrics = metrics_application(self.metrics.render)
        listeners.open(metrics, settings.metrics)
        await self.radio.start(settings.address)
        await self.demand_radio.start(settings.address)
        listeners.open(
            state_application(
                self.exchange,
                self.belief.suspects,
                self.relays,
            ),
            Listener(settings.address, settings.fleet_ports[0]),
        )
        seeds = tuple(seed.rpartition(':')[0] for seed in settings.seeds)
        spawn = self._supervisor.spawn
        spawn('configuration', self._follow(self.sync.configuration))
        spawn('evacuations', self._follow(self.sync.evacuations))
        spawn('upstreams', self._follow_upstreams)
        sharing = self.suspect_sharing
        spawn('suspects', self._follow(sharing.follower))
        spawn('suspect-sharing', sharing.run)
        spawn('contact', self.sync.prove_contact)
        spawn('registration', self.registration.run)
        spawn('heartbeats', lambda: self.radio.run(seeds))
        spawn('sentinel-heartbeats', self.radio.run_sentinel)
        spawn('demand', self.demand_radio.run)
        spawn('sweep', self._sweep)
        spawn('state-age', self.refresher.run)
        spawn('reach', self.reach_keeper.run)
        log_event(
            'host-started',
            host=settings.name,
            zone=settings.zone,
            callers=settings.callers,
            store=settings.store,
        )

    async def stop(self) -> None:
        """Leave without cutting a request, within the grace period."""
        if self._is_stopping:
            return
        self._is_stopping = True
        began = self._clock()
        self.callers.is_stopping = True
        self.directory.is_leaving = True
        self.members.is_leaving = True
        self.radio.send_heartbeats()
        log_event('host-stopping', open=self.callers.open_count)
        await asyncio.sleep(LINGER_SECONDS)
        self._listeners.stop_callers()
        self.callers.close_resting()
        grace = self.live_settings.current.bounds.grace_seconds
        end = began + grace - GRACE_LEFT_SECONDS
        self.relays.is_stopping = True
        await self.callers.wait_idle(end - self._clock())
        await self.relays.wait_idle(end - self._clock())
        log_event('host-stopped', cut=self.callers.open_count)
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await self.close()
        except TimeoutError:
            # A caller that does not read keeps its connection from closing;
            # the end of the process closes it.
            log_warning('host-close-unfinished', seconds=CLOSE_SECONDS)

    async def close(self) -> None:
        """End the tasks and close all sockets at once."""
        if self._is_closed:
            return
        self._is_closed = True
        await self._supervisor.stop()
        self.witness.close()
        self._suspect_teller.close()
        self._limit_teller.close()
        self._reach_teller.close()
        self._news.close()
        await self._listeners.close()
        self.radio.stop()
        self.demand_radio.stop()
        self.pool.close()
        self.handover.close()
        self.exchange.close()
        self.refresher.close()
        self.sync.close()
        self.store.close()

    def adopt_settings(self, settings: GatewaySettings) -> list[str]:
        """Take over changed settings; sockets stay as they are bound.

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

    def _on_steering(self) -> None:
        steering = self.belief.steering
        assert steering is not None
        self.chooser.splits.follow(steering.routes)
        self.quotas.forget(steering.organisations.by_name)
        self._listeners.limit_callers(steering.limits)

    def _most_connections(self, name: str) -> int:
        steering = self.belief.steering
        upstream = self.belief.catalog.upstreams.get(name)
        if steering is None or upstream is None:
            return LEAST_CONNECTIONS
        service = steering.services.get(upstream.entry.service)
        if service is None:
            return LEAST_CONNECTIONS
        hosts = self.chooser.view.fleet_size
        share = service.most_connections * CONNECTION_SHARE / hosts
        return max(LEAST_CONNECTIONS, int(share))

    async def _sweep(self) -> None:
        while True:
            due = self._clock() + SWEEP_SECONDS
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock()
            self.members.is_busy = self._busyness.note(now - due, now)
            catalog = self.belief.catalog
            catalog.expire_missing()
            self.pool.sweep(self._is_wanted)
            self.chooser.cold_sends.forget(set(catalog.upstreams))
            self.chooser.limited_sends.forget(catalog.upstreams)
            self.loads.step()
            self.belief.end_restore()
            self.belief.suspects.expire()
            self.belief.limits.forget(catalog.upstreams)
            self.belief.notices.forget(catalog.upstreams)
            self.views.refresh()
            self._role_log.refresh()
            self._freshness.refresh()

    def _refresh_times(self) -> RefreshTimes:
        settings = self.live_settings.current
        again = self.store.slack.after(
            settings.timing.far_hedge,
            settings.news_seconds,
        )
        return refresh_times(settings.news_seconds, settings.name, again)

    def _assumed_hosts(self) -> int:
        """Return the number of hosts assumed before any report is received.

        Look-ups return at least `ENOUGH_HOSTS` hosts in each zone. The number
        is 0 once the view is settled or a report has been received.
        """
        if self.chooser.view.is_settled or not self.quotas.table.is_empty:
            return 0
        return ENOUGH_HOSTS * len(self.live_settings.current.zones)

    def _hears_store(self) -> bool:
        if self.contact.is_held:
            return True
        return any(one.hears_store for one in self.members.live())

    def _configuration_freshness(self) -> Freshness:
        bounds = self.live_settings.current.organisation_bounds
        is_expired = self._freshness.age > bounds.revoke_seconds
        return Freshness(self._hears_store(), is_expired)

    def _follow(self, follower: Follower) -> Callable[[], Awaitable[None]]:
        async def follow() -> None:
            if self.settings.is_first_start:
                await asyncio.sleep(FIRST_LISTING_SECONDS)
            await self.radio.is_greeted.wait()
            await follower.run()

        return follow

    async def _follow_upstreams(self) -> None:
        await self.radio.is_greeted.wait()
        await self.registration.check_for_restore()
        await self._follow(self.sync.upstreams)()

    def _on_beat(self, beat: HeartbeatDatagram) -> None:
        self.loads.record(beat)
        self.exchange.on_beat(beat)

    def _on_limits(self) -> None:
        """Have others know of a limit, and divide it."""
        self._limit_teller.note()
        if not self.chooser.load_view.is_settled:
            # The first one; later ones wait for the next sweep.
            self.views.refresh_loads()

    async def _serve_caller(self, inbound: Inbound) -> Reply:
        if not self.belief.reach.is_cut_off:
            # Otherwise it counts at the host that it is handed on to.
            self.loads.note_request()
        return await self.forwarder.serve(inbound)

    async def _serve_relayed(self, relayed: PeerRequest) -> PeerAnswer:
        self.loads.note_request()
        return await self.forwarder.serve_relayed(relayed)

    def _on_reach(self) -> None:
        """Have others know what this host does not reach."""
        reach = self.belief.reach
        self.members.lost = reach.lost
        if reach.is_cut_off:
            # Open connections may have gone silent with the rest.
            self.pool.close()
        self._reach_teller.note()

    def _on_regained(self, groups: frozenset[str]) -> None:
        """Drop what was learned of upstreams while the way to them was cut."""
        for group in groups:
            for entry in self.belief.reach.members_of(group):
                self.belief.catalog.upstreams[entry.name].forgive()

    def _on_doubt(self) -> None:
        """Let others watch the store while this sentinel doubts its contact."""
        if self.is_sentinel:
            self.radio.send_heartbeats()

    def _is_wanted(self, name: str) -> bool:
        upstream = self.belief.catalog.upstreams.get(name)
        if upstream is None or not upstream.takes_work:
            return False
        return self.belief.notices.standing(upstream) is not Standing.closed
