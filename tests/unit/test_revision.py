"""The order of revisions of a store that may be restored from a backup."""

import pytest
from lib.revisions import at

from wardstair.state.revision import NO_REVISION, Revision


@pytest.mark.parametrize(
    ('older', 'newer'),
    [
        pytest.param(at(5), at(6), id='later in one era'),
        pytest.param(at(40, era=1), at(5, era=2), id='issued again'),
        pytest.param(at(40, era=1), at(40, era=3), id='two restores later'),
        pytest.param(NO_REVISION, at(0), id='anything after nothing'),
        # A store that does not report its era.
        pytest.param(at(5, era=0), at(6, era=0), id='no eras'),
    ],
)
def test_a_later_era_is_newer_for_any_numbers(
    older: Revision,
    newer: Revision,
) -> None:
    assert older < newer
    assert max(newer, older) == newer
