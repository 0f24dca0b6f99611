"""Decodes and encodes objects of the platform's store."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)

from wardstair.decisions.suspicion import Evidence
from wardstair.errors import ConfigurationError
from wardstair.fleet.fields import MAX_NAME_LENGTH
from wardstair.fleet.heartbeats import PeerName
from wardstair.platform.json_reader import REPLACEMENT
from wardstair.process.log import log_warning
from wardstair.state.revision import Revision
from wardstair.version.organisations import (
    Organisation,
    OrganisationTable,
    Quota,
    digest_of,
)
from wardstair.version.steering import (
    CallerLimits,
    Repeatability,
    ServiceShare,
    SteeredRoute,
    SteeredService,
    Steering,
    index_routes,
)

# Kinds of objects; they are part of the store's paths.
CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
EVACUATION_KIND = 'evacuations'
UPSTREAM_KIND = 'servers'
# Kinds that wardstair defines: entry hosts, and requests that ended upstreams.
HOST_KIND = 'entry-hosts'
SUSPECTS_KIND = 'suspect-requests'
SUSPECTS_NAME = 'all'
_MILLISECONDS = 1000
_HEXADECIMAL = 16
# A larger revision would count as newer than all that follows.
MAX_REVISION = 2**63 - 1
# More hosts than any fleet has.
_MAX_HOSTS = 100_000
# More than any count, duration or size of a configuration.
_MAX_NUMBER = 10**12
_Whole = Annotated[int, Field(ge=0, le=_MAX_NUMBER)]
_Number = Annotated[float, Field(ge=0, le=_MAX_NUMBER, allow_inf_nan=False)]
# It is part of the first line of a request to an upstream.
_HealthPath = Annotated[str, StringConstraints(pattern=r'^/[\x21-\x7e]*$')]


def check_readable(text: str) -> str:
    """Return a text that logs can show and other hosts can read.

    Raises:
        ValueError: It has other characters.
    """
    if not text.isprintable() or REPLACEMENT in text:
        raise ValueError('expected printable characters')
    return text


_Text = Annotated[
    str,
    StringConstraints(min_length=1, max_length=MAX_NAME_LENGTH),
    AfterValidator(check_readable),
]


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


def _index_by_name(table: object) -> object:
    """Return a list of named objects as a mapping by name."""
    if not isinstance(table, list):
        return table
    named = [one for one in table if isinstance(one, Mapping) and 'name' in one]
    if len(named) != len(table):
        raise ValueError('each list entry needs a name')
    duplicate = _first_duplicate(str(one['name']) for one in named)
    if duplicate:
        raise ValueError(f'the list contains {duplicate} twice; remove one')
    return {str(one['name']): one for one in named}


def _first_duplicate(names: Iterable[str]) -> str | None:
    counts = Counter(names).items()
    return next((name for name, count in counts if count > 1), None)


_Entry = TypeVar('_Entry')
# The platform writes mappings by name; lists of named objects are accepted too.
_Table = Annotated[dict[str, _Entry], BeforeValidator(_index_by_name)]


class _Share(_Model):
    service: str
    weight: _Number


class _Route(_Model):
    host: str
    path_prefix: str
    # Requests of the kinds `upload` and `unsafe` run at most once. Unknown
    # kinds are handled like them, because a second run can do harm.
    kind: str
    timeout_ms: float = Field(gt=0, le=_MAX_NUMBER)
    target_latency_ms: float = Field(gt=0, le=_MAX_NUMBER)
    # 0 is the highest priority. It is the default, so that a missing priority
    # does not delay important requests.
    priority: int = Field(default=0, ge=-_MAX_NUMBER, le=_MAX_NUMBER)
    service: str | None = None
    # The services of a split route, instead of `service`.
    backends: tuple[_Share, ...] = ()
    # Number of upstreams to which a request may be sent, including the first.
    max_attempts: int = Field(default=1, ge=1, le=_MAX_NUMBER)
    sticky: bool = False
    # Regions that may serve the route; empty for all.
    allowed_regions: tuple[str, ...] = ()
    # Whether requests without an API key are served.
    public: bool = False

    @model_validator(mode='after')
    def _check_names_service(self) -> '_Route':
        if self.service is None and not any(
            share.weight > 0 for share in self.backends
        ):
            raise ValueError('the route names no service')
        return self


class _Service(_Model):
    health_path: _HealthPath = '/healthz'
    # Connections that an upstream accepts from all entry hosts together. If it
    # is 0, each host opens only the few that it needs.
    max_conns: _Whole = 0
    cold_start_s: _Number = 0
    # Requests per second that a cold upstream can process from all entry hosts
    # together. If it is 0, none are sent, because they may overload the
    # upstream.
    cold_per_s: _Number = 0


class _Limits(_Model):
    max_header_bytes: _Whole = 16384
    max_body_bytes: _Whole = 67108864
    header_timeout_ms: _Number = 3000
    idle_timeout_ms: _Number = 15000


# It is sent to upstreams as a header value.
_OrganisationName = Annotated[
    str,
    StringConstraints(pattern=r'^[\x21-\x7e]+$', max_length=256),
]
_ApiKey = Annotated[str, StringConstraints(min_length=1)]


class _Tenant(_Model):
    api_keys: tuple[_ApiKey, ...] = ()
    # Takes precedence over the priority of the route.
    priority: int | None = None
    # Requests per second to all entry hosts together; 0 for no limit.
    rate_per_s: float = Field(default=0, ge=0, allow_inf_nan=False)
    # Number of requests above that rate that may arrive at once.
    burst: float = Field(default=0, ge=0, allow_inf_nan=False)
    allowed_regions: tuple[str, ...] = ()


class _Configuration(_Model):
    version: Annotated[str, StringConstraints(pattern='^[0-9a-fA-F]{1,15}$')]
    routes: _Table[_Route]
    services: _Table[_Service]
    limits: _Limits = Field(default_factory=_Limits)
    tenants: Annotated[
        dict[_OrganisationName, _Tenant],
        BeforeValidator(_index_by_name),
    ] = Field(default_factory=dict)

    @model_validator(mode='after')
    def _check_consistency(self) -> '_Configuration':
        for name, route in self.routes.items():
            self._check_services(name, route)
        duplicate = _first_duplicate(
            f'{route.host}{route.path_prefix}' for route in self.routes.values()
        )
        if duplicate is not None:
            raise ValueError(f'two routes match {duplicate}; remove one')
        self._check_unique_api_keys()
        return self

    def _check_services(self, name: str, route: _Route) -> None:
        named = {share.service for share in route.backends}
        if route.service is not None:
            named = {route.service}
        unknown = named - self.services.keys()
        if unknown:
            raise ValueError(
                f'route {name} refers to the unknown service {min(unknown)}; '
                'define it or use another one',
            )

    def _check_unique_api_keys(self) -> None:
        owners: dict[str, str] = {}
        for name, tenant in self.tenants.items():
            for api_key in set(tenant.api_keys):
                other = owners.setdefault(api_key, name)
                if other != name:
                    raise ValueError(
                        f'{other} and {name} have the same API key; '
                        'remove it from one of them',
                    )


class _HostSpec(_Model):
    zone: _Text
    address: _Text
    front: _Text
    # Number of hosts in all zones known to the host.
    fleet: int = Field(default=0, ge=0, le=_MAX_HOSTS)
    # Latest era in which the host knew the store to be complete.
    era: int = Field(default=0, ge=0, le=MAX_REVISION)


# The form of `decisions.request_identity`. Any other name would cause an error
# on every host that sends the table to another one.
_RequestName = Annotated[str, StringConstraints(pattern='^[0-9a-f]{16}$')]
# Unix time in seconds, until the year 2286. A later time would hold a request
# forever.
_UnixSeconds = Annotated[int, Field(ge=0, lt=10**10, strict=True)]


class _Suspect(_Model):
    # Incarnations of upstreams with the time at which each ended.
    ended: dict[_Text, _UnixSeconds]
    answered: tuple[_Text, ...] = ()
    lifted_at: _UnixSeconds = 0


class _SuspectsSpec(_Model):
    # Validated one by one, so that an odd record costs itself alone.
    requests: dict[str, object]


class _SuspectRow(_Model):
    name: _RequestName
    suspect: _Suspect


@dataclass(frozen=True, slots=True)
class RegisteredHost:
    """An entry host that is registered in the store.

    Attributes:
        peer: Name, zone and addresses of the host.
        fleet_size: Number of hosts in all zones known to the host when it
            registered.
        complete_era: Latest era in which, as far as the host knew, all objects
            lost in a restore had been written again; 0 for none.
    """

    peer: PeerName
    fleet_size: int
    complete_era: int = 0


class Metadata(_Model):
    """Name and revision of an object.

    Attributes:
        name: Name, unique within the kind.
        revision: Revision of the store at the last change of the object.
    """

    name: str
    revision: int = Field(default=0, ge=0, le=MAX_REVISION)


class StoredObject(_Model):
    """An object of any kind, as read from the store.

    Attributes:
        metadata: Name and revision.
        spec: State that the writer declares; its form depends on the kind.
        status: Observed state.
        era: Era of the store when it returned the object; the store client
            sets it from the header of the answer.
    """

    metadata: Metadata
    spec: object = None
    status: object = None
    era: int = 0

    @property
    def revision(self) -> Revision:
        """Era and revision of the last change."""
        return Revision(self.era, self.metadata.revision)


def decode_configuration(stored: StoredObject) -> Steering:
    """Decode a version of the configuration.

    Raises:
        ConfigurationError: The configuration is incomplete or invalid.
    """
    try:
        parsed = _Configuration.model_validate(stored.spec)
        version = int(parsed.version, _HEXADECIMAL)
    except (ValidationError, ValueError) as error:
        raise ConfigurationError(
            f'the stored configuration is not valid: {_describe(error)}',
            'write a corrected version; the previous one stays in force',
            revision=stored.metadata.revision,
        ) from error
    routes = tuple(
        _decode_route(name, route) for name, route in parsed.routes.items()
    )
    services = {
        name: SteeredService(
            name=name,
            health_path=service.health_path,
            max_connections=service.max_conns,
            cold_seconds=service.cold_start_s,
            cold_rate=service.cold_per_s,
        )
        for name, service in parsed.services.items()
    }
    limits = CallerLimits(
        header_bytes=parsed.limits.max_header_bytes,
        body_bytes=parsed.limits.max_body_bytes,
        header_seconds=parsed.limits.header_timeout_ms / _MILLISECONDS,
        idle_seconds=parsed.limits.idle_timeout_ms / _MILLISECONDS,
    )
    return Steering(
        version,
        routes,
        services,
        limits,
        index_routes(routes),
        defaulted_fields=_defaulted_fields(parsed),
        organisations=_organisations(parsed.tenants),
    )


def _describe(error: ValidationError | ValueError) -> str:
    """Describe an error without its input, which may contain API keys."""
    if not isinstance(error, ValidationError):
        return 'version: not a hexadecimal number'
    faults = error.errors(
        include_url=False, include_input=False, include_context=False
    )
    return ' | '.join(
        f'{".".join(str(part) for part in fault["loc"])}: {fault["msg"]}'
        for fault in faults
    )


def _organisations(tenants: Mapping[str, _Tenant]) -> OrganisationTable:
    by_name = {
        name: Organisation(
            name=name,
            priority=tenant.priority,
            regions=frozenset(tenant.allowed_regions),
            quota=_quota(tenant),
        )
        for name, tenant in tenants.items()
    }
    by_digest = {
        digest_of(api_key): by_name[name]
        for name, tenant in tenants.items()
        for api_key in tenant.api_keys
    }
    return OrganisationTable(by_name, by_digest)


def _quota(tenant: _Tenant) -> Quota | None:
    if not tenant.rate_per_s:
        return None
    return Quota(tenant.rate_per_s, tenant.burst)


def decode_host(stored: StoredObject) -> RegisteredHost | None:
    """Decode the object of an entry host; None if it is invalid."""
    try:
        spec = _HostSpec.model_validate(stored.spec)
    except ValidationError:
        return None
    peer = PeerName(
        stored.metadata.name,
        spec.zone,
        spec.address,
        spec.front,
    )
    return RegisteredHost(peer, spec.fleet, spec.era)


def encode_host(host: RegisteredHost) -> dict[str, object]:
    """Return the object that registers an entry host."""
    peer = host.peer
    return {
        'metadata': {'name': peer.name},
        'spec': {
            'zone': peer.zone,
            'address': peer.address,
            'front': peer.front,
            'fleet': host.fleet_size,
            'era': host.complete_era,
        },
    }


def decode_suspects(stored: StoredObject) -> dict[str, Evidence] | None:
    """Decode the evidence on requests that end upstreams.

    Returns:
        The evidence that can be read; None if there is none but odd records.
    """
    try:
        spec = _SuspectsSpec.model_validate(stored.spec)
    except ValidationError:
        return None
    found: dict[str, Evidence] = {}
    faults: list[str] = []
    for request, record in spec.requests.items():
        row = {'name': request, 'suspect': record}
        try:
            found[request] = _evidence(_SuspectRow.model_validate(row).suspect)
        except ValidationError as error:
            faults.append(f'{request} {_describe(error)}')
    if faults:
        log_warning('suspects-skipped', count=len(faults), first=faults[0])
    return None if faults and not found else found


def _evidence(one: _Suspect) -> Evidence:
    return Evidence(one.ended, frozenset(one.answered), one.lifted_at)


def encode_suspects(
    records: Mapping[str, Evidence],
    revision: int,
) -> dict[str, object]:
    """Return the object with the evidence on requests that end upstreams.

    Args:
        records: Evidence by name of the request.
        revision: Revision of the object to replace; 0 to create it.
    """
    metadata: dict[str, object] = {'name': SUSPECTS_NAME}
    if revision:
        metadata['revision'] = revision
    requests = {
        request: {
            'ended': dict(one.ended),
            'answered': sorted(one.answered),
            'lifted_at': one.lifted_at,
        }
        for request, one in records.items()
    }
    return {'metadata': metadata, 'spec': {'requests': requests}}


def _missing_fields(
    path: str,
    model: BaseModel,
    names: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the dotted paths of the missing fields of an object."""
    return tuple(
        f'{path}.{name}' for name in names if name not in model.model_fields_set
    )


def _defaulted_fields(parsed: _Configuration) -> tuple[str, ...]:
    gaps = list(
        _missing_fields('limits', parsed.limits, tuple(_Limits.model_fields))
    )
    for name, route in parsed.routes.items():
        path = f'routes.{name}'
        gaps.extend(_missing_fields(path, route, ('priority', 'max_attempts')))
    for name, service in parsed.services.items():
        path = f'services.{name}'
        gaps.extend(
            _missing_fields(path, service, tuple(_Service.model_fields))
        )
    return tuple(gaps)


def _decode_route(name: str, route: _Route) -> SteeredRoute:
    shares = tuple(
        ServiceShare(share.service, share.weight) for share in route.backends
    )
    if route.service is not None:
        shares = (ServiceShare(route.service, 1),)
    is_repeatable = route.kind == 'safe'
    return SteeredRoute(
        name=name,
        # Host names are compared without regard to case (RFC 9110, 4.2.3).
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeatability=(
            Repeatability.repeatable if is_repeatable else Repeatability.once
        ),
        shares=shares,
        max_attempts=route.max_attempts,
        timeout=route.timeout_ms / _MILLISECONDS,
        objective=route.target_latency_ms / _MILLISECONDS,
        priority=route.priority,
        is_sticky=route.sticky,
        regions=frozenset(route.allowed_regions),
        is_public=route.public,
    )
