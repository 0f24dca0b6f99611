"""Periods that are derived from the bounds of a deployment."""

import pytest
from lib.rig import gateway_settings

from wardstair.decisions.timing import KEPT_SHARE, chains_for, timing_for
from wardstair.fleet.heartbeat_endpoint import HEARTBEAT_SECONDS, JITTER
from wardstair.fleet.members import SILENT_SECONDS
from wardstair.gateway.settings import Bounds
from wardstair.state.exchange import GRACE_SECONDS
from wardstair.state.sync import LAG_SECONDS

# Both graces, 2.5 round trips between regions 60 ms apart, and some work.
SPREAD_SECONDS = 2 * GRACE_SECONDS + 2.5 * 0.12 + 0.12
BOUNDS = (1.5, 2.0, 2.5, 3.0, 4.0, 5.0)


@pytest.mark.parametrize('failure', list(chains_for(2.5)))
@pytest.mark.parametrize('news', BOUNDS)
def test_news_is_known_in_time_though_a_link_fails(
    news: float,
    failure: str,
) -> None:
    taken = sum(link.seconds for link in chains_for(news)[failure])
    assert taken <= news * KEPT_SHARE + 1e-9


@pytest.mark.parametrize('news', BOUNDS)
def test_the_chains_are_made_of_the_periods_in_force(news: float) -> None:
    timing = timing_for(news, 4.0)
    links = {
        link.name: link.seconds
        for links in chains_for(news).values()
        for link in links
    }
    assert links['clock waits'] == timing.watch
    assert links['clock is late'] == timing.slack
    assert links['changes are joined'] == timing.pause
    assert links['it is lost once'] == timing.repeat
    assert links['look at roles'] == timing.role_look
    assert links['sentinels are silent'] == timing.sentinel_silence


@pytest.mark.parametrize(
    ('news', 'calls_a_second'),
    [
        pytest.param(2.0, 3.0, id='2 s'),
        pytest.param(2.5, 2.0, id='2.5 s'),
        pytest.param(3.0, 1.5, id='3 s'),
        pytest.param(4.0, 1.0, id='4 s'),
        pytest.param(5.0, 1.0, id='5 s'),
    ],
)
def test_clocks_cost_no_more_calls_than_two_equal_ones(
    news: float,
    calls_a_second: float,
) -> None:
    timing = timing_for(news, 4.0)
    calls = 1 / timing.watch + 1 / timing.second_watch
    assert calls <= 1.05 * calls_a_second


@pytest.mark.parametrize('news', BOUNDS)
def test_one_lost_heartbeat_replaces_no_sentinel(news: float) -> None:
    timing = timing_for(news, 4.0)
    assert 2 * timing.sentinel_beat < timing.sentinel_silence


@pytest.mark.parametrize('news', [2.0, 2.5, 3.0, 4.0, 6.0, 60.0])
def test_a_change_that_a_watch_has_missed_is_known_in_time(
    news: float,
) -> None:
    timing = timing_for(news, 4.0)
    missed = timing.watch + LAG_SECONDS + timing.pause + SPREAD_SECONDS
    assert missed < news
    lost_heartbeat = HEARTBEAT_SECONDS * (1 + JITTER)
    assert timing.pause + SPREAD_SECONDS + lost_heartbeat < max(news, 2.5)
    assert timing.replaced <= max(news, lost_heartbeat * 1.5)


@pytest.mark.parametrize('contact', [1.0, 3.0, 4.0, 8.0, 60.0])
def test_contact_is_proved_before_it_counts(contact: float) -> None:
    timing = timing_for(2.5, contact)
    assert 2 * timing.proof <= contact
    assert timing.rare_proof > timing.proof


@pytest.mark.parametrize('news', [0.5, 2.5, 60.0])
def test_one_lost_heartbeat_replaces_nobody(news: float) -> None:
    replaced = timing_for(news, 4.0).replaced
    assert HEARTBEAT_SECONDS * (1 + JITTER) < replaced < SILENT_SECONDS


@pytest.mark.parametrize(
    'tight',
    ['drain_seconds', 'apply_seconds', 'evacuate_seconds'],
)
def test_the_tightest_bound_on_news_decides(tight: str) -> None:
    wide = {
        'drain_seconds': 4.0,
        'apply_seconds': 4.0,
        'evacuate_seconds': 5.0,
        'contact_seconds': 3.0,
    }
    bounds = Bounds(**{**wide, tight: 2.0})
    settings = gateway_settings(1, bounds=bounds)
    assert settings.timing == timing_for(2.0, 3.0)
    loose = gateway_settings(1, bounds=Bounds(**wide))
    assert loose.timing == timing_for(4.0, 3.0)
