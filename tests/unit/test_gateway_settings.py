"""The settings file, as the platform fills it from our template."""

import re
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from lib import rig
from lib.rig import gateway_settings

from wardstair.decisions.mechanisms import Mechanism
from wardstair.errors import ConfigurationError
from wardstair.gateway.host import GatewayHost
from wardstair.platform.settings import decode_bounds, load_settings

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'gateway.toml'
VALUES = {
    'node_name': 'edge-1',
    'ip': '10.0.0.1',
    'zone': 'a1',
    'internal_ports.0': '7200',
    'internal_ports.1': '7215',
    'platform.address': '10.9.9.9:80',
    'listen.front': '10.0.0.1:1',
    'listen.ready': '10.0.0.1:2',
    'listen.control': '10.0.0.1:3',
    'listen.directory': '10.0.0.1:4',
    'limits.memory_mb': '300',
    'limits.max_fds': '4100',
    'limits.cpu_share': '0.717',
    'limits.cores': '3',
}
LISTS = {
    'seeds': '"10.0.0.2:3","10.0.0.3:3"',
    'bounds': '"drain_ms=2000","budget_extra=62","new_bound=1"',
    'zones': '"a1" = "a"\n"b1" = "b"\n',
}


def filled() -> str:
    """Fill the template as the platform would."""
    text = TEMPLATE.read_text()
    for name, content in LISTS.items():
        pattern = r'\{\{#' + name + r'\}\}.*?\{\{/' + name + r'\}\}'
        text = re.sub(pattern, content, text, flags=re.DOTALL)
    section = r'\{\{\^bootstrap\}\}.*?\{\{/bootstrap\}\}'
    text = re.sub(section, '', text)
    text = text.replace('{{#bootstrap}}', '').replace('{{/bootstrap}}', '')
    for name, value in VALUES.items():
        text = text.replace('{{' + name + '}}', value)
    assert '{{' not in text
    return text


def test_the_template_gives_valid_settings(tmp_path: Path) -> None:
    file = tmp_path / 'gateway.toml'
    file.write_text(filled())
    settings = load_settings(file)
    assert settings.region == 'a'
    assert settings.is_first_start
    assert settings.cores == pytest.approx(2.151)
    assert settings.is_in_region('a1')
    assert not settings.is_in_region('b1')
    assert str(settings.callers) == '10.0.0.1:1'
    assert settings.seeds == ('10.0.0.2:3', '10.0.0.3:3')
    assert settings.bounds.drain_seconds == 2
    assert settings.bounds.retry_extra == 62
    assert settings.bounds.grace_seconds == 6


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('address = "10.0.0.1"', ''),
        ('10.0.0.1:1"', '10.0.0.1"'),
        ('drain_ms=2000', 'drain_ms=soon'),
        ('switched_off = []', 'switched_off = ["haste"]'),
        ('"warm-home"', '"warmest"'),
        ('[listen]', '[listen'),
    ],
)
def test_a_wrong_file_is_refused_with_a_hint(
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


def test_bounds_that_are_not_named_keep_their_default() -> None:
    assert decode_bounds(()) == decode_bounds(('unknown=3',))


def test_changed_settings_are_in_force_at_once() -> None:
    before = gateway_settings(1)
    host = GatewayHost(before, Random(1))
    after = replace(before, zones={**before.zones, 'new-a': 'north'})
    assert host.adopt_settings(after) == ['zones']
    assert host.live_settings.current.is_in_region('new-a')
    assert host.adopt_settings(after) == []


def test_no_listener_of_a_test_gateway_has_the_fleets_port(
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
    assert settings.uses(Mechanism.told_rejections)
