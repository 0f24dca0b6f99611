"""Sample organisations for tests."""

from wardstair.version.organisations import (
    Organisation,
    OrganisationTable,
    digest_of,
)

CHOIR = Organisation('choir', priority=1)
BAND = Organisation('band', priority=3, regions=frozenset(('south',)))
CHOIR_KEY = 'choir-key-1'
BAND_KEY = 'band-key-1'


def organisation_table() -> OrganisationTable:
    """Return two organisations with an API key each."""
    return OrganisationTable(
        {CHOIR.name: CHOIR, BAND.name: BAND},
        {digest_of(CHOIR_KEY): CHOIR, digest_of(BAND_KEY): BAND},
    )
