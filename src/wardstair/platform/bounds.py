"""The operators' bounds, decoded from the texts of the settings file."""

import math
from dataclasses import dataclass

from wardstair.errors import ConfigurationError
from wardstair.gateway.settings import Bounds, Gap, OrganisationBounds

_MILLISECONDS = 1000
# Where the platform lists its bounds, the template puts an entry's number
# before the entry's own `name=value`.
_PARTS_OF_LISTED = 3


@dataclass(frozen=True, slots=True)
class _Bound:
    """A bound as the platform names it.

    Attributes:
        name: Its name.
        unit: How many of the platform's units make one of ours.
        minimum: The smallest value that makes sense, in the platform's unit.
    """

    name: str
    unit: int = 1
    minimum: float = 0.0


# The platform's bound of each field of `Bounds`.
BOUNDS = {
    'drain_seconds': _Bound('drain_ms', _MILLISECONDS, minimum=1),
    'grace_seconds': _Bound('grace_s', minimum=1),
    'apply_seconds': _Bound('config_apply_ms', _MILLISECONDS, minimum=1),
    'evacuate_seconds': _Bound('evacuate_ms', _MILLISECONDS, minimum=1),
    'contact_seconds': _Bound('contact_ms', _MILLISECONDS, minimum=1),
    'retry_ratio': _Bound('retry_budget_ratio'),
    # A count of requests, not a time, though it stands among times.
    'retry_extra': _Bound('budget_extra'),
    'retry_window': _Bound('budget_window_s', minimum=1),
    'cold_overshoot': _Bound('cold_overshoot', minimum=1),
    # Requests in one second, not a rate factor.
    'cold_slack': _Bound('cold_slack'),
    'lookup_seconds': _Bound('ttl_max_s'),
    'shift_share': _Bound('max_shift'),
}


_REVOKE = _Bound('revoke_ms', _MILLISECONDS, minimum=1)
_QUOTAS = {
    'quota_window': _Bound('quota_window_s', minimum=0.1),
    'quota_overshoot': _Bound('quota_overshoot'),
    # Number of requests.
    'quota_slack': _Bound('quota_slack'),
}
# Whether the time limit for revocations also applies to hosts without contact.
_STRICT_REVOKE = 'strict_revoke'
_FLAGS = {'true': True, 'false': False}


@dataclass(frozen=True, slots=True)
class DecodedBounds:
    """Bounds with those that were not given.

    Attributes:
        bounds: All bounds.
        gaps: Those for which a default stands in.
    """

    bounds: Bounds
    gaps: tuple[Gap, ...]


def decode_bounds(texts: tuple[str, ...]) -> DecodedBounds:
    """Decode the bounds; one that is not given gets its cautious default.

    Args:
        texts: One `name=value` or `number=name=value` each; names that mean
            nothing here are ignored.

    Raises:
        ConfigurationError: An entry has no name, or its value cannot be used.
    """
    given = dict(_named(text) for text in texts)
    stated = {
        field: _decode(bound, given[bound.name])
        for field, bound in BOUNDS.items()
        if bound.name in given
    }
    plain = Bounds()
    gaps = tuple(
        Gap(f'bounds.{bound.name}', getattr(plain, field) * bound.unit)
        for field, bound in BOUNDS.items()
        if field not in stated
    )
    return DecodedBounds(Bounds(**stated), gaps)


def decode_organisation_bounds(texts: tuple[str, ...]) -> OrganisationBounds:
    """Decode the bounds of deployments where organisations have API keys.

    Args:
        texts: As for `decode_bounds`.

    Raises:
        ConfigurationError: A value cannot be used.
    """
    given = dict(_named(text) for text in texts)
    stated = {
        field: _decode(bound, given[bound.name])
        for field, bound in _QUOTAS.items()
        if bound.name in given
    }
    is_strict = _decode_flag(given.get(_STRICT_REVOKE, 'false'))
    if is_strict and _REVOKE.name in given:
        stated['revoke_seconds'] = _decode(_REVOKE, given[_REVOKE.name])
    return OrganisationBounds(**stated)


def _decode_flag(text: str) -> bool:
    if text not in _FLAGS:
        raise ConfigurationError(
            f'the bound {_STRICT_REVOKE} cannot be used: {text}',
            f'set {_STRICT_REVOKE}=true or {_STRICT_REVOKE}=false',
        )
    return _FLAGS[text]


def _named(text: str) -> tuple[str, str]:
    parts = text.split('=')
    if len(parts) == _PARTS_OF_LISTED and parts[0].isdecimal():
        parts = parts[1:]
    name = parts[0].strip()
    if len(parts) != 2 or not name or name.isdecimal():
        raise ConfigurationError(
            f'the bound {text} has no name',
            'write it as name=number',
        )
    return name, parts[1].strip()


def _decode(bound: _Bound, text: str) -> float:
    try:
        number = float(text)
    except ValueError as error:
        raise _unusable(bound, text) from error
    if not math.isfinite(number) or number < bound.minimum:
        raise _unusable(bound, text)
    return number / bound.unit


def _unusable(bound: _Bound, text: str) -> ConfigurationError:
    return ConfigurationError(
        f'the bound {bound.name} cannot be used: {text}',
        f'write it as {bound.name}=number, {bound.minimum:g} or more',
    )
