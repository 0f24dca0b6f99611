"""Periods derived from the bounds of a deployment."""

import pytest
from lib.rig import gateway_settings

from wardstair.decisions.timing import (
    MAX_BOUND_SHARE,
    propagation_paths,
    timing_for,
)
from wardstair.fleet.heartbeat_endpoint import HEARTBEAT_SECONDS, JITTER
from wardstair.fleet.members import SILENT_SECONDS
from wardstair.gateway.settings import Bounds
from wardstair.state.exchange import GRACE_SECONDS
from wardstair.state.sync import LAG_SECONDS

# Both grace periods, 2.5 round trips of 120 ms between regions, and processing.
SPREAD_SECONDS = 2 * GRACE_SECONDS + 2.5 * 0.12 + 0.12
BOUNDS = (1.5, 2.0, 2.5, 3.0, 4.0, 5.0)


@pytest.mark.parametrize('failure', list(propagation_paths(2.5)))
@pytest.mark.parametrize('bound', BOUNDS)
def test_updates_arrive_in_time_if_a_stage_fails(
    bound: float,
    failure: str,
) -> None:
    taken = sum(stage.seconds for stage in propagation_paths(bound)[failure])
    assert taken <= bound * MAX_BOUND_SHARE + 1e-9


@pytest.mark.parametrize('bound', BOUNDS)
def test_paths_consist_of_the_configured_periods(bound: float) -> None:
    timing = timing_for(bound, 4.0)
    stages = {
        stage.name: stage.seconds
        for stages in propagation_paths(bound).values()
        for stage in stages
    }
    assert stages['wait of the watch'] == timing.watch
    assert stages['watch is late'] == timing.watch_tolerance
    assert stages['changes are coalesced'] == timing.coalescing_delay
    assert stages['resend of a lost datagram'] == timing.repeat_delay
    assert stages['check of roles'] == timing.role_poll_interval
    assert stages['sentinels are silent'] == timing.sentinel_silence


@pytest.mark.parametrize(
    ('bound', 'calls_per_second'),
    [
        pytest.param(2.0, 3.0, id='2 s'),
        pytest.param(2.5, 2.0, id='2.5 s'),
        pytest.param(3.0, 1.5, id='3 s'),
        pytest.param(4.0, 1.0, id='4 s'),
        pytest.param(5.0, 1.0, id='5 s'),
    ],
)
def test_watches_cost_a_bounded_number_of_calls(
    bound: float,
    calls_per_second: float,
) -> None:
    timing = timing_for(bound, 4.0)
    calls = 1 / timing.watch + 1 / timing.second_watch
    assert calls <= 1.05 * calls_per_second


@pytest.mark.parametrize('bound', BOUNDS)
def test_one_lost_heartbeat_does_not_replace_a_sentinel(bound: float) -> None:
    timing = timing_for(bound, 4.0)
    assert 2 * timing.sentinel_heartbeat < timing.sentinel_silence


@pytest.mark.parametrize('bound', [2.0, 2.5, 3.0, 4.0, 6.0, 60.0])
def test_change_missed_by_a_watch_arrives_in_time(
    bound: float,
) -> None:
    timing = timing_for(bound, 4.0)
    missed = (
        timing.watch + LAG_SECONDS + timing.coalescing_delay + SPREAD_SECONDS
    )
    assert missed < bound
    heartbeat_seconds = HEARTBEAT_SECONDS * (1 + JITTER)
    assert timing.coalescing_delay + SPREAD_SECONDS + heartbeat_seconds < max(
        bound, 2.5
    )
    assert timing.relay_timeout <= max(bound, heartbeat_seconds * 1.5)


@pytest.mark.parametrize('contact', [1.0, 3.0, 4.0, 8.0, 60.0])
def test_contact_is_checked_twice_before_it_counts(contact: float) -> None:
    timing = timing_for(2.5, contact)
    assert 2 * timing.contact_check_interval <= contact
    assert timing.rare_contact_check_interval > timing.contact_check_interval


@pytest.mark.parametrize('bound', [0.5, 2.5, 60.0])
def test_one_lost_heartbeat_does_not_replace_a_relay(bound: float) -> None:
    replaced = timing_for(bound, 4.0).relay_timeout
    assert HEARTBEAT_SECONDS * (1 + JITTER) < replaced < SILENT_SECONDS


@pytest.mark.parametrize(
    'tight',
    ['drain_seconds', 'apply_seconds', 'evacuate_seconds'],
)
def test_tightest_bound_on_updates_applies(tight: str) -> None:
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
