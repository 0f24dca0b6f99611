"""What a host says it has, as another host reads it."""

import pytest
from lib.revisions import at

from wardstair.fleet.heartbeats import Versions
from wardstair.fleet.sharing import decode_versions, encode_versions


def test_versions_come_back_as_they_were_told() -> None:
    told = Versions(-1, at(2), at(3), 2**48 - 1, 2**48 - 2)
    assert decode_versions(encode_versions(told)) == told


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
def test_a_query_that_lacks_a_number_or_has_one_more_is_none(text: str) -> None:
    assert decode_versions(text) is None
