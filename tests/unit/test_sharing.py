"""Encoding of the versions of a host's state as a query."""

import pytest
from lib.revisions import at

from wardstair.fleet.heartbeats import Versions
from wardstair.fleet.sharing import decode_versions, encode_versions


def test_versions_survive_encoding() -> None:
    versions = Versions(-1, at(2), at(3), 2**48 - 1, 2**48 - 2)
    assert decode_versions(encode_versions(versions)) == versions


@pytest.mark.parametrize(
    'text',
    [
        '',
        '1',
        '1.2',
        '1.2.3',
        '1.2.3.4',
        '1.2.3.4.5.6',
        '1.2.3.4.x',
        '1.2.3.4.',
        '1,2,3,4,5',
    ],
)
def test_malformed_queries_are_rejected(text: str) -> None:
    assert decode_versions(text) is None
