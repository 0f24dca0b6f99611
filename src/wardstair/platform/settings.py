"""Loads the settings file rendered by the platform from `deploy/gateway.toml`.

The project defines the file's format and keys; only the entries of `bounds`
have the platform's form, `name=value`.
"""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement_policies import POLICIES, PlacementPolicy
from wardstair.errors import ConfigurationError, Fault
from wardstair.gateway.settings import (
    Gap,
    GatewaySettings,
    Heartbeat,
    Listener,
)
from wardstair.platform.bounds import (
    decode_bounds,
    decode_organisation_bounds,
    decode_rollout_bounds,
)
from wardstair.version.faults import faults_of

_MEGABYTE = 1048576
_MILLISECONDS = 1000
_MAX_PORT = 65535
# The ports of the fleet are this one and the following ones.
_MAX_FLEET_PORT = _MAX_PORT - 2
# Beyond any machine, and far below what a float cannot hold.
_MAX_MEGABYTES = 1 << 30
_MAX_DESCRIPTORS = 1 << 30
_MAX_CORES = 1000000
_DAY_MILLISECONDS = 86400000

_Port = Annotated[int, Field(ge=1, le=_MAX_PORT)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Listen(_Model):
    callers: str
    ready: str
    control: str
    lookups: str
    metrics: str


class _Limits(_Model):
    # The defaults suit a small virtual machine: little memory, the usual soft
    # limit of file descriptors and one ordinary core.
    memory_megabytes: int = Field(default=128, gt=0, le=_MAX_MEGABYTES)
    descriptors: int = Field(default=1024, gt=0, le=_MAX_DESCRIPTORS)
    # Share of one core that the process may use, and the speed of that core
    # relative to an ordinary one; neither is a number of cores.
    core_share: float = Field(default=1.0, gt=0, le=_MAX_CORES)
    core_speed: float = Field(default=1.0, gt=0, le=_MAX_CORES)


class _File(_Model):
    name: str
    address: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    fleet_ports: tuple[Annotated[int, Field(ge=1, le=_MAX_FLEET_PORT)], _Port]
    seeds: tuple[str, ...] = ()
    store: str
    first_start: bool = False
    placement: str = 'warm-home'
    switched_off: frozenset[Mechanism] = frozenset()
    limits: _Limits = Field(default_factory=_Limits)
    heartbeat_milliseconds: float | None = Field(
        default=None, gt=0, le=_DAY_MILLISECONDS
    )
    bounds: tuple[str, ...] = ()


def load_settings(path: Path) -> GatewaySettings:
    """Load and validate a settings file.

    Args:
        path: Path of the file.

    Raises:
        ConfigurationError: The file cannot be read or is not valid.
    """
    try:
        content = tomllib.loads(path.read_text(encoding='utf-8'))
    # Text that is not UTF-8, an integer of too many digits and a file that is
    # not TOML are all a ValueError; brackets may also be nested too deep.
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError(
            f'the settings file {path} cannot be read: {error}',
            'compare it with deploy/gateway.toml',
        ) from error
    try:
        parsed = _File.model_validate(content)
    except ValidationError as error:
        faults = ' | '.join(map(str, faults_of(error, str(path))))
        raise ConfigurationError(
            f'the settings file is not valid: {faults}',
            'compare it with deploy/gateway.toml',
        ) from error
    if parsed.zone not in parsed.zones:
        raise ConfigurationError(
            f'the zone {parsed.zone} of this host has no region',
            'add the zone with its region to [zones]',
        )
    _check_host(parsed.address)
    decoded = decode_bounds(parsed.bounds)
    rollouts = decode_rollout_bounds(parsed.bounds)
    return GatewaySettings(
        name=parsed.name,
        address=parsed.address,
        zone=parsed.zone,
        zones=parsed.zones,
        callers=_listener(parsed.listen.callers),
        ready=_listener(parsed.listen.ready),
        control=_listener(parsed.listen.control),
        lookups=_listener(parsed.listen.lookups),
        metrics=_listener(parsed.listen.metrics),
        fleet_ports=parsed.fleet_ports,
        seeds=parsed.seeds,
        store=parsed.store,
        memory_bytes=parsed.limits.memory_megabytes * _MEGABYTE,
        descriptors=parsed.limits.descriptors,
        cores=parsed.limits.core_share * parsed.limits.core_speed,
        is_first_start=parsed.first_start,
        placement=_placement(parsed.placement),
        switched_off=parsed.switched_off,
        bounds=decoded.bounds,
        organisation_bounds=decode_organisation_bounds(parsed.bounds),
        rollout_bounds=rollouts.bounds,
        heartbeat=_heartbeat(parsed.heartbeat_milliseconds),
        gaps=(
            *_limit_gaps(parsed.limits),
            *_heartbeat_gaps(parsed.heartbeat_milliseconds),
            *decoded.gaps,
            *rollouts.gaps,
        ),
    )


def settings_faults(path: Path) -> list[Fault]:
    """Return the errors and missing settings of a settings file.

    Args:
        path: Path of the file.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        return [Fault(str(path), '(file)', error.message, error.hint)]
    return [
        Fault(
            str(path),
            gap.name,
            f'the setting is missing; the default {gap.used:g} is used',
            'set it in the fields of the deployment',
        )
        for gap in settings.gaps
    ]


def _heartbeat(milliseconds: float | None) -> Heartbeat:
    if milliseconds is None:
        return Heartbeat()
    return Heartbeat(milliseconds / _MILLISECONDS)


def _heartbeat_gaps(milliseconds: float | None) -> tuple[Gap, ...]:
    if milliseconds is not None:
        return ()
    used = Heartbeat().upstream_seconds * _MILLISECONDS
    return (Gap('heartbeat_milliseconds', used),)


def _limit_gaps(limits: _Limits) -> tuple[Gap, ...]:
    missing = _Limits.model_fields.keys() - limits.model_fields_set
    return tuple(
        Gap(f'limits.{name}', getattr(limits, name)) for name in sorted(missing)
    )


def _placement(name: str) -> PlacementPolicy:
    policy = POLICIES.get(name)
    if policy is None:
        raise ConfigurationError(
            f'unknown placement policy {name}',
            f'use one of {", ".join(POLICIES)}',
        )
    return policy


def _listener(text: str) -> Listener:
    host, _, port = text.rpartition(':')
    is_number = port.isdecimal() and len(port) <= len(str(_MAX_PORT))
    if not (is_number and 0 < int(port) <= _MAX_PORT):
        raise ConfigurationError(
            f'the address {text} has no port from 1 to {_MAX_PORT}',
            'write it as ip:port',
        )
    _check_host(host)
    return Listener(host, int(port))


def _check_host(host: str) -> None:
    """Reject a host that no name or address can be written as."""
    try:
        host.encode('idna')
    except UnicodeError as error:
        raise ConfigurationError(
            f'the host {host} is not an address: {error}',
            'write an IP address',
        ) from error
