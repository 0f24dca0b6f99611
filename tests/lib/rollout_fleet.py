"""A fleet of gateways in which the version of a service is rolled out."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from lib.fleet import ZONES, Fleet, Load, running_fleet
from lib.rig import until
from lib.specs import Stored, configuration_spec, route_spec, upstream_spec
from lib.upstream_standin import Seen, UpstreamStandin, answer_ok, whole_answer
from wardstair.decisions.rollouts import RolloutBounds, RolloutStage
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.rollout_lead import RolloutLead

SERVICE = 'views'
BOUNDS = RolloutBounds(share=0.1, slack=50, rollback_seconds=5.0)
# Requests per second of all callers.
RATE = 120.0
# Path, share of the requests and callers of each host, by route.
ROUTES = (('/read/x', 0.8, 3), ('/list/x', 0.2, 1))
USUAL_SECONDS = 0.02

IsBad = Callable[[Seen], bool]


@dataclass
class Version:
    """Upstreams of the new version, some of whose answers may be bad.

    Attributes:
        is_bad: Returns whether the answer to a request is bad.
        slow_seconds: Time that a bad answer takes; a failure if 0.
        size: Number of upstreams.
        bad_at: Times of the bad answers.
        sent_at: Times of all requests.
    """

    is_bad: IsBad = field(default=lambda _seen: False)
    slow_seconds: float = 0.0
    size: int = 6
    bad_at: list[float] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    upstreams: list[UpstreamStandin] = field(default_factory=list)

    async def answer(
        self,
        upstream: UpstreamStandin,
        seen: Seen,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request as the version does."""
        self.sent_at.append(time.monotonic())
        is_bad = self.is_bad(seen)
        if is_bad:
            self.bad_at.append(time.monotonic())
        if is_bad and not self.slow_seconds:
            failure = whole_answer(
                seen.request_id, b'', '500 Internal Server Error', ''
            )
            writer.write(failure)
            return
        seconds = self.slow_seconds if is_bad else USUAL_SECONDS
        await asyncio.sleep(seconds)
        await answer_ok(upstream, seen, writer)


async def answer_usual(
    upstream: UpstreamStandin, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Answer after the usual time."""
    await asyncio.sleep(USUAL_SECONDS)
    await answer_ok(upstream, seen, writer)


class RolloutFleet:
    """A running fleet with an order for a roll-out."""

    def __init__(self, fleet: Fleet, version: Version) -> None:
        self.fleet = fleet
        self.version = version
        self.loads: list[Load] = []

    @property
    def status(self) -> Stored:
        """What is recorded in the store."""
        stored = self.fleet.store.kind('rollouts').objects[SERVICE]
        status = stored['status']
        return status if isinstance(status, dict) else {'state': None}

    @property
    def state(self) -> str:
        """The recorded state."""
        return str(self.status['state'])

    @property
    def requests(self) -> int:
        """Requests that have reached the service since the order."""
        old = sum(len(one.seen) for one in self.fleet.upstreams)
        return old + len(self.version.sent_at)

    @property
    def coordinator(self) -> GatewayHost | None:
        """The host that coordinates the roll-out."""
        for host in self.fleet.hosts:
            if self.lead_of(host) is not None:
                return host
        return None

    def lead_of(self, host: GatewayHost) -> RolloutLead | None:
        assert host.rollouts is not None
        leads = host.rollouts.coordinator.leads
        return next(iter(leads.values()), None)

    def has_reached(self, stage: RolloutStage) -> bool:
        """Return whether the coordinator is at a stage, or past it."""
        host = self.coordinator
        lead = None if host is None else self.lead_of(host)
        return lead is not None and lead.stage >= stage

    async def order(self, seconds: float) -> None:
        """Order the new version and start its upstreams."""
        self.fleet.store.put(
            'rollouts',
            SERVICE,
            {
                'service': SERVICE,
                'target_version': 'v2',
                'duration_s': seconds,
            },
        )
        for one in self.fleet.upstreams:
            one.seen.clear()
        for number in range(self.version.size):
            upstream = UpstreamStandin(f'new-{number}', self.version.answer)
            await upstream.start()
            self.version.upstreams.append(upstream)
            zone = ZONES[number % len(ZONES)]
            spec = upstream_spec(upstream.port, zone=zone)
            spec['info'] = {
                'service': SERVICE,
                'version': 'v2',
                'zone': zone,
                'slots': 4,
            }
            self.fleet.store.put('servers', upstream.name, spec)

    async def play(self, seconds: float) -> None:
        """Let callers send requests to all hosts, until a host is lost."""
        await asyncio.gather(
            *(self._play(host, seconds) for host in self.fleet.hosts)
        )

    async def _play(self, host: GatewayHost, seconds: float) -> None:
        rate = RATE / len(self.fleet.hosts)
        loads = [
            Load(rate * share, target, callers=callers)
            for target, share, callers in ROUTES
        ]
        self.loads.extend(loads)
        try:
            await asyncio.gather(
                *(load.play([host], seconds) for load in loads)
            )
        except ConnectionError:
            # The test has stopped this host.
            assert host not in self.fleet.hosts

    async def until_ended(self) -> None:
        """Wait for the end of the roll-out."""
        await until(lambda: self.state not in {'None', 'running'})

    def served(self) -> float:
        """Return the share of the requests that were answered well."""
        answers = [one for load in self.loads for one in load.answers]
        return sum(one.status == 200 for one in answers) / len(answers)


def _configuration() -> Stored:
    return configuration_spec(
        1,
        read=route_spec('/read/', 'safe'),
        list=route_spec('/list/', 'safe'),
        order=route_spec('/order/', 'unsafe', timeout_ms=8000),
    )


@asynccontextmanager
async def rollout_fleet(
    version: Version, hosts: int = 4
) -> AsyncIterator[RolloutFleet]:
    """Run gateways with six upstreams of the old version."""
    old = [UpstreamStandin(f'old-{n}', answer_usual) for n in range(6)]
    async with running_fleet(
        hosts, old, _configuration(), rollout_bounds=BOUNDS
    ) as fleet:
        try:
            yield RolloutFleet(fleet, version)
        finally:
            for upstream in version.upstreams:
                await upstream.stop()
