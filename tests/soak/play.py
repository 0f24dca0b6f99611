"""One play: a fleet of real processes, callers, faults, and the verdict.

Faults are injected from outside while the play runs. After the last one the
fleet has to recover, with the newest configuration version in force on every
host. Then everything that callers and upstreams observed is checked against the
guarantees.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from lib.store_standin import StoreStandin

from soak.callers import CallerTask
from soak.endless import watch_memory
from soak.faults import (
    ADOPTION_FAULTS,
    CUT_FAULTS,
    ENDLESS_FAULTS,
    HARM_FAULTS,
    HERDS,
    LIMIT_FAULTS,
    NOTICE_FAULTS,
    PIPELINING_FAULTS,
    PLANNED,
    POWER,
    SHORT_LIFE_FAULTS,
    SILENCE_FAULTS,
    STORM_FAULTS,
    UNPLANNED,
    ZONE_FAULTS,
    Fault,
    Scene,
    Schedule,
)
from soak.ledger import Kind, Ledger
from soak.notices import ENTRY_BOUNDS
from soak.pipelining import PipeliningCaller
from soak.processes import GatewayProcess, choose_places
from soak.proxy import CutWay, Proxy
from soak.restores import check_evacuation, restore_store
from soak.upstreams import COLD_SECONDS, LOST_SHARE, SoakUpstream
from soak.versions import VersionProbe, marked_configuration, weights_of
from soak.weights import Scale
from wardstair.gateway.settings import Bounds

GATEWAY = 'wardstair.cli.gateway'
# The same, bound to a source address by which proxies identify the host.
BOUND = 'soak.bound'
ZONES = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
# The store is restored from a copy, alone or along with other faults.
RESTORE_FAULTS: tuple[Fault, ...] = (restore_store,)
# Share of callers that pipeline requests.
PIPELINING_SHARE = 1 / 3
# Timeout of the recovery after the last fault. The guaranteed bounds are a
# tenth of it; this only ends a play that has failed.
RECOVERY_SECONDS = 60.0
START_SECONDS = 60.0
POLL_SECONDS = 0.1


@dataclass
class Plan:
    """Parameters of a play.

    Attributes:
        seed: Seed from which faults are drawn.
        seconds: Length of the fault phase, as a sum of drawn gaps.
        hosts: Number of gateways.
        upstreams: Number of upstreams.
        callers: Number of callers.
        gap: Mean seconds between the starts of faults.
        lost_share: Share of answers that a healthy upstream loses.
        cold_seconds: How long an upstream is cold after its start.
        module: Module that is run as a gateway.
        with_herds: Whether faults include restarts after which hosts have to
            discover each other again.
        with_power: Whether faults include power losses of hosts and upstreams.
        only_power: Whether power losses are the only faults.
        with_harm: Whether faults include requests that terminate upstreams.
        only_harm: Whether harmful requests are the only faults.
        with_limits: Whether faults include upstreams that announce rate limits.
        only_limits: Whether rate limits are the only faults.
        with_notices: Whether faults include upstreams whose answers announce
            that they leave or ask for a pause.
        only_notices: Whether such notices are the only faults.
        with_restores: Whether faults include restores of the store.
        only_restores: Whether restores are the only faults.
        only_silence: Whether the only fault is that open connections to the
            store fall silent.
        only_short_lives: Whether the only fault is that upstreams leave right
            after they have started.
        only_cuts: Whether the only fault is that hosts are cut off from
            upstreams.
        with_pipelining: Whether a third of the callers, drawn from the seed,
            send requests before earlier ones are answered.
        only_pipelining: Whether all callers do, while the only faults are
            planned stops and reloads.
        with_endless: Whether faults include answers without an end.
        only_endless: Whether these are the only faults.
        with_storms: Whether faults include configurations in quick succession
            and hosts that are killed right after they have adopted one.
        only_storms: Whether such configurations are the only faults.
        only_adoptions: Whether such kills are the only faults.
        only_zones: Whether the only fault is that the hosts of a zone are cut
            off from all other hosts.
        cut_way: How connections are cut; drawn if None.
    """

    seed: int
    seconds: float = 20.0
    hosts: int = 5
    upstreams: int = 6
    callers: int = 8
    gap: float = 1.0
    lost_share: float = LOST_SHARE
    cold_seconds: float = COLD_SECONDS
    module: str = GATEWAY
    with_herds: bool = True
    with_power: bool = True
    only_power: bool = False
    with_harm: bool = True
    only_harm: bool = False
    with_limits: bool = True
    only_limits: bool = False
    with_notices: bool = True
    only_notices: bool = False
    with_restores: bool = True
    only_restores: bool = False
    only_silence: bool = False
    only_short_lives: bool = False
    only_cuts: bool = False
    with_pipelining: bool = True
    only_pipelining: bool = False
    with_endless: bool = True
    only_endless: bool = False
    with_storms: bool = True
    only_storms: bool = False
    only_adoptions: bool = False
    only_zones: bool = False
    cut_way: CutWay | None = None

    @property
    def program(self) -> str:
        """Module to run; cuts need one that binds a source address."""
        return BOUND if self.only_cuts or self.only_zones else self.module

    @property
    def bounds(self) -> Bounds | None:
        """Bounds of the gateways; None for the defaults."""
        has_entry_checks = self.only_silence or self.only_short_lives
        has_entry_checks = has_entry_checks or self.has_due_versions
        return ENTRY_BOUNDS if has_entry_checks else None

    @property
    def has_due_versions(self) -> bool:
        """Whether no fault excuses a version that is late."""
        return self.only_storms or self.only_adoptions or self.only_zones

    @property
    def pipelining_share(self) -> float:
        """Probability that a caller pipelines requests."""
        if self.only_pipelining:
            return 1.0
        return PIPELINING_SHARE * self.with_pipelining

    @property
    def groups(self) -> tuple[tuple[Fault, ...], ...]:
        """Groups of faults to draw from; all groups are equally likely."""
        if self.only_power:
            return (POWER,)
        if self.only_harm:
            return (HARM_FAULTS,)
        if self.only_limits:
            return (LIMIT_FAULTS,)
        if self.only_notices:
            return (NOTICE_FAULTS,)
        if self.only_restores:
            return (RESTORE_FAULTS,)
        if self.only_silence:
            return (SILENCE_FAULTS,)
        if self.only_short_lives:
            return (SHORT_LIFE_FAULTS,)
        if self.only_cuts:
            return (CUT_FAULTS,)
        if self.only_pipelining:
            return (PIPELINING_FAULTS,)
        if self.only_endless:
            return (ENDLESS_FAULTS,)
        if self.only_zones:
            return (ZONE_FAULTS,)
        if self.only_storms:
            return (STORM_FAULTS,)
        if self.only_adoptions:
            return (ADOPTION_FAULTS,)
        herds = HERDS * self.with_herds
        harm = HARM_FAULTS * self.with_harm
        power = POWER * self.with_power
        limits = LIMIT_FAULTS * self.with_limits
        notices = NOTICE_FAULTS * self.with_notices
        restores = RESTORE_FAULTS * self.with_restores
        drawn = herds + power + harm + limits + notices + restores
        drawn += ENDLESS_FAULTS * self.with_endless
        drawn += (STORM_FAULTS + ADOPTION_FAULTS) * self.with_storms
        return (PLANNED, UNPLANNED + drawn)


@dataclass
class Verdict:
    """The result of a play.

    Attributes:
        broken: Descriptions of violated guarantees; empty if there are none.
        statuses: Number of requests by status; 0 and -1 mean no answer.
        faults: Names of the faults in the order in which they started.
        limits: Descriptions of the utilization of announced rate limits.
    """

    broken: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    limits: list[str] = field(default_factory=list)


class Play:
    """A fleet and its surroundings, as an asynchronous context manager."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Create a play without starting any process.

        Args:
            plan: Parameters of the play.
            folder: Directory for settings and logs.
        """
        self.ledger = Ledger()
        self.store = StoreStandin()
        self._plan = plan
        self._folder = folder
        self._random = Random(plan.seed)
        self._is_over = False
        self._store_proxies: list[Proxy] = []
        self._gateways: list[GatewayProcess] = []
        zones = sorted(ZONES)
        self._upstreams = [
            SoakUpstream(
                number,
                zones[number % len(zones)],
                self.ledger,
                Random(plan.seed * 1000 + number),
                plan.lost_share,
                plan.cold_seconds,
            )
            for number in range(plan.upstreams)
        ]

    async def __aenter__(self) -> 'Play':
        """Start the store, upstreams, proxies and gateways."""
        self.store.start()
        self.store.put('config', 'main', marked_configuration(1))
        for upstream in self._upstreams:
            await upstream.start()
            self.store.put('servers', upstream.name, upstream.spec())
        for _ in range(self._plan.hosts):
            proxy = Proxy(self.store.port)
            await proxy.start()
            self._store_proxies.append(proxy)
        ports = [proxy.port for proxy in self._store_proxies]
        places = choose_places(
            ZONES,
            self._plan.hosts,
            ports,
            self._folder,
            self._plan.bounds,
        )
        self._gateways = [
            GatewayProcess(place, self._plan.program) for place in places
        ]
        await asyncio.gather(*(one.start() for one in self._gateways))
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop what this play has started, and nothing else."""
        for gateway in self._gateways:
            await gateway.end()
        for upstream in self._upstreams:
            await upstream.stop()
        for proxy in self._store_proxies:
            await proxy.stop()
        await self.store.stop()

    async def run(self) -> Verdict:
        """Run the play and return its verdict."""
        scene = Scene(
            self.store,
            self._store_proxies,
            self._gateways,
            self._upstreams,
            tuple(sorted(ZONES)),
            self.ledger,
            self._random,
            cut_way=self._plan.cut_way,
        )
        bounds = self._plan.bounds
        has_due = bounds is not None and self._plan.has_due_versions
        due_seconds = bounds.apply_seconds if bounds and has_due else None
        probes = [
            VersionProbe(
                gateway,
                self.ledger,
                lambda: scene.version,
                due_seconds,
            )
            for gateway in self._gateways
        ]
        await self._wait_until_serving(probes, 'start', START_SECONDS)
        running = [
            *(probe.run(self._has_ended) for probe in probes),
            watch_memory(self._gateways, self.ledger, self._has_ended),
            *(caller.run(self._has_ended) for caller in self._callers()),
        ]
        asked = asyncio.gather(*running)
        schedule = Schedule(
            scene,
            self._plan.gap,
            groups=self._plan.groups,
        )
        await schedule.run(self._plan.seconds)
        scene.put_configuration()
        await self._wait_until_serving(probes, 'recovery', RECOVERY_SECONDS)
        if not self.ledger.check():
            # A play that has failed already skips the long check of weights.
            await self._check_weights(scene, probes)
        if self._plan.with_restores:
            await check_evacuation(scene, self._upstreams, self.ledger)
        self._is_over = True
        await asked
        tries = self.ledger.tries.values()
        return Verdict(
            self.ledger.check(),
            Counter(one.status for one in tries if one.kind is not Kind.probe),
            schedule.applied,
            self.ledger.tell_limits(),
        )

    async def _check_weights(
        self, scene: Scene, probes: list[VersionProbe]
    ) -> None:
        """Change weights twice without faults and check the split."""
        end = max(one.cold_until for one in self._upstreams)
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        if scene.version % 2:
            scene.put_configuration()
        for _ in range(2):
            scene.put_configuration()
            await self._wait_until_serving(
                probes, 'a change without faults', RECOVERY_SECONDS
            )
            scale = Scale(self.ledger, weights_of(scene.version))
            await scale.wait(RECOVERY_SECONDS)
            self.ledger.broken.extend(scale.check())

    def _has_ended(self) -> bool:
        return self._is_over

    def _callers(self) -> list[CallerTask]:
        return [self._caller(number) for number in range(self._plan.callers)]

    def _caller(self, number: int) -> CallerTask:
        # A source of its own, so that other draws of a seed stay the same.
        draw = Random(f'{self._plan.seed} pipelining {number}').random()
        is_pipelining = draw < self._plan.pipelining_share
        caller = PipeliningCaller if is_pipelining else CallerTask
        return caller(
            f'caller-{number}',
            self._gateways,
            self.ledger,
            Random(self._plan.seed * 7919 + number),
        )

    async def _wait_until_serving(
        self,
        probes: list[VersionProbe],
        moment: str,
        seconds: float,
    ) -> None:
        """Wait until the newest version is in force on every gateway."""
        waiting = [
            asyncio.ensure_future(self._wait_for_version(probe))
            for probe in probes
        ]
        _, late = await asyncio.wait(waiting, timeout=seconds)
        for task in late:
            task.cancel()
        if late:
            self.ledger.broken.append(
                f'{len(late)} hosts did not apply the newest version '
                f'within {seconds} s after {moment}',
            )

    async def _wait_for_version(self, probe: VersionProbe) -> None:
        newest = probe.newest()
        while probe.in_force < newest:
            await probe.ask()
            await asyncio.sleep(POLL_SECONDS)


async def play(plan: Plan, folder: Path) -> Verdict:
    """Run one play.

    Args:
        plan: Parameters of the play.
        folder: Directory for settings and logs.
    """
    async with Play(plan, folder) as started:
        return await started.run()
