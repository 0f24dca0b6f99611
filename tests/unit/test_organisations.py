"""Decoding of organisations, and their effect on requests."""

import pytest
from lib.organisations import BAND, CHOIR
from lib.routes import route_of
from lib.specs import Stored, configuration_spec, route_spec
from lib.upstreams import Clock

from wardstair.decisions.permitted_regions import (
    NO_REGION,
    permitted_regions_for,
)
from wardstair.decisions.queueing import queue_share
from wardstair.decisions.request_identity import identity_of
from wardstair.errors import ConfigurationError
from wardstair.platform.headers import decode_caller, encode_upstream
from wardstair.platform.objects import (
    Metadata,
    StoredObject,
    decode_configuration,
)
from wardstair.state.catalog import Catalog
from wardstair.state.freshness import ConfigurationFreshness
from wardstair.state.local_state import LocalState
from wardstair.version.organisations import Organisation, Quota
from wardstair.version.steering import Steering

SECRET = 'a-secret-key'


def spec_of(tenants: object, version: int = 1) -> Stored:
    return {**configuration_spec(version), 'tenants': tenants}


def stored(spec: object) -> StoredObject:
    return StoredObject(metadata=Metadata(name='main', revision=1), spec=spec)


def decoded(tenants: object) -> Steering:
    return decode_configuration(stored(spec_of(tenants)))


TENANT = {
    'api_keys': [SECRET, 'another'],
    'priority': 2,
    'rate_per_s': 30,
    'burst': 10,
    'allowed_regions': ['south'],
}
DECODED = Organisation('choir', 2, frozenset(('south',)), Quota(30, 10))


@pytest.mark.parametrize(
    'tenants',
    [{'choir': TENANT}, [{'name': 'choir', **TENANT}]],
    ids=['table', 'list'],
)
def test_organisations_are_decoded(tenants: object) -> None:
    table = decoded(tenants).organisations
    assert table.by_name == {'choir': DECODED}
    assert table.owner_of(SECRET) == DECODED
    assert table.owner_of('another') == DECODED
    assert table.owner_of('') is None


def test_routes_are_public_only_if_configured() -> None:
    public = route_spec('/public/', 'safe', public=True)
    spec = configuration_spec(1, open=public, read=route_spec('/r/', 'safe'))
    is_public = {
        route.name: route.is_public
        for route in decode_configuration(stored(spec)).routes
    }
    assert is_public == {'open': True, 'read': False}


@pytest.mark.parametrize(
    ('tenants', 'named'),
    [
        ({'choir': {'api_keys': [SECRET, '']}}, 'tenants.choir.api_keys'),
        (
            {'choir': {'api_keys': [SECRET]}, 'band': {'api_keys': [SECRET]}},
            'choir and band',
        ),
        ({'choir': {'api_keys': SECRET}}, 'tenants.choir'),
        ({'choir': {'api_keys': [SECRET], 'rate_per_s': -1}}, 'rate_per_s'),
        ({'choir': {'api_keys': [SECRET], 'burst': -1}}, 'burst'),
        ({'ch\r\noir': {'api_keys': [SECRET]}}, 'tenants'),
        ([{'api_keys': [SECRET]}], 'name'),
        ([{'name': 'choir'}, {'name': 'choir'}], 'choir'),
    ],
)
def test_invalid_organisations_are_rejected_without_disclosing_a_key(
    tenants: object,
    named: str,
) -> None:
    local_state = LocalState(Clock(), Catalog(Clock()))
    assert local_state.offer_configuration(
        stored(spec_of({'choir': TENANT})), 'test'
    )
    with pytest.raises(ConfigurationError, match=named) as raised:
        decoded(tenants)
    assert SECRET not in str(raised.value)
    # The previous version stays in force.
    assert not local_state.offer_configuration(
        stored(spec_of(tenants, version=2)), 'test'
    )
    assert local_state.steering is not None
    assert local_state.steering.organisations.owner_of(SECRET) == DECODED


@pytest.mark.parametrize(
    ('routes', 'named'),
    [
        ({'read': route_spec('/r/', 'safe', service='gone')}, 'gone'),
        (
            {
                'read': route_spec('/r/', 'safe'),
                'also': route_spec('/r/', 'unsafe'),
            },
            '/r/',
        ),
    ],
)
def test_inconsistent_routes_are_rejected(
    routes: dict[str, Stored],
    named: str,
) -> None:
    with pytest.raises(ConfigurationError, match=named):
        decode_configuration(stored(configuration_spec(1, **routes)))


NORTH = frozenset(('north',))
SOUTH = frozenset(('south',))
ALL = frozenset[str]()


@pytest.mark.parametrize(
    ('route', 'organisation', 'regions'),
    [
        (ALL, ALL, ALL),
        (NORTH, ALL, NORTH),
        (ALL, SOUTH, SOUTH),
        (NORTH | SOUTH, SOUTH, SOUTH),
        (NORTH, SOUTH, NO_REGION),
    ],
)
def test_regions_of_route_and_organisation_both_apply(
    route: frozenset[str],
    organisation: frozenset[str],
    regions: frozenset[str],
) -> None:
    restricted = route_of({'views': 1}, regions=route)
    owner = Organisation('choir', regions=organisation)
    assert permitted_regions_for(restricted, owner) == regions
    assert permitted_regions_for(restricted, None) == route


def test_organisation_priority_takes_precedence_over_route_priority() -> None:
    shares = [
        queue_share(route, organisation)
        for organisation in (0, 1, 2)
        for route in (0, 1, 2)
    ]
    assert shares == sorted(shares, reverse=True)
    assert len(set(shares)) == len(shares)
    assert queue_share(1, None) == pytest.approx(2.0)


def test_the_api_key_is_removed_and_a_forged_organisation_replaced() -> None:
    fields = decode_caller(
        [
            ('Wardstair-Attempt-Id', 'r1'),
            ('wardstair-credential', SECRET),
            ('Wardstair-Tenant', 'forged'),
            ('Accept', '*/*'),
        ]
    )
    assert fields.api_keys == (SECRET,)
    sent = encode_upstream(fields.forwarded_headers, 1.0, 'i-1', BAND.name)
    assert ('Wardstair-Tenant', BAND.name) in sent
    assert 'forged' not in str(sent)
    assert SECRET not in str(sent)
    unknown = encode_upstream(fields.forwarded_headers, 1.0, 'i-1')
    assert 'Wardstair-Tenant' not in dict(unknown)


def test_request_identity_differs_between_organisations() -> None:
    names = {
        identity_of('GET', 'music.example', '/x', (), (), organisation)
        for organisation in ('', CHOIR.name, BAND.name)
    }
    assert len(names) == 3


def test_a_configuration_ages_without_contact_with_the_store() -> None:
    clock = Clock()
    has_contact = True
    freshness = ConfigurationFreshness(clock, lambda: has_contact)
    freshness.refresh()
    clock.now += 3.0
    freshness.refresh()
    assert freshness.age == 0
    has_contact = False
    clock.now += 3.0
    freshness.refresh()
    assert freshness.age == pytest.approx(3.0)
