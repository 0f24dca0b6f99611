"""What a coordinator sees of the fleet and of the upstreams."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wardstair.decisions.rollout_candidates import group_under_test
from wardstair.decisions.rollout_capacity import VersionCapacity, bearable_share
from wardstair.decisions.rollouts import RolloutBounds
from wardstair.fleet.rollout_messages import number_of_upstream
from wardstair.state.rollouts import RolloutTable, VersionRole
from wardstair.state.upstream import Upstream


@dataclass(frozen=True, slots=True)
class RolloutScene:
    """Returns what a coordinator needs to know.

    Attributes:
        own: Name of this host.
        is_sentinel: Returns whether this host is a sentinel.
        may_write: Returns whether it is the first sentinel and in contact with
            the store.
        is_led: Returns whether a coordinator is heard for a service.
        has_contact: Returns whether it is in contact with the store.
        bounds: Returns the limits of the exposure.
        contact_seconds: Returns the time in which a host in touch reports.
        live_hosts: Returns the names of the hosts that are heard.
        share: Returns the share in the last plan for a service.
        upstreams: Returns the upstreams of a service that get requests.
        work_seconds: Returns the usual seconds of work for a request.
        cold_rate: Returns the requests per second that a cold upstream takes.
    """

    own: str
    is_sentinel: Callable[[], bool]
    may_write: Callable[[], bool]
    is_led: Callable[[str], bool]
    has_contact: Callable[[], bool]
    bounds: Callable[[], RolloutBounds]
    contact_seconds: Callable[[], float]
    live_hosts: Callable[[], set[str]]
    share: Callable[[str], float]
    upstreams: Callable[[str], Iterable[Upstream]]
    work_seconds: Callable[[str], float]
    cold_rate: Callable[[str], float]


@dataclass(frozen=True, slots=True)
class VersionsInService:
    """The upstreams of a service during a roll-out.

    Attributes:
        new: Upstreams of the target version.
        old: Upstreams of other versions.
    """

    new: tuple[Upstream, ...]
    old: tuple[Upstream, ...]

    @classmethod
    def of(
        cls, table: RolloutTable, upstreams: Iterable[Upstream]
    ) -> 'VersionsInService':
        """Divide upstreams by their versions.

        Args:
            table: The known roll-outs.
            upstreams: The upstreams of the service.
        """
        roles = [(table.role_of(one.entry), one) for one in upstreams]
        return cls(
            tuple(one for role, one in roles if role is VersionRole.new),
            tuple(one for role, one in roles if role is VersionRole.old),
        )

    def capacity(
        self, *, rate: float, work_seconds: float, cold_rate: float
    ) -> float:
        """Return the share of the requests that the new version can bear.

        Args:
            rate: Requests of the service per second.
            work_seconds: Usual seconds of work for a request.
            cold_rate: Requests per second that a cold upstream takes.
        """
        return bearable_share(
            _capacity(self.new),
            _capacity(self.old),
            rate=rate,
            work_seconds=work_seconds,
            cold_rate=cold_rate,
        )

    def group(self, share: float) -> frozenset[int]:
        """Return the numbers of the upstreams under test.

        Args:
            share: Share of the requests that the test gets.
        """
        names = group_under_test(
            {one.incarnation: one.entry.slots for one in self.new},
            share,
            sum(one.entry.slots for one in self.old),
        )
        return frozenset(map(number_of_upstream, names))


def _capacity(upstreams: Iterable[Upstream]) -> VersionCapacity:
    now = time.monotonic()
    slots = 0
    cold = 0
    for upstream in upstreams:
        if upstream.is_cold(now):
            cold += 1
        else:
            slots += upstream.entry.slots
    return VersionCapacity(slots, cold)
