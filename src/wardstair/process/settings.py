"""Settings of one process, read from TOML and validated."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from wardstair.errors import Fault
from wardstair.version.document import Address, Name, read_toml
from wardstair.version.faults import faults_of

LOOPBACK_PREFIX = '127.'


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class TlsSettings(_Model):
    """Files of a TLS listener; `authority` requires client certificates."""

    certificate: Path
    key: Path
    authority: Path | None = None


class ListenSettings(_Model):
    """Address of a listener and whether it uses TLS."""

    address: Address
    tls: TlsSettings | None = None
    allow_plain: bool = False


class ListenersSettings(_Model):
    """The separate listeners of an entry host."""

    callers: ListenSettings
    peers: ListenSettings
    forward: ListenSettings
    operators: ListenSettings


class HostSettings(_Model):
    """Name and location of this process."""

    name: Name
    zone: Name
    region: Name


class PlatformSettings(_Model):
    """Access to the platform's object API."""

    url: Annotated[str, Field(pattern='^https?://')]
    timeout_seconds: Annotated[float, Field(gt=0)] = 2.0
    calls_per_second: Annotated[float, Field(gt=0)] = 5.0


class LimitSettings(_Model):
    """Limits that protect this process from overload."""

    once_body_bytes: Annotated[int, Field(ge=1)] = 1048576
    once_keys: Annotated[int, Field(ge=1)] = 20000
    waiting_requests: Annotated[int, Field(ge=0)] = 256
    header_bytes: Annotated[int, Field(ge=1024)] = 32768
    header_seconds: Annotated[float, Field(gt=0)] = 10.0
    upstream_transfers: Annotated[int, Field(ge=1)] = 800


class TimingSettings(_Model):
    """Heartbeat interval; the same on all hosts of a deployment.

    A zone reports its state to the other zones at every second heartbeat.
    """

    beat_seconds: Annotated[float, Field(gt=0, le=2)] = 1.0


class EntrySettings(_Model):
    """Settings of `wardstair-entry`."""

    host: HostSettings
    listen: ListenersSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    seeds: tuple[Address, ...] = ()
    operator_token_hashes: tuple[
        Annotated[str, Field(pattern='^[0-9a-f]{64}$')], ...
    ] = ()
    trusted_resolvers: tuple[str, ...] = ()


def read_settings(path: Path) -> Result[EntrySettings, list[Fault]]:
    """Read and check the settings file of an entry host."""
    return read_toml(path).and_then(
        lambda content: check_settings(content, str(path)),
    )


def check_settings(
    content: object,
    source: str,
) -> Result[EntrySettings, list[Fault]]:
    """Validate the content of a settings file.

    Args:
        content: Mapping as read from TOML.
        source: Name of the file in error messages.
    """
    try:
        settings = EntrySettings.model_validate(content)
    except ValidationError as error:
        return Err(faults_of(error, source))
    faults = [
        *_missing_tls_faults(settings, source),
        *_tls_faults(settings, source),
    ]
    return Err(faults) if faults else Ok(settings)


def _missing_tls_faults(settings: EntrySettings, source: str) -> list[Fault]:
    listeners = {
        'callers': settings.listen.callers,
        'peers': settings.listen.peers,
        'forward': settings.listen.forward,
        'operators': settings.listen.operators,
    }
    return [
        Fault(
            source,
            f'listen.{name}.tls',
            f'{listener.address} is not loopback and has no TLS',
            'set certificate and key, or set allow_plain = true',
        )
        for name, listener in listeners.items()
        if listener.tls is None
        and not listener.allow_plain
        and not listener.address.startswith(LOOPBACK_PREFIX)
    ]


def _tls_faults(settings: EntrySettings, source: str) -> list[Fault]:
    host_listeners = {
        'peers': settings.listen.peers,
        'forward': settings.listen.forward,
    }
    return [
        Fault(
            source,
            f'listen.{name}.tls',
            'TLS between entry hosts is not supported yet',
            'remove it, and keep this listener on a private network',
        )
        for name, listener in host_listeners.items()
        if listener.tls is not None
    ]
