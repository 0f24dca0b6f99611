"""Settings read from a file that is rendered from the template."""

from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from lib import rig
from lib.rig import gateway_settings
from lib.template import filled

from wardstair.decisions.mechanisms import Mechanism
from wardstair.errors import ConfigurationError
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import Heartbeat
from wardstair.platform.settings import load_settings


def test_the_template_gives_valid_settings(tmp_path: Path) -> None:
    file = tmp_path / 'gateway.toml'
    file.write_text(filled())
    settings = load_settings(file)
    assert not settings.gaps
    assert settings.region == 'a'
    assert settings.is_first_start
    assert settings.cores == pytest.approx(2.151)
    assert settings.is_in_region('a1')
    assert not settings.is_in_region('b1')
    assert str(settings.callers) == '10.0.0.1:1'
    assert settings.seeds == ('10.0.0.2:3', '10.0.0.3:3')


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('address = "10.0.0.1"', ''),
        ('10.0.0.1:1"', '10.0.0.1"'),
        ('drain_ms=2000', 'drain_ms=soon'),
        ('switched_off = []', 'switched_off = ["haste"]'),
        ('"warm-home"', '"warmest"'),
        ('[listen]', '[listen'),
        ('zone = "a1"', 'zone = "c1"'),
        ('memory_megabytes = 300', 'memory_megabytes = 0'),
    ],
)
def test_an_invalid_file_is_rejected_with_a_hint(
    tmp_path: Path,
    before: str,
    after: str,
) -> None:
    file = tmp_path / 'gateway.toml'
    assert before in filled()
    file.write_text(filled().replace(before, after))
    with pytest.raises(ConfigurationError) as caught:
        load_settings(file)
    assert caught.value.hint
    assert '\n' not in str(caught.value)


@pytest.mark.parametrize(
    ('given', 'seconds', 'missing'),
    [
        (4000, 4.0, []),
        (None, Heartbeat.upstream_seconds, ['heartbeat_milliseconds']),
    ],
)
def test_the_heartbeat_interval_is_read_or_defaulted(
    tmp_path: Path,
    given: int | None,
    seconds: float,
    missing: list[str],
) -> None:
    file = tmp_path / 'gateway.toml'
    file.write_text(filled(heartbeat_ms=given))
    settings = load_settings(file)
    assert settings.heartbeat.upstream_seconds == seconds
    assert [gap.name for gap in settings.gaps] == missing
    # Three missed heartbeats, and one interval until others report it.
    assert settings.heartbeat.expiry_seconds == 4 * seconds


def test_changed_settings_apply_at_once() -> None:
    before = gateway_settings(1)
    host = GatewayHost(before, Random(1))
    after = replace(before, zones={**before.zones, 'new-a': 'north'})
    assert host.adopt_settings(after) == ['zones']
    assert host.live_settings.current.is_in_region('new-a')
    assert host.adopt_settings(after) == []


def test_no_listener_of_a_test_gateway_uses_the_fleet_port(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drawn = iter([[1, 2, 3, 4, 5, 6], [7, 8, 9, 10, 11, 12]])
    monkeypatch.setattr(rig, 'free_ports', lambda _amount: next(drawn))
    settings = gateway_settings(1, fleet_port=2)
    listeners = (settings.callers, settings.ready, settings.lookups)
    assert 2 not in {one.port for one in (*listeners, settings.metrics)}
    assert settings.fleet_ports[0] == 2


def test_mechanisms_are_switched_off_by_name(tmp_path: Path) -> None:
    file = tmp_path / 'gateway.toml'
    text = filled().replace('switched_off = []', 'switched_off = ["hedging"]')
    file.write_text(text)
    settings = load_settings(file)
    assert not settings.uses(Mechanism.hedging)
    assert settings.uses(Mechanism.reported_rejections)
