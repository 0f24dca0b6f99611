"""The settings file that the platform fills from `deploy/gateway.toml`.

The file is ours in form and names; only the texts under `bounds` come as the
platform writes them, `name=value`.
"""

import tomllib
from collections.abc import Mapping
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wardstair.decisions.mechanisms import Mechanism
from wardstair.decisions.placement_policies import POLICIES, PlacementPolicy
from wardstair.errors import ConfigurationError
from wardstair.gateway.settings import Bounds, GatewaySettings, Listener

_MILLISECONDS = 1000
_MEGABYTE = 1048576


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Listen(_Model):
    callers: str
    ready: str
    control: str
    lookups: str
    metrics: str


class _Limits(_Model):
    memory_megabytes: int = 300
    descriptors: int = 4096
    # Part of one core that a process may use, and how many times as fast that
    # core is as an ordinary one; not a number of cores.
    core_share: float = 1.0
    core_speed: float = 1.0


class _File(_Model):
    name: str
    address: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    fleet_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    store: str
    first_start: bool = False
    placement: str = 'warm-home'
    switched_off: frozenset[Mechanism] = frozenset()
    limits: _Limits = Field(default_factory=_Limits)
    bounds: tuple[str, ...] = ()


def load_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    Args:
        path: The file.

    Raises:
        ConfigurationError: The file cannot be read or is not valid.
    """
    try:
        parsed = _File.model_validate(tomllib.loads(path.read_text()))
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise ConfigurationError(
            f'the settings file {path} cannot be used: {error}',
            'compare it with deploy/gateway.toml',
        ) from error
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
        bounds=decode_bounds(parsed.bounds),
    )


def decode_bounds(texts: tuple[str, ...]) -> Bounds:
    """Decode the bounds; what is not named keeps its default.

    Args:
        texts: One `name=value` each; unknown names are ignored.
    """
    given = dict(text.partition('=')[::2] for text in texts)
    plain = Bounds()
    return Bounds(
        drain_seconds=_millis(given, 'drain_ms', plain.drain_seconds),
        grace_seconds=_number(given, 'grace_s', plain.grace_seconds),
        apply_seconds=_millis(given, 'config_apply_ms', plain.apply_seconds),
        contact_seconds=_millis(given, 'contact_ms', plain.contact_seconds),
        retry_ratio=_number(given, 'retry_budget_ratio', plain.retry_ratio),
        # A count of requests, not a time, though it stands among times.
        retry_extra=_number(given, 'budget_extra', plain.retry_extra),
        retry_window=_number(given, 'budget_window_s', plain.retry_window),
        cold_overshoot=_number(given, 'cold_overshoot', plain.cold_overshoot),
        # Requests in one second, not a rate factor.
        cold_slack=_number(given, 'cold_slack', plain.cold_slack),
        lookup_seconds=_number(given, 'ttl_max_s', plain.lookup_seconds),
        shift_share=_number(given, 'max_shift', plain.shift_share),
    )


def _placement(name: str) -> PlacementPolicy:
    policy = POLICIES.get(name)
    if policy is None:
        raise ConfigurationError(
            f'there is no placement policy {name}',
            f'name one of {", ".join(POLICIES)}',
        )
    return policy


def _number(given: Mapping[str, str], name: str, default: float) -> float:
    text = given.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise ConfigurationError(
            f'the bound {name} is not a number: {text}',
            'write it as name=number',
        ) from error


def _millis(given: Mapping[str, str], name: str, default: float) -> float:
    return _number(given, name, default * _MILLISECONDS) / _MILLISECONDS


def _listener(text: str) -> Listener:
    host, _, port = text.rpartition(':')
    if not port.isdecimal():
        raise ConfigurationError(
            f'the address {text} has no port',
            'write it as ip:port',
        )
    return Listener(host, int(port))
