"""The steering configuration as operators write it, and its checks.

The models validate input; the rest of the program works with the classes of
`topology`, which are derived from them.
"""

import tomllib
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from ipaddress import IPv4Network
from pathlib import Path
from typing import Annotated, Literal, Protocol

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from wardstair.errors import Fault
from wardstair.version.faults import faults_of

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Address = Annotated[
    str,
    Field(pattern=r'^\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$'),
]


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class RegionModel(_Model):
    """A region and the traffic that it accepts from other regions."""

    name: Name
    outside_share: Annotated[float, Field(ge=0, le=1)] = 0.5
    delays_ms: dict[Name, Annotated[float, Field(ge=0)]] = {}


class ZoneModel(_Model):
    """An availability zone of a region."""

    name: Name
    region: Name


class HostModel(_Model):
    """An entry host with the addresses of its listeners."""

    name: Name
    zone: Name
    callers: Address
    peers: Address
    forward: Address
    operators: Address


class RouteModel(_Model):
    """Which requests belong to a workload, and whether they may be repeated."""

    methods: Annotated[tuple[str, ...], Field(min_length=1)]
    prefix: Annotated[str, Field(pattern='^/')]
    repeat: Literal['repeatable', 'once']


class WorkloadModel(_Model):
    """A class of requests that the same upstreams serve.

    Requests of a workload without a deadline, such as slow uploads, may take
    any time; only the time without any transfer is limited.
    """

    name: Name
    importance: Annotated[int, Field(ge=0, le=9)]
    deadline_seconds: Annotated[float, Field(gt=0)] | None = None
    idle_seconds: Annotated[float, Field(gt=0)] = 60.0
    routes: Annotated[tuple[RouteModel, ...], Field(min_length=1)]


class UpstreamModel(_Model):
    """One endpoint that serves a workload."""

    name: Name
    zone: Name
    workload: Name
    address: Address
    slots: Annotated[int, Field(ge=1, le=10000)]
    connections: Annotated[int, Field(ge=1)] = 400


class SiteModel(_Model):
    """A location of client address blocks and the region that serves it."""

    name: Name
    region: Name


class BlockModel(_Model):
    """A network of client addresses and its site."""

    network: IPv4Network
    site: Name


class PolicyModel(_Model):
    """The policy of a workload and its parameters."""

    workload: Name
    kind: Literal['nearest', 'least-in-flight', 'weighted', 'headroom-first']
    spill_at: Annotated[float, Field(gt=0, le=1)] = 0.8
    weights: dict[Name, Annotated[float, Field(ge=0)]] = {}


class ShiftModel(_Model):
    """A move of a workload's traffic between regions, limited by a cap."""

    name: Name
    workload: Name
    source: Name
    target: Name
    cap: Annotated[int, Field(ge=0)]


class DrainModel(_Model):
    """An order to drain an upstream, host, zone or region."""

    kind: Literal['upstream', 'host', 'zone', 'region']
    name: Name


class SteeringDocument(_Model):
    """The whole steering configuration."""

    deployment: Name
    lookup_ttl_seconds: Annotated[int, Field(ge=1, le=3600)] = 10
    regions: Annotated[tuple[RegionModel, ...], Field(min_length=1)]
    zones: Annotated[tuple[ZoneModel, ...], Field(min_length=1)]
    hosts: Annotated[tuple[HostModel, ...], Field(min_length=1)]
    workloads: Annotated[tuple[WorkloadModel, ...], Field(min_length=1)]
    upstreams: tuple[UpstreamModel, ...] = ()
    sites: Annotated[tuple[SiteModel, ...], Field(max_length=250)] = ()
    blocks: tuple[BlockModel, ...] = ()
    policies: tuple[PolicyModel, ...] = ()
    shifts: tuple[ShiftModel, ...] = ()
    drains: tuple[DrainModel, ...] = ()


def read_document(path: Path) -> Result[SteeringDocument, list[Fault]]:
    """Read and check a TOML file of steering configuration.

    Args:
        path: The file.

    Returns:
        The document, or the faults found in it.
    """
    return read_toml(path).and_then(
        lambda content: check_document(content, str(path)),
    )


def read_toml(path: Path) -> Result[dict[str, object], list[Fault]]:
    """Read a TOML file; return a fault if it cannot be read or parsed."""
    try:
        return Ok(tomllib.loads(path.read_text(encoding='utf-8')))
    except OSError as error:
        hint = 'check the path and its permissions'
        return Err([Fault(str(path), '(file)', str(error.strerror), hint)])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        hint = 'correct the TOML syntax or the encoding of the file'
        return Err([Fault(str(path), '(file)', str(error), hint)])


def check_document(
    content: object,
    source: str,
) -> Result[SteeringDocument, list[Fault]]:
    """Validate the content of a steering configuration.

    Args:
        content: Mapping parsed from TOML or JSON.
        source: Name of the source that faults show.
    """
    try:
        document = SteeringDocument.model_validate(content)
    except ValidationError as error:
        return Err(faults_of(error, source))
    faults = list(_consistency_faults(document, source))
    return Err(faults) if faults else Ok(document)


def _consistency_faults(
    document: SteeringDocument, source: str
) -> Iterator[Fault]:
    yield from _duplicate_faults(document, source)
    yield from _undefined_reference_faults(document, source)


def _duplicate_faults(
    document: SteeringDocument, source: str
) -> Iterator[Fault]:
    tables = {
        'regions': [region.name for region in document.regions],
        'zones': [zone.name for zone in document.zones],
        'hosts': [host.name for host in document.hosts],
        'workloads': [workload.name for workload in document.workloads],
        'upstreams': [upstream.name for upstream in document.upstreams],
        'sites': [site.name for site in document.sites],
        'shifts': [shift.name for shift in document.shifts],
        'policies': [policy.workload for policy in document.policies],
    }
    for table, names in tables.items():
        for name, count in Counter(names).items():
            if count > 1:
                message = f'{name} is defined {count} times'
                yield Fault(source, table, message, 'remove the duplicates')


@dataclass(frozen=True)
class _Reference:
    """A name in one table that must be defined in another.

    Attributes:
        key: Dotted path of the field, as faults show it.
        name: The name that the field refers to.
        defined: The names that are defined.
    """

    key: str
    name: str
    defined: frozenset[str]


def _undefined_reference_faults(
    document: SteeringDocument, source: str
) -> Iterator[Fault]:
    for reference in _references(document):
        if reference.name not in reference.defined:
            yield Fault(
                source,
                reference.key,
                f'{reference.name} is not defined',
                'define it or correct its spelling',
            )


def _references(document: SteeringDocument) -> Iterator[_Reference]:
    regions = _names(document.regions)
    zones = _names(document.zones)
    workloads = _names(document.workloads)
    sites = _names(document.sites)
    for zone in document.zones:
        yield _Reference(f'zones.{zone.name}.region', zone.region, regions)
    for host in document.hosts:
        yield _Reference(f'hosts.{host.name}.zone', host.zone, zones)
    for upstream in document.upstreams:
        table = f'upstreams.{upstream.name}'
        yield _Reference(f'{table}.zone', upstream.zone, zones)
        yield _Reference(f'{table}.workload', upstream.workload, workloads)
    for site in document.sites:
        yield _Reference(f'sites.{site.name}.region', site.region, regions)
    for block in document.blocks:
        yield _Reference(f'blocks.{block.network}.site', block.site, sites)
    for policy in document.policies:
        key = f'policies.{policy.workload}.workload'
        yield _Reference(key, policy.workload, workloads)
    for shift in document.shifts:
        table = f'shifts.{shift.name}'
        yield _Reference(f'{table}.workload', shift.workload, workloads)
        yield _Reference(f'{table}.source', shift.source, regions)
        yield _Reference(f'{table}.target', shift.target, regions)
    drainable = {
        'upstream': _names(document.upstreams),
        'host': _names(document.hosts),
        'zone': zones,
        'region': regions,
    }
    for drain in document.drains:
        key = f'drains.{drain.kind}.name'
        yield _Reference(key, drain.name, drainable[drain.kind])


class _Named(Protocol):
    @property
    def name(self) -> str:
        """Name by which other tables refer to the row."""


def _names(rows: Iterable[_Named]) -> frozenset[str]:
    return frozenset(row.name for row in rows)
