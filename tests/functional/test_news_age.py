"""Age of the state of hosts while two hops of the propagation path fail."""

import pytest
from lib.news_troubles import BOUNDS, play_troubles

from wardstair.decisions.timing import MAX_BOUND_SHARE

# Zones per region, of which there are three, and hosts per zone.
ZONES = 2
HOSTS = 1


@pytest.mark.parametrize(
    ('troubles', 'seed'),
    [
        pytest.param(('successors_still', 'ways_late'), 2, id='ways late'),
        pytest.param(('successors_still', 'store_late'), 2, id='store late'),
        pytest.param(('watches_silent', 'ways_late'), 1, id='watches silent'),
    ],
)
def test_no_host_uses_a_leaving_upstream_for_long_while_two_hops_fail(
    troubles: tuple[str, ...],
    seed: int,
) -> None:
    outcome = play_troubles(troubles, ZONES, HOSTS, seed)
    used = max(outcome.held.seconds, outcome.ran.seconds)
    assert used <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
