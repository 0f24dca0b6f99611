"""Answers to look-ups: which entry hosts a caller should use."""

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
SHARE_DENOMINATOR = 1000


@dataclass(frozen=True)
class RankedHost:
    """An entry host that an answer may list."""

    model: HostModel
    identity: Identity


@dataclass(frozen=True)
class ShiftShare:
    """The share of look-ups that a shift directs to another region.

    Attributes:
        target: Region to which they are directed.
        per_mille: Number of callers per thousand, chosen by a stable hash.
    """

    target: str
    per_mille: int


@dataclass(frozen=True)
class LookupQuery:
    """A validated look-up.

    Attributes:
        workload: Name of the workload.
        address: IPv4 address of the caller as an integer.
    """

    workload: str
    address: int


@dataclass(frozen=True)
class PreparedAnswer:
    """A pre-rendered answer with the hosts in one order.

    Attributes:
        body: JSON without its closing brace.
        owner: The first host, which owns a key issued with the answer.
    """

    body: bytes
    owner: Identity


HostRanking = Callable[[str, str], Sequence[RankedHost]]
KeyIssuer = Callable[[Identity], RequestKey]


class LookupAnswers:
    """Look-up answers for one version and one view of the fleet.

    The parts that depend only on the region of the caller are rendered on
    first use and cached, so that a look-up costs a bisection and a table
    access. They are not rendered in advance, since a host is rarely asked
    for all regions.
    """

    def __init__(
        self,
        topology: Topology,
        ranking: HostRanking,
        shares: dict[tuple[str, str], ShiftShare],
        own_region: str,
    ) -> None:
        """Create the answers without rendering any.

        Args:
            topology: The version in force.
            ranking: Returns the hosts for a workload and region, best first.
            shares: Shares of shifts, by workload and source region.
            own_region: Region used for callers in no address block.
        """
        self._topology = topology
        self._ranking = ranking
        self._shares = shares
        self._own_region = own_region
        self._workloads = frozenset(
            workload.name for workload in topology.document.workloads
        )
        self._at_most_once = frozenset(
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
            issue: Issues a key for a request that may run at most once.
            age: Seconds since the version was last confirmed as the newest.
        """
        ranking_key = (query.workload, self.region_of(query))
        rotations = self._answers.get(ranking_key)
        if rotations is None:
            ranked = self._ranking(*ranking_key)
            rotations = _render_rotations(self._topology, ranking_key, ranked)
            self._answers[ranking_key] = rotations
        if not rotations:
            return None
        prepared = rotations[_hash_number(query.address) % len(rotations)]
        parts = (prepared.body, age)
        if query.workload in self._at_most_once:
            key = str(issue(prepared.owner)).encode()
            return b'%b,"age_seconds":%.1f,"key":"%b"}' % (*parts, key)
        return b'%b,"age_seconds":%.1f}' % parts

    def region_of(self, query: LookupQuery) -> str:
        """Return the region to which a caller is directed."""
        region_of_caller = self._topology.caller_region(query.address)
        region = region_of_caller or self._own_region
        share = self._shares.get((query.workload, region))
        if share is None:
            return region
        # A /24 block is directed as a whole, as resolvers and caches treat
        # it as a unit.
        if (
            _hash_number(query.address >> 8) % SHARE_DENOMINATOR
            < share.per_mille
        ):
            return share.target
        return region

    def parse(
        self,
        workload: str | None,
        address: str,
    ) -> LookupQuery | Refusal:
        """Validate the parameters of a look-up."""
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


def _hash_number(number: int) -> int:
    return xxh32_intdigest(number.to_bytes(4, 'big'))


def _render_rotations(
    topology: Topology,
    ranking_key: tuple[str, str],
    ranked: Sequence[RankedHost],
) -> list[PreparedAnswer]:
    """Render one answer for each host of the region, listing it first.

    Without a host in the region, each of the other hosts is listed first.
    """
    workload, region = ranking_key
    local = [
        host
        for host in ranked
        if topology.zone_regions[host.model.zone] == region
    ]
    remote = [host for host in ranked if host not in local]
    preferred = local or remote
    fallback = remote if local else []
    rotations = []
    for index, _ in enumerate(preferred):
        ordered = [*preferred[index:], *preferred[:index], *fallback]
        chosen = ordered[:HOSTS_IN_ANSWER]
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
