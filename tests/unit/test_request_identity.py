"""Which tries count as the same request."""

from typing import Any

import pytest

from wardstair.decisions.request_identity import identity_of

PLAIN: dict[str, Any] = {
    'method': 'GET',
    'host': 'music.example',
    'target': '/read/x',
    'body': (),
}
TOKEN = (('Authorization', 'Bearer a'),)


@pytest.mark.parametrize(
    ('changed', 'headers', 'is_same'),
    [
        pytest.param({}, (), True, id='again'),
        pytest.param({}, (('Cookie', 'session=2'),), True, id='new cookie'),
        pytest.param({}, TOKEN, False, id='another caller'),
        pytest.param({'method': 'POST'}, (), False, id='method'),
        pytest.param({'host': 'other.example'}, (), False, id='host'),
        pytest.param({'target': '/read/x?y'}, (), False, id='query'),
        pytest.param({'body': (b'1',)}, (), False, id='body'),
    ],
)
def test_identity_depends_on_bytes_and_credentials(
    changed: dict[str, Any],
    headers: tuple[tuple[str, str], ...],
    is_same: bool,
) -> None:
    other = identity_of(**{**PLAIN, **changed}, headers=headers)
    assert (other == identity_of(**PLAIN)) is is_same


def test_parts_of_the_identity_are_separated() -> None:
    assert identity_of('A', 'b', 'c', ()) != identity_of('A', 'bc', '', ())
