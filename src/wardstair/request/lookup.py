"""Answers to callers that ask which entry hosts to use."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address

from xxhash import xxh32_intdigest

from wardstair.decisions.at_most_once import RequestKey
from wardstair.decisions.ledger import Identity
from wardstair.errors import Refusal, RefusalKind
from wardstair.request.problem import bad_header
from wardstair.version.document import HostModel
from wardstair.version.topology import Topology

HOSTS_IN_ANSWER = 4
SHARE_STEPS = 1000


@dataclass(frozen=True)
class RankedHost:
    """An entry host that may stand in an answer."""

    model: HostModel
    identity: Identity


@dataclass(frozen=True)
class ShiftShare:
    """The part of look-ups that a shift sends elsewhere.

    Attributes:
        target: Region that they are sent to.
        per_mille: Callers out of a thousand, by stable hash.
    """

    target: str
    per_mille: int


@dataclass(frozen=True)
class LookupQuery:
    """A checked look-up.

    Attributes:
        workload: Name of the workload.
        address: Number of the caller's address.
    """

    workload: str
    address: int


@dataclass(frozen=True)
class PreparedAnswer:
    """One order of hosts, rendered ahead.

    Attributes:
        body: JSON without its closing brace.
        owner: First host, to which a key may belong.
    """

    body: bytes
    owner: Identity


HostRanking = Callable[[str, str], Sequence[RankedHost]]
KeyIssuer = Callable[[Identity], RequestKey]


class LookupAnswers:
    """Look-up answers of one version and one view of the fleet.

    Everything that depends on the caller's address only through its region
    is rendered at its first use and kept; a look-up is then a bisection and
    a table access. A host hardly ever answers for all regions.
    """

    def __init__(
        self,
        topology: Topology,
        ranking: HostRanking,
        shares: dict[tuple[str, str], ShiftShare],
        own_region: str,
    ) -> None:
        """Prepare without rendering anything.

        Args:
            topology: The version in force.
            ranking: Hosts for a workload and region, best first.
            shares: Shift shares by workload and source region.
            own_region: Region for callers that no block covers.
        """
        self._topology = topology
        self._ranking = ranking
        self._shares = shares
        self._own_region = own_region
        self._workloads = frozenset(
            workload.name for workload in topology.document.workloads
        )
        self._once = frozenset(
            workload.name
            for workload in topology.document.workloads
            if any(route.repeat == 'once' for route in workload.routes)
        )
        self._answers: dict[tuple[str, str], list[PreparedAnswer]] = {}

    def answer(
        self,
        query: LookupQuery,
        issue: KeyIssuer,
        age: float,
    ) -> bytes | None:
        """Return the JSON answer, or None if no host is known.

        Args:
            query: The look-up.
            issue: Makes a key for a request that may run at most once.
            age: Seconds since the version was confirmed as the newest.
        """
        place = (query.workload, self.region_of(query))
        rotations = self._answers.get(place)
        if rotations is None:
            ranked = self._ranking(*place)
            rotations = _rotations(self._topology, place, ranked)
            self._answers[place] = rotations
        if not rotations:
            return None
        prepared = rotations[_spread(query.address) % len(rotations)]
        parts = (prepared.body, age)
        if query.workload in self._once:
            key = str(issue(prepared.owner)).encode()
            return b'%b,"age_seconds":%.1f,"key":"%b"}' % (*parts, key)
        return b'%b,"age_seconds":%.1f}' % parts

    def region_of(self, query: LookupQuery) -> str:
        """Return the region that a caller is sent to."""
        home = self._topology.caller_region(query.address)
        region = home or self._own_region
        share = self._shares.get((query.workload, region))
        if share is None:
            return region
        # Whole /24 blocks move together, as resolvers and caches do.
        if _spread(query.address >> 8) % SHARE_STEPS < share.per_mille:
            return share.target
        return region

    def parse(
        self,
        workload: str | None,
        address: str,
    ) -> LookupQuery | Refusal:
        """Check the parameters of a look-up."""
        if workload is None or workload not in self._workloads:
            return Refusal(
                RefusalKind.no_route,
                404,
                f'no workload is called {workload}',
                f'ask for one of {", ".join(sorted(self._workloads))}',
                not_run=True,
            )
        try:
            return LookupQuery(workload, int(IPv4Address(address)))
        except AddressValueError:
            return bad_header(
                f'{address} is not an IPv4 address',
                'give the caller address in dotted form',
            )


def _spread(number: int) -> int:
    return xxh32_intdigest(number.to_bytes(4, 'big'))


def _rotations(
    topology: Topology,
    place: tuple[str, str],
    ranked: Sequence[RankedHost],
) -> list[PreparedAnswer]:
    """Render an answer for each host of the region as the first one."""
    workload, region = place
    near = [
        host
        for host in ranked
        if topology.zone_regions[host.model.zone] == region
    ]
    far = [host for host in ranked if host not in near]
    leading = near or far
    rest = far if near else []
    rotations = []
    for index, _ in enumerate(leading):
        order = [*leading[index:], *leading[:index], *rest]
        chosen = order[:HOSTS_IN_ANSWER]
        body = json.dumps(
            {
                'workload': workload,
                'region': region,
                'version': topology.version,
                'ttl_seconds': topology.document.lookup_ttl_seconds,
                'hosts': [
                    {
                        'name': host.model.name,
                        'zone': host.model.zone,
                        'address': host.model.callers,
                    }
                    for host in chosen
                ],
            }
        )
        rotations.append(
            PreparedAnswer(body[:-1].encode(), chosen[0].identity),
        )
    return rotations
