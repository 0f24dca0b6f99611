"""Bounds are decoded from the platform's fields."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import fields
from pathlib import Path

import pytest
from lib.template import BOUNDS, entries, filled

from wardstair.cli.check import check
from wardstair.decisions.rollouts import RolloutBounds
from wardstair.errors import ConfigurationError
from wardstair.gateway.settings import Bounds, GatewaySettings
from wardstair.platform.bounds import BOUNDS as DECODED
from wardstair.platform.bounds import (
    decode_bounds,
    decode_organisation_bounds,
    decode_rollout_bounds,
)
from wardstair.platform.settings import load_settings

ROOT = Path(__file__).parents[2]
BOUND_NAMES = {bound.name: bound for bound in DECODED.values()}
TEXTS = [f'{name}={value}' for name, value in BOUNDS.items()]


def settings_of(
    folder: Path,
    bounds: Mapping[str, object] | Sequence[object],
) -> GatewaySettings:
    file = folder / 'gateway.toml'
    file.write_text(filled(bounds=entries(bounds)))
    return load_settings(file)


@pytest.mark.parametrize('given', [BOUNDS, TEXTS], ids=['table', 'list'])
def test_every_bound_is_taken_from_the_deployment(
    tmp_path: Path,
    given: Mapping[str, object] | Sequence[object],
) -> None:
    settings = settings_of(tmp_path, given)
    defaults = Bounds()
    for one in fields(Bounds):
        decoded = getattr(settings.bounds, one.name)
        assert decoded != getattr(defaults, one.name), one.name
    assert settings.bounds.drain_seconds == 2
    assert settings.bounds.retry_extra == 62
    assert not settings.gaps


@pytest.mark.parametrize(
    ('bounds', 'named'),
    [
        ({**BOUNDS, 'drain_ms': 'soon'}, 'drain_ms'),
        ({**BOUNDS, 'grace_s': 'nan'}, 'grace_s'),
        ({**BOUNDS, 'budget_extra': -1}, 'budget_extra'),
        ({**BOUNDS, 'contact_ms': 0}, 'contact_ms'),
        # A template can render values without their names.
        (['3', '2', '4000'], '3'),
        ({'0': 3}, '3'),
        (['=3'], '3'),
    ],
)
def test_an_invalid_bound_is_rejected_with_its_name(
    tmp_path: Path,
    bounds: Mapping[str, object] | Sequence[object],
    named: str,
) -> None:
    with pytest.raises(ConfigurationError) as caught:
        settings_of(tmp_path, bounds)
    assert named in caught.value.message
    assert '\n' not in str(caught.value)
    assert caught.value.hint


@pytest.mark.parametrize('missing', list(BOUNDS))
def test_a_missing_bound_is_reported_with_its_default(
    tmp_path: Path,
    missing: str,
) -> None:
    rest = {key: one for key, one in BOUNDS.items() if key != missing}
    settings = settings_of(tmp_path, rest)
    assert [gap.name for gap in settings.gaps] == [f'bounds.{missing}']
    defaults, used = Bounds(), settings.gaps[0].used
    replaced = [
        getattr(defaults, one.name)
        for one in fields(Bounds)
        if getattr(settings.bounds, one.name) == getattr(defaults, one.name)
    ]
    assert replaced in ([used], [used / 1000])


def test_without_bounds_all_defaults_apply(tmp_path: Path) -> None:
    settings = settings_of(tmp_path, {})
    assert settings.bounds == Bounds()
    assert len(settings.gaps) == len(fields(Bounds))


def test_bounds_with_unknown_names_are_ignored(tmp_path: Path) -> None:
    settings = settings_of(tmp_path, {**BOUNDS, 'new_bound': 'any'})
    assert settings == settings_of(tmp_path, BOUNDS)


def test_the_check_reports_missing_and_invalid_settings(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    file = tmp_path / 'gateway.toml'
    file.write_text(filled())
    check(str(file))
    rest = {key: one for key, one in BOUNDS.items() if key != 'grace_s'}
    text = filled(bounds=entries(rest)).replace('descriptors = 4100\n', '')
    file.write_text(text)
    with pytest.raises(SystemExit):
        check(str(file))
    printed = capsys.readouterr().out.splitlines()
    assert [line.split(': ')[1] for line in printed] == [
        'limits.descriptors',
        'bounds.grace_s',
    ]
    file.write_text(filled(bounds=entries(['3'])))
    with pytest.raises(SystemExit):
        check(str(file))
    assert 'the bound 0=3 has no name' in capsys.readouterr().out


def test_the_documentation_lists_every_bound_with_its_default() -> None:
    page = (ROOT / 'docs' / 'reference' / 'settings.md').read_text()
    rows = [line.split('|') for line in page.splitlines() if '|' in line]
    listed = {row[1].strip(): row for row in rows}
    for gap in decode_bounds(()).gaps:
        name = gap.name.removeprefix('bounds.')
        row = listed[f'`{name}`']
        least = BOUND_NAMES[name].minimum
        assert row[3].strip() == f'{least:g}'
        assert row[5].split(':')[0].split()[0] == f'{gap.used:g}'


@pytest.mark.parametrize(
    ('texts', 'seconds'),
    [
        ((), math.inf),
        (('revoke_ms=5000',), math.inf),
        (('strict_revoke=false', 'revoke_ms=5000'), math.inf),
        (('strict_revoke=true', 'revoke_ms=5000'), 5.0),
        (('7=strict_revoke=true', '8=revoke_ms=5000'), 5.0),
    ],
)
def test_the_revocation_limit_applies_without_contact_only_if_strict(
    texts: tuple[str, ...],
    seconds: float,
) -> None:
    assert decode_organisation_bounds(texts).revoke_seconds == seconds


@pytest.mark.parametrize(
    'texts',
    [
        ('strict_revoke=perhaps',),
        ('strict_revoke=true', 'revoke_ms=soon'),
    ],
)
def test_an_invalid_revocation_bound_is_rejected(
    texts: tuple[str, ...],
) -> None:
    with pytest.raises(ConfigurationError, match='revoke'):
        decode_organisation_bounds(texts)


ROLLOUT_TEXTS = {
    'expose_share': '0.1',
    'expose_slack': '50',
    'rollback_ms': '3000',
}


def test_the_bounds_of_roll_outs_are_taken_from_the_deployment(
    tmp_path: Path,
) -> None:
    settings = settings_of(tmp_path, {**BOUNDS, **ROLLOUT_TEXTS})
    assert settings.rollout_bounds == RolloutBounds(0.1, 50.0, 3.0)
    assert not settings.gaps


def test_roll_outs_are_not_in_use_without_their_bounds(tmp_path: Path) -> None:
    settings = settings_of(tmp_path, BOUNDS)
    assert settings.rollout_bounds is None
    assert not settings.gaps


@pytest.mark.parametrize(
    ('missing', 'bounds', 'used'),
    [
        ('expose_share', RolloutBounds(0.0, 50.0, 3.0), 0),
        ('expose_slack', RolloutBounds(0.1, 0.0, 3.0), 0),
        ('rollback_ms', RolloutBounds(0.1, 50.0, 1.0), 1000),
    ],
)
def test_a_missing_bound_of_roll_outs_is_strict_and_named(
    tmp_path: Path, missing: str, bounds: RolloutBounds, used: float
) -> None:
    rest = {key: one for key, one in ROLLOUT_TEXTS.items() if key != missing}
    settings = settings_of(tmp_path, {**BOUNDS, **rest})
    assert settings.rollout_bounds == bounds
    (gap,) = settings.gaps
    assert (gap.name, gap.used) == (f'bounds.{missing}', used)
    page = (ROOT / 'docs' / 'reference' / 'settings.md').read_text()
    assert f'| `{missing}` |' in page


@pytest.mark.parametrize(
    'text',
    [
        'expose_share=1.01',
        'expose_share=-0.1',
        'expose_share=most',
        'expose_slack=-1',
        'expose_slack=inf',
        'rollback_ms=0',
        'rollback_ms=nan',
    ],
)
def test_an_invalid_bound_of_roll_outs_is_rejected(text: str) -> None:
    name = text.partition('=')[0]
    with pytest.raises(ConfigurationError, match=name) as raised:
        decode_rollout_bounds((text,))
    assert f'{name}=number' in raised.value.hint


@pytest.mark.parametrize('share', ['0', '1'])
def test_a_share_may_be_none_or_all(share: str) -> None:
    decoded = decode_rollout_bounds((f'expose_share={share}',))
    assert decoded.bounds is not None
    assert decoded.bounds.share == float(share)
