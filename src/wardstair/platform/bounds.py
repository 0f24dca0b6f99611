"""Decodes the operators' bounds from the settings file."""

import math
from dataclasses import dataclass, replace

from wardstair.decisions.rollouts import RolloutBounds
from wardstair.errors import ConfigurationError
from wardstair.gateway.settings import Bounds, Gap, OrganisationBounds

_MILLISECONDS = 1000
# If the platform passes its bounds as a list, the template prepends the index
# of an entry to its `name=value`.
_INDEXED_ENTRY_PARTS = 3


@dataclass(frozen=True, slots=True)
class _Bound:
    """A bound as the platform defines it.

    Attributes:
        name: Name on the platform.
        divisor: Number by which a value in the platform's unit is divided to
            convert it to the internal unit.
        minimum: Smallest valid value, in the platform's unit.
        maximum: Largest valid value, in the platform's unit.
    """

    name: str
    divisor: int = 1
    minimum: float = 0.0
    maximum: float = math.inf


# The platform's bounds by field of `Bounds`.
BOUNDS = {
    'drain_seconds': _Bound('drain_ms', _MILLISECONDS, minimum=1),
    'grace_seconds': _Bound('grace_s', minimum=1),
    'apply_seconds': _Bound('config_apply_ms', _MILLISECONDS, minimum=1),
    'evacuate_seconds': _Bound('evacuate_ms', _MILLISECONDS, minimum=1),
    'contact_seconds': _Bound('contact_ms', _MILLISECONDS, minimum=1),
    'retry_ratio': _Bound('retry_budget_ratio'),
    # Number of requests; most other bounds are times.
    'retry_extra': _Bound('budget_extra'),
    'retry_window': _Bound('budget_window_s', minimum=1),
    'cold_overshoot': _Bound('cold_overshoot', minimum=1),
    # Number of requests per second; `cold_overshoot` is a factor of the rate.
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
_ROLLOUTS = {
    'share': _Bound('expose_share', maximum=1),
    # Number of requests.
    'slack': _Bound('expose_slack'),
    'rollback_seconds': _Bound('rollback_ms', _MILLISECONDS, minimum=1),
}
# Used for a missing one if others are given: nothing beyond the stated bounds,
# and the shortest time that hosts can keep.
_STRICT_ROLLOUTS = RolloutBounds(share=0.0, slack=0.0, rollback_seconds=1.0)
# Whether the time limit for revocations also applies to hosts without contact.
_STRICT_REVOKE = 'strict_revoke'
_FLAGS = {'true': True, 'false': False}


@dataclass(frozen=True, slots=True)
class DecodedBounds:
    """Decoded bounds and the missing ones.

    Attributes:
        bounds: All bounds.
        gaps: Missing bounds, for which the default applies.
    """

    bounds: Bounds
    gaps: tuple[Gap, ...]


@dataclass(frozen=True, slots=True)
class DecodedRolloutBounds:
    """Decoded bounds of roll-outs and the missing ones.

    Attributes:
        bounds: The bounds; None if roll-outs are not in use.
        gaps: Missing bounds, for which the default applies.
    """

    bounds: RolloutBounds | None
    gaps: tuple[Gap, ...] = ()


def decode_bounds(texts: tuple[str, ...]) -> DecodedBounds:
    """Decode the bounds; a missing one gets its strict default.

    Args:
        texts: Entries of the form `name=value` or `index=name=value`; unknown
            names are ignored.

    Raises:
        ConfigurationError: An entry has no name, or its value is invalid.
    """
    given = dict(_split_entry(text) for text in texts)
    decoded = {
        field: _decode(bound, given[bound.name])
        for field, bound in BOUNDS.items()
        if bound.name in given
    }
    defaults = Bounds()
    gaps = tuple(
        Gap(f'bounds.{bound.name}', getattr(defaults, field) * bound.divisor)
        for field, bound in BOUNDS.items()
        if field not in decoded
    )
    return DecodedBounds(Bounds(**decoded), gaps)


def decode_organisation_bounds(texts: tuple[str, ...]) -> OrganisationBounds:
    """Decode the bounds of deployments where organisations have API keys.

    Args:
        texts: As for `decode_bounds`.

    Raises:
        ConfigurationError: A value is invalid.
    """
    given = dict(_split_entry(text) for text in texts)
    decoded = {
        field: _decode(bound, given[bound.name])
        for field, bound in _QUOTAS.items()
        if bound.name in given
    }
    is_strict = _decode_flag(given.get(_STRICT_REVOKE, 'false'))
    if is_strict and _REVOKE.name in given:
        decoded['revoke_seconds'] = _decode(_REVOKE, given[_REVOKE.name])
    return OrganisationBounds(**decoded)


def decode_rollout_bounds(texts: tuple[str, ...]) -> DecodedRolloutBounds:
    """Decode the bounds of roll-outs, which are in use if any is given.

    Args:
        texts: As for `decode_bounds`.

    Raises:
        ConfigurationError: A value is invalid.
    """
    given = dict(_split_entry(text) for text in texts)
    decoded = {
        field: _decode(bound, given[bound.name])
        for field, bound in _ROLLOUTS.items()
        if bound.name in given
    }
    if not decoded:
        return DecodedRolloutBounds(None)
    gaps = tuple(
        Gap(
            f'bounds.{bound.name}',
            getattr(_STRICT_ROLLOUTS, field) * bound.divisor,
        )
        for field, bound in _ROLLOUTS.items()
        if field not in decoded
    )
    return DecodedRolloutBounds(replace(_STRICT_ROLLOUTS, **decoded), gaps)


def _decode_flag(text: str) -> bool:
    if text not in _FLAGS:
        raise ConfigurationError(
            f'the bound {_STRICT_REVOKE} is not a boolean: {text}',
            f'set {_STRICT_REVOKE}=true or {_STRICT_REVOKE}=false',
        )
    return _FLAGS[text]


def _split_entry(text: str) -> tuple[str, str]:
    parts = text.split('=')
    if len(parts) == _INDEXED_ENTRY_PARTS and parts[0].isdecimal():
        parts = parts[1:]
    name = parts[0].strip()
    if len(parts) != 2 or not name or name.isdecimal():
        raise ConfigurationError(
            f'the bound {text} has no name',
            'write it as name=value',
        )
    return name, parts[1].strip()


def _decode(bound: _Bound, text: str) -> float:
    try:
        number = float(text)
    except ValueError as error:
        raise _invalid_value(bound, text) from error
    is_in_range = bound.minimum <= number <= bound.maximum
    if not (math.isfinite(number) and is_in_range):
        raise _invalid_value(bound, text)
    return number / bound.divisor


def _invalid_value(bound: _Bound, text: str) -> ConfigurationError:
    valid = f'{bound.minimum:g} or greater'
    if math.isfinite(bound.maximum):
        valid = f'from {bound.minimum:g} to {bound.maximum:g}'
    return ConfigurationError(
        f'the bound {bound.name} has an invalid value: {text}',
        f'write it as {bound.name}=number, {valid}',
    )
