"""Authorisation of requests by API key."""

import pytest
from lib.organisations import (
    BAND,
    BAND_KEY,
    CHOIR,
    CHOIR_KEY,
    organisation_table,
)

from wardstair.decisions.authorisation import (
    MAX_API_KEY_LENGTH,
    ApiKeyFault,
    Authorised,
    Freshness,
    Unauthorised,
    Unverified,
    Verdict,
    authorise,
)
from wardstair.version.organisations import OrganisationTable

CURRENT = Freshness()
DISCONNECTED = Freshness(is_current=False)
EXPIRED = Freshness(is_current=False, is_expired=True)
NO_KEY: tuple[str, ...] = ()
MISSING = Unauthorised(ApiKeyFault.missing)
UNKNOWN = Unauthorised(ApiKeyFault.unknown)


@pytest.mark.parametrize(
    ('api_keys', 'freshness', 'verdict'),
    [
        ((CHOIR_KEY,), CURRENT, Authorised(CHOIR)),
        ((BAND_KEY,), CURRENT, Authorised(BAND)),
        (NO_KEY, CURRENT, MISSING),
        (('',), CURRENT, Unauthorised(ApiKeyFault.empty)),
        (('other',), CURRENT, UNKNOWN),
        ((CHOIR_KEY.upper(),), CURRENT, UNKNOWN),
        ((CHOIR_KEY, CHOIR_KEY), CURRENT, Unauthorised(ApiKeyFault.repeated)),
        ((CHOIR_KEY, BAND_KEY), CURRENT, Unauthorised(ApiKeyFault.repeated)),
        (
            ('x' * (MAX_API_KEY_LENGTH + 1),),
            CURRENT,
            Unauthorised(ApiKeyFault.oversized),
        ),
        # A host without contact accepts the keys it knows; an unknown one may
        # have been added meanwhile.
        ((CHOIR_KEY,), DISCONNECTED, Authorised(CHOIR)),
        (('other',), DISCONNECTED, Unverified(ApiKeyFault.unknown)),
        (NO_KEY, DISCONNECTED, MISSING),
        # After the time limit for revocations it accepts no key.
        ((CHOIR_KEY,), EXPIRED, Unverified(ApiKeyFault.outdated)),
        (NO_KEY, EXPIRED, MISSING),
    ],
)
def test_a_route_that_is_not_public_requires_exactly_one_valid_key(
    api_keys: tuple[str, ...],
    freshness: Freshness,
    verdict: Verdict,
) -> None:
    table = organisation_table()
    assert authorise(api_keys, table, freshness, is_public=False) == verdict


@pytest.mark.parametrize(
    ('api_keys', 'verdict'),
    [
        (NO_KEY, Authorised(None)),
        (('other',), Authorised(None)),
        ((CHOIR_KEY, BAND_KEY), Authorised(None)),
        ((CHOIR_KEY,), Authorised(CHOIR)),
    ],
)
@pytest.mark.parametrize('freshness', [CURRENT, DISCONNECTED, EXPIRED])
def test_a_public_route_requires_no_key(
    api_keys: tuple[str, ...],
    freshness: Freshness,
    verdict: Verdict,
) -> None:
    table = organisation_table()
    assert authorise(api_keys, table, freshness, is_public=True) == verdict


@pytest.mark.parametrize('api_keys', [NO_KEY, ('any',)])
def test_without_organisations_no_key_is_required(
    api_keys: tuple[str, ...],
) -> None:
    verdict = authorise(api_keys, OrganisationTable(), EXPIRED, is_public=False)
    assert verdict == Authorised(None)
