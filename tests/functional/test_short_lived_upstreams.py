"""Upstreams that leave before all hosts have read their registration."""

import pytest
from lib.news_troubles import BOUNDS, play_troubles

from wardstair.decisions.timing import MAX_BOUND_SHARE

# Zones per region, of which there are three, and hosts per zone.
ZONES = 2
HOSTS = 2


@pytest.mark.parametrize('seed', [2, 42, 48, 55, 84])
def test_no_host_uses_an_upstream_that_left_soon_after_its_start(
    seed: int,
) -> None:
    troubles = ('short_lives', 'answers_spread')
    outcome = play_troubles(troubles, ZONES, HOSTS, seed)
    used = max(outcome.held.seconds, outcome.ran.seconds)
    assert used <= BOUNDS.drain_seconds * MAX_BOUND_SHARE
