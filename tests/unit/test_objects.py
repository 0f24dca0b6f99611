"""Objects of the store that leave out fields."""

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
def test_a_configuration_names_the_fields_that_it_leaves_out(
    missing: str,
) -> None:
    whole = configuration_spec(1)
    assert not decode_configuration(stored(whole)).defaulted_fields
    assert decode_configuration(
        stored(without(whole, missing))
    ).defaulted_fields == (missing,)


@pytest.mark.parametrize(
    'fields',
    [
        {'service': None},
        {'service': None, 'backends': []},
        {'service': None, 'backends': [{'service': 'views', 'weight': 0}]},
    ],
)
def test_a_route_that_leads_nowhere_is_no_configuration(
    fields: dict[str, object],
) -> None:
    route = route_spec('/read/', 'safe', **fields)
    with pytest.raises(ConfigurationError, match='names no service'):
        decode_configuration(stored(configuration_spec(1, read=route)))
