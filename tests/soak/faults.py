"""Faults of a play, drawn from a seed; they may overlap."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from lib.rig import Caller
from lib.store_standin import StoreStandin

from soak.cuts import cut_off
from soak.endless import EndlessWay
from soak.ledger import Kind, Ledger, Naming
from soak.notices import Departure, Leaving, Pausing, Removed
from soak.processes import SEEDS, GatewayProcess
from soak.proxy import CutWay, Mode, Proxy
from soak.storms import kill_after_adoption, storm_configurations
from soak.upstreams import HARMFUL, Habits, SoakUpstream
from soak.versions import marked_configuration
from soak.zones import cut_zone

# Longest duration of a fault; the shortest is a tenth of it.
LONGEST_SECONDS = 4.0
# Time for which an upstream keeps serving after it announces that it leaves.
LEAVING_SECONDS = 4.0
# The same for an upstream that leaves while connections are silent, and the
# longest time for which they have been silent before.
DEPARTING_SECONDS = 6.0
SILENT_FOR_SECONDS = 0.5
# Shortest and longest time from the registration of an upstream to the removal
# of its entry, and how long it keeps serving without one.
SHORT_LIVES = (0.05, 0.6)
REMOVED_SECONDS = 6.0
# Longest delay of the store's answers meanwhile. It differs between hosts.
UNEVEN_DELAY_SECONDS = 0.1
# Interval between attempts of a harmful request, and how long an upstream that
# it terminated refuses connections.
HARMFUL_SECONDS = 0.2
REFUSING_SECONDS = 0.8
DELAY_SECONDS = 0.3
# Rate limits that an upstream may announce in requests per second, and for how
# long: the time until the limit applies, one window, and a margin.
LIMITS = (0.5, 1.5, 4.0)
NAMING_SECONDS = 12.0
# Shortest and longest pause that an upstream asks for, and the probability that
# all upstreams of its service ask for it at once.
PAUSES = (1.5, 4.0)
WHOLE_SERVICE_SHARE = 0.3


@dataclass
class Scene:
    """The fleet and its surroundings, on which faults act."""

    store: StoreStandin
    store_proxies: list[Proxy]
    gateways: list[GatewayProcess]
    upstreams: list[SoakUpstream]
    zones: tuple[str, ...]
    ledger: Ledger
    random: Random
    version: int = 1
    harmful: int = 0
    ends: set[asyncio.Task[None]] = field(default_factory=set)
    # Zones that the operator wants evacuated, whatever the store contains.
    evacuated: set[str] = field(default_factory=set)
    restoring: asyncio.Lock = field(default_factory=asyncio.Lock)
    silencing: asyncio.Lock = field(default_factory=asyncio.Lock)
    cutting: asyncio.Lock = field(default_factory=asyncio.Lock)
    storming: asyncio.Lock = field(default_factory=asyncio.Lock)
    # How connections of hosts to upstreams are cut; drawn if None.
    cut_way: CutWay | None = None

    def draw_seconds(self) -> float:
        """Draw the duration of a fault in seconds."""
        return self.random.uniform(0.1, 1.0) * LONGEST_SECONDS

    def put_configuration(self) -> None:
        """Write the next version, as the operator does."""
        self.store.put(
            'config',
            'main',
            marked_configuration(self.version + 1),
        )
        self.version += 1
        self.ledger.put_at.append((time.monotonic(), self.version))

    def evacuate(self, zone: str) -> None:
        """Evacuate a zone, as the operator does."""
        self.evacuated.add(zone)
        self.store.put('evacuations', zone, {})

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone, as the operator does."""
        self.evacuated.discard(zone)
        if zone in self.store.kind('evacuations').objects:
            self.store.delete('evacuations', zone)

    def register(self, upstream: SoakUpstream, **status: object) -> None:
        """Write an upstream's entry, as the upstream does."""
        self.store.put('servers', upstream.name, upstream.spec(**status))

    def deregister(self, name: str) -> None:
        """Delete an entry if it exists."""
        if name in self.store.kind('servers').objects:
            self.store.delete('servers', name)


Fault = Callable[[Scene], Awaitable[None]]


async def pause_gateway(scene: Scene) -> None:
    """Suspend a process for a while."""
    gateway = scene.random.choice(scene.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(scene.draw_seconds())
    gateway.send(signal.SIGCONT)


async def kill_gateway(scene: Scene) -> None:
    """Kill a process and restart it."""
    await _restart(scene, scene.random.choice(scene.gateways))


async def kill_many(scene: Scene) -> None:
    """Kill half of the processes at once and restart them."""
    half = scene.random.sample(scene.gateways, len(scene.gateways) // 2)
    await asyncio.gather(*(_restart(scene, one) for one in half))


async def kill_all(scene: Scene) -> None:
    """Kill all processes at once, so that no host keeps any state."""
    await asyncio.gather(*(_restart(scene, one) for one in scene.gateways))


async def start_with_late_seeds(scene: Scene) -> None:
    """Kill all processes and restart the seeds last."""
    ended = [one for one in scene.gateways if one.is_running]
    await asyncio.gather(*(one.end() for one in ended))
    seeds = scene.gateways[:SEEDS]
    await asyncio.gather(*(one.start() for one in ended if one not in seeds))
    await asyncio.sleep(scene.draw_seconds())
    await asyncio.gather(*(one.start() for one in ended if one in seeds))


async def start_without_store(scene: Scene) -> None:
    """Kill half of the processes and restart them without the store."""
    scene.store.status = 503
    await kill_many(scene)
    await asyncio.sleep(scene.draw_seconds() / 2)
    scene.store.status = None


async def lose_power(scene: Scene) -> None:
    """Kill all processes and a zone's upstreams, which restart cold."""
    zone = scene.random.choice(scene.zones)
    lost = [one for one in scene.upstreams if one.zone == zone]
    for upstream in lost:
        name = upstream.name
        upstream.crash()
        scene.deregister(name)
    await asyncio.gather(*(one.end() for one in scene.gateways))
    await asyncio.sleep(scene.draw_seconds() / 4)
    for upstream in lost:
        scene.register(upstream)
    await asyncio.gather(*(one.start() for one in scene.gateways))


async def _restart(scene: Scene, gateway: GatewayProcess) -> None:
    if not gateway.is_running:
        return
    await gateway.end()
    await asyncio.sleep(scene.draw_seconds() / 2)
    await gateway.start()


async def hang_up(scene: Scene) -> None:
    """Have a process reload its settings."""
    await scene.random.choice(scene.gateways).hang_up()


async def cut_store(scene: Scene) -> None:
    """Disturb the path of one gateway to the store."""
    await _disturb(scene, scene.random.choice(scene.store_proxies))


async def cut_store_for_many(scene: Scene) -> None:
    """Disturb the paths of half of the gateways to the store."""
    half = scene.random.sample(
        scene.store_proxies,
        len(scene.store_proxies) // 2,
    )
    await asyncio.gather(*(_disturb(scene, one) for one in half))


async def cut_upstream(scene: Scene) -> None:
    """Disturb the paths of all gateways to one upstream."""
    await _disturb(scene, scene.random.choice(scene.upstreams).proxy)


async def _disturb(scene: Scene, proxy: Proxy) -> None:
    mode = scene.random.choice([one for one in Mode if one is not Mode.carry])
    proxy.set_mode(mode, DELAY_SECONDS)
    await asyncio.sleep(scene.draw_seconds())
    proxy.set_mode(Mode.carry)
    # Discarded bytes are lost, so their connections are reset.
    proxy.reset_all()


async def store_down(scene: Scene) -> None:
    """Have the store reject all requests."""
    scene.store.status = 503
    await asyncio.sleep(scene.draw_seconds())
    scene.store.status = None


async def store_forgets(scene: Scene) -> None:
    """Silence watches, then have the store compact its history."""
    scene.store.silence_watches()
    await asyncio.sleep(scene.draw_seconds() / 2)
    for kind in tuple(scene.store.kinds):
        scene.store.compact(kind)


async def crash_upstream(scene: Scene) -> None:
    """Crash an upstream; its next incarnation takes over the address."""
    upstream = scene.random.choice(scene.upstreams)
    name = upstream.name
    upstream.crash()
    # The entry of the old incarnation stays for a while.
    await asyncio.sleep(scene.draw_seconds())
    scene.deregister(name)
    scene.register(upstream)


async def name_limit(scene: Scene) -> None:
    """Have an upstream announce a rate limit, or two in sequence."""
    upstream = scene.random.choice(scene.upstreams)
    for _ in range(scene.random.randint(1, 2)):
        rate = scene.random.choice(LIMITS)
        name = upstream.name
        naming = Naming(name, rate)
        scene.ledger.named.append(naming)
        upstream.naming = naming
        await asyncio.sleep(NAMING_SECONDS)
        if upstream.naming is not naming:
            # The upstream has exited or announced another limit meanwhile.
            return
    upstream.naming = None


async def send_harmful(scene: Scene) -> None:
    """Repeatedly send a request that terminates each upstream running it."""
    scene.harmful += 1
    number = scene.harmful
    target = f'/read{HARMFUL}{number}'
    for upstream in scene.upstreams:
        upstream.on_harm = partial(_terminate_upstream, scene)
    end = asyncio.get_running_loop().time() + 2 * LONGEST_SECONDS
    tries = 0
    while asyncio.get_running_loop().time() < end:
        tries += 1
        gateway = scene.random.choice(scene.gateways)
        name = f'harmful-{number}-{tries}'
        with contextlib.suppress(OSError, TimeoutError):
            await _try_once(scene, gateway, target, name)
        await asyncio.sleep(HARMFUL_SECONDS)


async def _try_once(
    scene: Scene,
    gateway: GatewayProcess,
    target: str,
    name: str,
) -> None:
    made = scene.ledger.begin(name, Kind.safe, gateway.name)
    async with asyncio.timeout(LONGEST_SECONDS):
        caller = await Caller.connect_to(gateway.callers)
        try:
            answer = await caller.ask(target, request_id=name)
        finally:
            caller.close()
    made.status = answer.status
    made.ended_at = asyncio.get_running_loop().time()


def _terminate_upstream(scene: Scene, upstream: SoakUpstream) -> None:
    task = asyncio.ensure_future(_crash_and_restart(scene, upstream))
    scene.ends.add(task)
    task.add_done_callback(scene.ends.discard)


async def _crash_and_restart(scene: Scene, upstream: SoakUpstream) -> None:
    name = upstream.name
    keeps_name = scene.random.random() < 0.5
    upstream.crash(keeps_name=keeps_name)
    await upstream.proxy.refuse(REFUSING_SECONDS)
    if not keeps_name:
        scene.deregister(name)
    scene.register(upstream)


async def drain_upstream(scene: Scene) -> None:
    """Have an upstream drain, leave and restart as planned."""
    upstream = scene.random.choice(scene.upstreams)
    name = upstream.name
    scene.register(upstream, state='draining')
    await _leave(scene, upstream, name)


async def silence_connections(scene: Scene) -> None:
    """Silence open connections to the store; then an upstream leaves."""
    async with scene.silencing:
        # Bounds apply only some time after each silence, so one runs at a time.
        await _silence_and_leave(scene, scene.random.choice(scene.upstreams))


async def _silence_and_leave(scene: Scene, upstream: SoakUpstream) -> None:
    loop = asyncio.get_running_loop()
    for proxy in scene.store_proxies:
        proxy.silence_open()
    silenced_at = loop.time()
    await asyncio.sleep(scene.random.random() * SILENT_FOR_SECONDS)
    incarnation = upstream.incarnation
    name = upstream.name
    scene.register(upstream, state='draining')
    upstream.departure = Departure(name, silenced_at, loop.time())
    scene.ledger.notices.append(upstream.departure)
    await asyncio.sleep(DEPARTING_SECONDS)
    if upstream.incarnation == incarnation:
        upstream.crash()
        scene.deregister(name)
        scene.register(upstream)


async def leave_after_start(scene: Scene) -> None:
    """Remove the entry of an upstream right after it has started."""
    upstream = scene.random.choice(scene.upstreams)
    for proxy in scene.store_proxies:
        delay = scene.random.random() * UNEVEN_DELAY_SECONDS
        proxy.set_mode(Mode.delay, delay)
    if upstream.removed is not None:
        return
    scene.deregister(upstream.name)
    upstream.crash()
    scene.register(upstream)
    incarnation = upstream.incarnation
    name = upstream.name
    await asyncio.sleep(scene.random.uniform(*SHORT_LIVES))
    if upstream.incarnation != incarnation:
        return
    scene.deregister(name)
    upstream.removed = Removed(name, asyncio.get_running_loop().time())
    scene.ledger.notices.append(upstream.removed)
    await asyncio.sleep(REMOVED_SECONDS)
    if upstream.incarnation == incarnation:
        upstream.crash()
        scene.register(upstream)


async def leave_unregistered(scene: Scene) -> None:
    """Have an upstream leave that announces it in its answers only."""
    upstream = scene.random.choice(scene.upstreams)
    await _leave(scene, upstream, upstream.name)


async def _leave(scene: Scene, upstream: SoakUpstream, name: str) -> None:
    incarnation = upstream.incarnation
    if upstream.leaving is None:
        upstream.leaving = Leaving(name)
        scene.ledger.notices.append(upstream.leaving)
    await asyncio.sleep(LEAVING_SECONDS)
    if upstream.incarnation != incarnation:
        return
    upstream.crash()
    scene.deregister(name)
    scene.register(upstream)


async def ask_pause(scene: Scene) -> None:
    """Have one upstream, or all of its service, ask for a pause."""
    first = scene.random.choice(scene.upstreams)
    is_whole_service = scene.random.random() < WHOLE_SERVICE_SHARE
    seconds = scene.random.uniform(*PAUSES)
    began = []
    for upstream in scene.upstreams:
        is_meant = upstream is first or (
            is_whole_service and upstream.service == first.service
        )
        if is_meant and upstream.pausing is None:
            upstream.pausing = Pausing(upstream.name, seconds)
            scene.ledger.notices.append(upstream.pausing)
            began.append((upstream, upstream.pausing))
    await asyncio.sleep(scene.draw_seconds())
    for _, pausing in began:
        pausing.is_rejecting = False
    # The pause that was asked for last ends after this time.
    await asyncio.sleep(seconds)
    for upstream, pausing in began:
        if upstream.pausing is pausing:
            upstream.pausing = None


async def ail_upstream(scene: Scene) -> None:
    """Have an upstream be slow, lose, duplicate or withhold answers."""
    upstream = scene.random.choice(scene.upstreams)
    upstream.habits = scene.random.choice(
        [
            Habits(slowness=8),
            Habits(lost_share=0.3),
            Habits(surplus_share=0.3),
            Habits(is_mute=True),
        ]
    )
    await asyncio.sleep(scene.draw_seconds())
    upstream.habits = Habits()


async def answer_endlessly(scene: Scene) -> None:
    """Have an upstream send answers without an end."""
    upstream = scene.random.choice(scene.upstreams)
    upstream.habits = Habits(endless=scene.random.choice(list(EndlessWay)))
    await asyncio.sleep(scene.draw_seconds())
    upstream.habits = Habits()


async def configure(scene: Scene) -> None:
    """Write a few versions in quick succession."""
    for _ in range(scene.random.randint(1, 4)):
        scene.put_configuration()
        await asyncio.sleep(scene.random.random() / 2)


async def evacuate(scene: Scene) -> None:
    """Evacuate a zone for a while."""
    zone = scene.random.choice(scene.zones)
    if zone in scene.evacuated:
        return
    scene.evacuate(zone)
    await asyncio.sleep(scene.draw_seconds())
    scene.end_evacuation(zone)


async def stop_gateway(scene: Scene) -> None:
    """Stop a process as planned and restart it."""
    gateway = scene.random.choice(scene.gateways)
    if not gateway.is_running:
        return
    scene.ledger.stopped.add(gateway.name)
    gateway.send(signal.SIGTERM)
    await gateway.wait()
    await gateway.start()


# Planned operations, which must not interrupt any request by themselves.
PLANNED: tuple[Fault, ...] = (
    stop_gateway,
    hang_up,
    configure,
    drain_upstream,
)
UNPLANNED: tuple[Fault, ...] = (
    pause_gateway,
    kill_gateway,
    kill_many,
    cut_store,
    cut_store_for_many,
    cut_upstream,
    store_down,
    store_forgets,
    crash_upstream,
    ail_upstream,
    evacuate,
)
# Planned stops, at which callers that pipeline keep their open connections.
PIPELINING_FAULTS: tuple[Fault, ...] = (stop_gateway, stop_gateway, hang_up)
# Restarts after which hosts have to discover each other again.
HERDS: tuple[Fault, ...] = (
    kill_all,
    start_with_late_seeds,
    start_without_store,
)


# Hosts and upstreams start at the same time. Listed twice, which makes it one
# fault in sixteen.
POWER: tuple[Fault, ...] = (lose_power, lose_power)


# A harmful request, alone or along with other faults.
HARM_FAULTS: tuple[Fault, ...] = (send_harmful,)


# Upstreams that announce in answers that they leave or need a pause.
NOTICE_FAULTS: tuple[Fault, ...] = (leave_unregistered, ask_pause)


# Upstreams that announce rate limits, alone or along with other faults.
LIMIT_FAULTS: tuple[Fault, ...] = (name_limit,)


# Answers without an end, configurations in quick succession, and hosts that are
# killed right after they have adopted one.
ENDLESS_FAULTS: tuple[Fault, ...] = (answer_endlessly,)
STORM_FAULTS: tuple[Fault, ...] = (storm_configurations,)
ADOPTION_FAULTS: tuple[Fault, ...] = (kill_after_adoption,)


# Open connections to the store carry no more data while new ones work.
SILENCE_FAULTS: tuple[Fault, ...] = (silence_connections,)


# Upstreams that leave right after they have started.
SHORT_LIFE_FAULTS: tuple[Fault, ...] = (leave_after_start,)


# The hosts of a zone are cut off from all other hosts.
ZONE_FAULTS: tuple[Fault, ...] = (cut_zone,)


# Hosts are cut off from all upstreams.
CUT_FAULTS: tuple[Fault, ...] = (cut_off,)


class Schedule:
    """Draws faults and applies them, possibly in parallel."""

    def __init__(
        self,
        scene: Scene,
        gap: float,
        *,
        groups: tuple[tuple[Fault, ...], ...],
    ) -> None:
        """Create a schedule.

        Args:
            scene: The scene on which faults act.
            gap: Mean seconds between the starts of faults.
            groups: Groups of faults to draw from; all are equally likely.
        """
        self._groups = groups
        self.applied: list[str] = []
        self._scene = scene
        self._gap = gap
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all have ended.

        The seconds are the sum of the drawn gaps rather than clock time: on a
        busy machine with late wake-ups, clock time led to fewer faults than the
        seed determines.

        Args:
            seconds: Sum of the gaps from which no further fault starts.
        """
        random = self._scene.random
        begins_at = 0.0
        while begins_at < seconds:
            group = random.choice(self._groups)
            self._begin(random.choice(group))
            gap = random.expovariate(1 / self._gap)
            begins_at += gap
            await asyncio.sleep(gap)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _begin(self, fault: Fault) -> None:
        self.applied.append(fault.__name__)
        task = asyncio.ensure_future(self._apply(fault))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def _apply(self, fault: Fault) -> None:
        if fault in PLANNED:
            await fault(self._scene)
            return
        span = self._scene.ledger.fault(fault.__name__)
        try:
            await fault(self._scene)
        finally:
            span.end = asyncio.get_running_loop().time()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            self._scene.ledger.broken.append(
                f'a fault of the soak raised {error}'
            )
