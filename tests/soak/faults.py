"""Faults of a play: drawn from a seed, in series and overlapping."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from lib.rig import Caller
from lib.store_standin import StoreStandin

from soak.cuts import cut_off
from soak.ledger import Kind, Ledger, Naming
from soak.notices import Departure, Leaving, Pausing
from soak.processes import SEEDS, GatewayProcess
from soak.proxy import CutWay, Mode, Proxy
from soak.upstreams import HARMFUL, Habits, SoakUpstream
from soak.versions import marked_configuration

# Longest fault; the shortest is a tenth of it.
LONGEST_SECONDS = 4.0
# An upstream that has said it is leaving serves on for this long.
LEAVING_SECONDS = 4.0
# The same of one that leaves while connections are silent, and how long they
# may have been so before.
DEPARTING_SECONDS = 6.0
SILENT_FOR_SECONDS = 0.5
# Between two tries of a harmful request, and how long an upstream that ended
# under it is away.
HARMFUL_SECONDS = 0.2
AWAY_SECONDS = 0.8
DELAY_SECONDS = 0.3
# What an upstream in need names, and for how long: the time from which on it is
# held to, a window, and some.
LIMITS = (0.5, 1.5, 4.0)
NAMING_SECONDS = 12.0
# Shortest and longest pause that an upstream asks for, and how often all of its
# service do so at once.
PAUSES = (1.5, 4.0)
WHOLE_SERVICE_SHARE = 0.3


@dataclass
class Scene:
    """What faults act on."""

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
    # What the operator wants now, whatever the store holds.
    evacuated: set[str] = field(default_factory=set)
    restoring: asyncio.Lock = field(default_factory=asyncio.Lock)
    silencing: asyncio.Lock = field(default_factory=asyncio.Lock)
    cutting: asyncio.Lock = field(default_factory=asyncio.Lock)
    # How hosts are cut off from upstreams; drawn if None.
    cut_way: CutWay | None = None

    def draw_seconds(self) -> float:
        """Draw how long a fault lasts."""
        return self.random.uniform(0.1, 1.0) * LONGEST_SECONDS

    def put_configuration(self) -> None:
        """Write the next version, as the operator does."""
        self.store.put(
            'config',
            'main',
            marked_configuration(self.version + 1),
        )
        self.version += 1

    def evacuate(self, zone: str) -> None:
        """Have a zone emptied, as the operator does."""
        self.evacuated.add(zone)
        self.store.put('evacuations', zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Take a zone back, as the operator does."""
        self.evacuated.discard(zone)
        if zone in self.store.kind('evacuations').objects:
            self.store.delete('evacuations', zone)

    def register(self, upstream: SoakUpstream, **status: object) -> None:
        """Write an upstream's entry, as the upstream does."""
        self.store.put('servers', upstream.name, upstream.spec(**status))

    def deregister(self, name: str) -> None:
        """Take an entry out if it is there."""
        if name in self.store.kind('servers').objects:
            self.store.delete('servers', name)


Fault = Callable[[Scene], Awaitable[None]]


async def pause_gateway(scene: Scene) -> None:
    """Stop a process for a while without its knowing."""
    gateway = scene.random.choice(scene.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(scene.draw_seconds())
    gateway.send(signal.SIGCONT)


async def kill_gateway(scene: Scene) -> None:
    """Kill a process and start it again."""
    await _restart(scene, scene.random.choice(scene.gateways))


async def kill_many(scene: Scene) -> None:
    """Kill half of the processes at one moment."""
    half = scene.random.sample(scene.gateways, len(scene.gateways) // 2)
    await asyncio.gather(*(_restart(scene, one) for one in half))


async def kill_all(scene: Scene) -> None:
    """Kill all processes at one moment; no host has what the others lack."""
    await asyncio.gather(*(_restart(scene, one) for one in scene.gateways))


async def start_with_late_seeds(scene: Scene) -> None:
    """Kill all processes; those that the others greet first start last."""
    ended = [one for one in scene.gateways if one.is_running]
    await asyncio.gather(*(one.end() for one in ended))
    seeds = scene.gateways[:SEEDS]
    await asyncio.gather(*(one.start() for one in ended if one not in seeds))
    await asyncio.sleep(scene.draw_seconds())
    await asyncio.gather(*(one.start() for one in ended if one in seeds))


async def start_without_store(scene: Scene) -> None:
    """Kill half of the processes and start them while the store is away."""
    scene.store.status = 503
    await kill_many(scene)
    await asyncio.sleep(scene.draw_seconds() / 2)
    scene.store.status = None


async def lose_power(scene: Scene) -> None:
    """End all processes and a zone's upstreams, which come back cold."""
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
    """Have a process read its settings again."""
    await scene.random.choice(scene.gateways).hang_up()


async def cut_store(scene: Scene) -> None:
    """Harm the way of one gateway to the store."""
    await _harm(scene, scene.random.choice(scene.store_proxies))


async def cut_store_for_many(scene: Scene) -> None:
    """Harm the way of half of the gateways to the store."""
    half = scene.random.sample(
        scene.store_proxies,
        len(scene.store_proxies) // 2,
    )
    await asyncio.gather(*(_harm(scene, one) for one in half))


async def cut_upstream(scene: Scene) -> None:
    """Harm the way of all gateways to an upstream."""
    await _harm(scene, scene.random.choice(scene.upstreams).proxy)


async def _harm(scene: Scene, proxy: Proxy) -> None:
    mode = scene.random.choice([one for one in Mode if one is not Mode.carry])
    proxy.set_mode(mode, DELAY_SECONDS)
    await asyncio.sleep(scene.draw_seconds())
    proxy.set_mode(Mode.carry)
    # What was swallowed is gone for good: its connections end.
    proxy.reset_all()


async def store_down(scene: Scene) -> None:
    """Let the store refuse everything."""
    scene.store.status = 503
    await asyncio.sleep(scene.draw_seconds())
    scene.store.status = None


async def store_forgets(scene: Scene) -> None:
    """Let watches hang and the store drop its history."""
    scene.store.silence_watches()
    await asyncio.sleep(scene.draw_seconds() / 2)
    for kind in tuple(scene.store.kinds):
        scene.store.compact(kind)


async def crash_upstream(scene: Scene) -> None:
    """Crash an upstream; another run takes over its address."""
    upstream = scene.random.choice(scene.upstreams)
    name = upstream.name
    upstream.crash()
    # Its entry stays for a while.
    await asyncio.sleep(scene.draw_seconds())
    scene.deregister(name)
    scene.register(upstream)


async def name_limit(scene: Scene) -> None:
    """Let an upstream name a limit, and another one or none after a while."""
    upstream = scene.random.choice(scene.upstreams)
    for _ in range(scene.random.randint(1, 2)):
        rate = scene.random.choice(LIMITS)
        name = upstream.name
        naming = Naming(name, rate)
        scene.ledger.named.append(naming)
        upstream.naming = naming
        await asyncio.sleep(NAMING_SECONDS)
        if upstream.naming is not naming:
            # It has ended meanwhile.
            return
    upstream.naming = None


async def send_harmful(scene: Scene) -> None:
    """Send a request that ends each upstream running it, again and again."""
    scene.harmful += 1
    number = scene.harmful
    target = f'/read{HARMFUL}{number}'
    for upstream in scene.upstreams:
        upstream.on_harm = partial(_end_under, scene)
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


def _end_under(scene: Scene, upstream: SoakUpstream) -> None:
    task = asyncio.ensure_future(_end_and_return(scene, upstream))
    scene.ends.add(task)
    task.add_done_callback(scene.ends.discard)


async def _end_and_return(scene: Scene, upstream: SoakUpstream) -> None:
    name = upstream.name
    keeps_name = scene.random.random() < 0.5
    upstream.crash(keeps_name=keeps_name)
    await upstream.proxy.refuse(AWAY_SECONDS)
    if not keeps_name:
        scene.deregister(name)
    scene.register(upstream)


async def drain_upstream(scene: Scene) -> None:
    """Let an upstream leave as planned, and the next run begin."""
    upstream = scene.random.choice(scene.upstreams)
    name = upstream.name
    scene.register(upstream, state='draining')
    await _leave(scene, upstream, name)


async def silence_connections(scene: Scene) -> None:
    """Silence what is open to the store for good; an upstream leaves then."""
    async with scene.silencing:
        # Bounds hold some time after each silence, so one comes at a time.
        await _silence_and_leave(scene, scene.random.choice(scene.upstreams))


async def _silence_and_leave(scene: Scene, upstream: SoakUpstream) -> None:
    loop = asyncio.get_running_loop()
    for proxy in scene.store_proxies:
        proxy.silence_open()
    silenced_at = loop.time()
    await asyncio.sleep(scene.random.random() * SILENT_FOR_SECONDS)
    life = upstream.life
    name = upstream.name
    scene.register(upstream, state='draining')
    upstream.departure = Departure(name, silenced_at, loop.time())
    scene.ledger.notices.append(upstream.departure)
    await asyncio.sleep(DEPARTING_SECONDS)
    if upstream.life == life:
        upstream.crash()
        scene.deregister(name)
        scene.register(upstream)


async def leave_unregistered(scene: Scene) -> None:
    """Let an upstream leave that says so in its answers alone."""
    upstream = scene.random.choice(scene.upstreams)
    await _leave(scene, upstream, upstream.name)


async def _leave(scene: Scene, upstream: SoakUpstream, name: str) -> None:
    life = upstream.life
    if upstream.leaving is None:
        upstream.leaving = Leaving(name)
        scene.ledger.notices.append(upstream.leaving)
    await asyncio.sleep(LEAVING_SECONDS)
    if upstream.life != life:
        return
    upstream.crash()
    scene.deregister(name)
    scene.register(upstream)


async def ask_pause(scene: Scene) -> None:
    """Let one upstream, or all of its service, ask for a pause for a while."""
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
    # What it asked for last is over then.
    await asyncio.sleep(seconds)
    for upstream, pausing in began:
        if upstream.pausing is pausing:
            upstream.pausing = None


async def ail_upstream(scene: Scene) -> None:
    """Let an upstream be slow, lose answers or send surplus ones."""
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


async def configure(scene: Scene) -> None:
    """Write a few versions in quick succession."""
    for _ in range(scene.random.randint(1, 4)):
        scene.put_configuration()
        await asyncio.sleep(scene.random.random() / 2)


async def evacuate(scene: Scene) -> None:
    """Have a zone emptied for a while."""
    zone = scene.random.choice(scene.zones)
    if zone in scene.evacuated:
        return
    scene.evacuate(zone)
    await asyncio.sleep(scene.draw_seconds())
    scene.end_evacuation(zone)


async def stop_gateway(scene: Scene) -> None:
    """Stop a process as planned and start it again."""
    gateway = scene.random.choice(scene.gateways)
    if not gateway.is_running:
        return
    scene.ledger.stopped.add(gateway.name)
    gateway.send(signal.SIGTERM)
    await gateway.wait()
    await gateway.start()


# Planned work: by itself it may cut no request.
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
# What hosts meet that have to find each other anew.
HERDS: tuple[Fault, ...] = (
    kill_all,
    start_with_late_seeds,
    start_without_store,
)


# What makes hosts and upstreams start beside one another; listed twice, which
# makes it one fault in sixteen.
POWER: tuple[Fault, ...] = (lose_power, lose_power)


# A harmful request beside one other fault, or alone.
HARM_FAULTS: tuple[Fault, ...] = (send_harmful,)


# Upstreams that leave, or want no requests for a time, and say so in answers.
NOTICE_FAULTS: tuple[Fault, ...] = (leave_unregistered, ask_pause)


# Upstreams that name limits, alone or beside others.
LIMIT_FAULTS: tuple[Fault, ...] = (name_limit,)


# Open connections to the store that carry nothing more while new ones work.
SILENCE_FAULTS: tuple[Fault, ...] = (silence_connections,)


# Hosts that reach no upstream.
CUT_FAULTS: tuple[Fault, ...] = (cut_off,)


class Schedule:
    """Applies drawn faults until time is up, some at once."""

    def __init__(
        self,
        scene: Scene,
        gap: float,
        *,
        groups: tuple[tuple[Fault, ...], ...],
    ) -> None:
        """Prepare.

        Args:
            scene: What the faults act on.
            gap: Mean seconds from one fault's begin to the next.
            groups: Faults that are drawn from; each group is as likely.
        """
        self._groups = groups
        self.applied: list[str] = []
        self._scene = scene
        self._gap = gap
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Begin faults for some seconds, then wait until all have ended.

        The seconds are those of the gaps. By the clock a busy machine, which
        wakes up late, began fewer faults than the seed draws.

        Args:
            seconds: Sum of the gaps from which on no fault begins.
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
            self._scene.ledger.broken.append(f'the soak itself failed: {error}')
