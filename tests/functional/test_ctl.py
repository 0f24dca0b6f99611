"""Each command of wardstairctl against a running deployment."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from lib.documents import small_document
from lib.running import Trial, run_trial

from wardstair.cli.check import check
from wardstair.cli.ctl import Ctl

ROOT = Path(__file__).parent.parent.parent
DOCUMENT = small_document(zones=('east-a', 'west-a'), slots=6)


def run_commands(commands: Callable[[Ctl], None]) -> Callable[[Trial], Any]:
    """Return a test that runs commands in a thread, outside the event loop."""

    async def test(trial: Trial) -> None:
        hosts = ','.join(
            f'127.0.0.1:{host.ports.operators}'
            for host in trial.deployment.hosts.values()
        )
        await asyncio.to_thread(commands, Ctl(hosts=hosts, json=True))

    return test


def last_json(capsys: pytest.CaptureFixture[str]) -> Any:
    """Return the JSON document that was printed last."""
    return json.loads(capsys.readouterr().out.splitlines()[-1])


@pytest.mark.parametrize(
    ('command', 'rows'),
    [
        (lambda ctl: ctl.status(), 4),
        (lambda ctl: ctl.upstreams(workload='views'), 4),
        (lambda ctl: ctl.upstreams(zone='west-a', workload='views'), 2),
        (lambda ctl: ctl.hosts(), 4),
        (lambda ctl: ctl.hosts(zone='west-a'), 2),
        (lambda ctl: ctl.config.status(), 2),
        (lambda ctl: ctl.drain.status(), 0),
        (lambda ctl: ctl.shift.status(), 0),
        (lambda ctl: ctl.policy.list(), 0),
        (lambda ctl: ctl.watch(turns=1), 4),
    ],
)
def test_queries(
    command: Callable[[Ctl], None],
    rows: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    run_trial(DOCUMENT, run_commands(command))
    assert len(last_json(capsys)) == rows


def test_orders_show_in_the_status(
    capsys: pytest.CaptureFixture[str],
) -> None:
    def commands(ctl: Ctl) -> None:
        ctl.shift.start('choir', 'views', 'east', 'west', 2, key='a-key-of-8')
        ctl.shift.start('choir', 'views', 'east', 'west', 2, key='a-key-of-8')
        ctl.drain.start('host', 'east-a-1')
        ctl.policy.set('views', 'nearest')
        ctl.shift.status()
        ctl.drain.status()
        ctl.policy.list()
        ctl.shift.stop('choir')
        ctl.drain.stop('host', 'east-a-1')

    run_trial(DOCUMENT, run_commands(commands))
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line['version'] for line in lines[:4]] == [2, 2, 3, 4]
    assert lines[1]['repeated'] is True
    assert lines[4][0]['name'] == 'choir'
    assert lines[5][0]['name'] == 'east-a-1'
    assert lines[6][0]['workload'] == 'views'


@pytest.mark.parametrize(
    'command',
    [
        lambda ctl: ctl.drain.start('region', 'west'),
        lambda ctl: ctl.shift.start('big', 'views', 'east', 'west', 500),
        lambda ctl: ctl.shift.start('bad', 'views', 'east', 'nowhere', 1),
        lambda ctl: ctl.explain('nobody-knows'),
    ],
)
def test_impossible_commands_are_refused(
    command: Callable[[Ctl], None],
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as ended:
        run_trial(DOCUMENT, run_commands(command))
    assert ended.value.code == 1
    assert capsys.readouterr().err


def test_a_dry_run_forecasts_and_changes_nothing(
    capsys: pytest.CaptureFixture[str],
) -> None:
    def commands(ctl: Ctl) -> None:
        ctl.drain.start('zone', 'west-a', dry_run=True)
        ctl.drain.status()

    run_trial(DOCUMENT, run_commands(commands))
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert any('DOES NOT FIT' in line for line in lines[0]['forecast'])
    assert lines[1] == []


def test_a_request_is_explained(capsys: pytest.CaptureFixture[str]) -> None:
    async def test(trial: Trial) -> None:
        key = await trial.new_key('west-a-1')
        assert (await trial.order('west-a-1', key)).code == 200
        await run_commands(lambda ctl: ctl.explain(key))(trial)

    run_trial(DOCUMENT, test)
    found = json.loads(capsys.readouterr().out)
    steps = [step for one in found for step in one['steps']]
    assert any(step.startswith('answered 200') for step in steps)


def test_no_host_answers() -> None:
    with pytest.raises(SystemExit) as ended:
        Ctl(hosts='127.0.0.1:9').status()
    assert ended.value.code == 2


@pytest.mark.parametrize('name', ['palermo', 'mexico', 'entry'])
def test_the_examples_pass_the_check(name: str) -> None:
    check(str(ROOT / 'examples' / f'{name}.toml'))


@pytest.mark.parametrize(
    ('name', 'old', 'new', 'key'),
    [
        ('palermo', 'slots = 9', 'slots = 0', 'upstreams.0.slots'),
        ('palermo', 'importance = 2', 'weight = 2', 'workloads.0.importance'),
        ('mexico', 'zone = "norte-a"', 'zone = "sur-a"', 'zone'),
        ('mexico', 'workload = "intake"', 'workload = "x"', 'policies.x'),
        ('entry', '127.0.0.1:20000', '10.0.0.1:20000', 'listen.callers.tls'),
        ('entry', 'seeds', 'seed', 'seed'),
    ],
)
def test_a_broken_copy_names_the_key(
    name: str,
    old: str,
    new: str,
    key: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    text = (ROOT / 'examples' / f'{name}.toml').read_text()
    broken = tmp_path / 'broken.toml'
    broken.write_text(text.replace(old, new))
    with pytest.raises(SystemExit) as ended:
        check(str(broken))
    assert ended.value.code == 1
    printed = capsys.readouterr().out
    assert f'{broken}: ' in printed
    assert key in printed
