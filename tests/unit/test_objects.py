"""Objects of the store with missing fields."""

import pytest
from lib.specs import configuration_spec, route_spec

from wardstair.errors import ConfigurationError
from wardstair.platform.objects import (
    Metadata,
    StoredObject,
    decode_configuration,
)


def stored(spec: object) -> StoredObject:
    return StoredObject(metadata=Metadata(name='any', revision=1), spec=spec)


def without(spec: dict[str, object], path: str) -> dict[str, object]:
    """Return a copy of a spec that lacks one field."""
    name, _, rest = path.partition('.')
    if not rest:
        return {key: one for key, one in spec.items() if key != name}
    inner = spec[name]
    assert isinstance(inner, dict)
    return {**spec, name: without(inner, rest)}


@pytest.mark.parametrize(
    'missing',
    [
        'routes.read.priority',
        'routes.read.max_attempts',
        'services.views.health_path',
        'services.views.max_conns',
        'services.views.cold_start_s',
        'services.views.cold_per_s',
        'limits.max_header_bytes',
        'limits.max_body_bytes',
        'limits.header_timeout_ms',
        'limits.idle_timeout_ms',
    ],
)
def test_missing_fields_of_a_configuration_are_reported(
    missing: str,
) -> None:
    complete = configuration_spec(1)
    assert not decode_configuration(stored(complete)).defaulted_fields
    assert decode_configuration(
        stored(without(complete, missing))
    ).defaulted_fields == (missing,)


@pytest.mark.parametrize(
    'fields',
    [
        {'service': None},
        {'service': None, 'backends': []},
        {'service': None, 'backends': [{'service': 'views', 'weight': 0}]},
    ],
)
def test_a_route_without_a_weighted_service_is_rejected(
    fields: dict[str, object],
) -> None:
    route = route_spec('/read/', 'safe', **fields)
    with pytest.raises(ConfigurationError, match='names no service'):
        decode_configuration(stored(configuration_spec(1, read=route)))
