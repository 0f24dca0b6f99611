"""`wardstairctl rollouts` against gateways and stand-ins of them."""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import fire
import pytest
from lib.fleet import running_fleet
from lib.rig import free_ports, until
from lib.rollout_fleet import SERVICE, RolloutFleet, Version, rollout_fleet
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wardstair.cli.ctl import Ctl
from wardstair.decisions.rollouts import RolloutStage
from wardstair.gateway.host import GatewayHost

Command = Callable[[Ctl], None]
ROW: dict[str, Any] = {
    'service': SERVICE,
    'version': 'v2',
    'state': 'running',
    'stage': 'testing',
    'share': 0.05,
    'sent': 20,
    'bound': 60,
    'answers': 18,
    'bad': 1,
    'seconds_left': 7.5,
    'reason': 'testing',
    'coordinator': 'host-0',
    'host': 'host-0',
    'term': '0.5',
    'revision': '0.6',
    'reserved': 40,
}
REFUSED_ROW = {
    **ROW,
    'service': 'lists',
    'state': 'refused',
    'stage': '',
    'field': 'duration_s',
    'expected': 'greater than 0',
}
# What a host tells that gets no reports and does not coordinate.
OTHER = {**ROW, 'host': 'host-1', 'sent': None, 'bad': None}
NOT_IN_USE = {'error': 'the settings of this host call for no roll-outs'}


@dataclass(frozen=True)
class Standin:
    """The answer of a stand-in; no host listens if the status is 0."""

    content: Any
    status: int = 200


class _Handler(RequestHandler):
    def initialize(self, standin: Standin, seen: list[str]) -> None:
        self._standin = standin
        self._seen = seen

    def get(self) -> None:
        self._seen.append(self.request.headers.get('Authorization', ''))
        self.set_status(self._standin.status)
        self.finish(json.dumps(self._standin.content))


@dataclass(frozen=True)
class Outcome:
    """Exit code, output and the tokens that hosts were sent."""

    code: int
    out: str
    err: str
    tokens: Sequence[str]

    @property
    def rows(self) -> Any:
        return json.loads(self.out)


def command_of(service: str) -> Command:
    """Return `show` of a service; `list` without one."""
    if service:
        return lambda ctl: ctl.rollouts.show(service)
    return lambda ctl: ctl.rollouts.list()


def run_command(ctl: Ctl, command: Command) -> int:
    try:
        command(ctl)
    except SystemExit as end:
        return int(str(end.code))
    return 0


def ask(
    standins: Sequence[Standin],
    capsys: pytest.CaptureFixture[str],
    service: str = '',
    *,
    as_json: bool = True,
    command: Command | None = None,
) -> Outcome:
    """Run a command against stand-ins."""
    tokens: list[str] = []

    async def main() -> int:
        ports = free_ports(len(standins))
        servers = []
        for standin, port in zip(standins, ports, strict=True):
            if standin.status:
                handler = (
                    '/v1/rollouts',
                    _Handler,
                    {'standin': standin, 'seen': tokens},
                )
                server = HTTPServer(Application([handler]))
                server.listen(port, '127.0.0.1')
                servers.append(server)
        hosts = ','.join(f'127.0.0.1:{port}' for port in ports)
        ctl = Ctl(hosts=hosts, json=as_json)
        try:
            return await asyncio.to_thread(
                run_command, ctl, command or command_of(service)
            )
        finally:
            for server in servers:
                server.stop()
                await server.close_all_connections()

    code = asyncio.run(main())
    printed = capsys.readouterr()
    return Outcome(code, printed.out, printed.err, tokens)


LISTS = Standin([ROW, REFUSED_ROW])
SILENT = Standin(None, 0)
CALLS_FOR_NONE = Standin(NOT_IN_USE, 404)


@pytest.mark.parametrize(
    ('standins', 'service', 'code', 'told'),
    [
        pytest.param([LISTS], '', 0, '', id='list'),
        pytest.param([LISTS], SERVICE, 0, '', id='show'),
        pytest.param([Standin([])], '', 0, '', id='no-order'),
        pytest.param([LISTS], 'other', 1, 'no order', id='unknown'),
        pytest.param([SILENT], '', 2, 'no answer from 127', id='silent'),
        pytest.param([], '', 2, 'use --hosts', id='no-address'),
        pytest.param(
            [SILENT, LISTS], '', 0, 'no answer from 127', id='one-silent'
        ),
        pytest.param(
            [CALLS_FOR_NONE], '', 1, 'call for no roll-outs', id='not-in-use'
        ),
        pytest.param(
            [CALLS_FOR_NONE, LISTS],
            '',
            0,
            'call for no roll-outs',
            id='one-not-in-use',
        ),
        pytest.param(
            [CALLS_FOR_NONE, SILENT],
            '',
            1,
            'no answer from 127',
            id='not-in-use-and-silent',
        ),
        pytest.param(
            [Standin({'rows': []})], '', 2, 'first fleet port', id='other-port'
        ),
        pytest.param(
            [Standin([{**ROW, 'term': 'x'}])],
            '',
            2,
            'first fleet port',
            id='unreadable',
        ),
        pytest.param([Standin(None, 404)], '', 2, '404', id='not-found'),
    ],
)
def test_exit_codes(
    standins: Sequence[Standin],
    service: str,
    code: int,
    told: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    outcome = ask(standins, capsys, service)
    assert outcome.code == code
    assert told in outcome.err
    assert bool(outcome.err) is bool(told)
    assert bool(outcome.out) is (code == 0)


@pytest.mark.parametrize(
    ('listings', 'host'),
    [
        pytest.param([OTHER, ROW], 'host-0', id='coordinator'),
        pytest.param(
            [OTHER, {**OTHER, 'host': 'host-2'}], 'host-1', id='first'
        ),
        pytest.param(
            [OTHER, {**OTHER, 'host': 'host-2', 'sent': 3}],
            'host-2',
            id='reports',
        ),
        pytest.param([ROW, {**OTHER, 'term': '0.7'}], 'host-1', id='term'),
        pytest.param([ROW, {**OTHER, 'term': '0.10'}], 'host-1', id='digits'),
        pytest.param([ROW, {**OTHER, 'term': '1.1'}], 'host-1', id='era'),
        pytest.param(
            [{**OTHER, 'revision': '0.9'}, ROW], 'host-0', id='later-record'
        ),
        pytest.param(
            [{**OTHER, 'revision': '0.9', 'term': '0.0'}, ROW],
            'host-0',
            id='restarted',
        ),
        pytest.param(
            [ROW, {**OTHER, 'revision': '0.9', 'version': 'v3', 'term': '0.0'}],
            'host-1',
            id='newer-order',
        ),
        pytest.param(
            [ROW, {**OTHER, 'revision': '0.9', 'state': 'complete'}],
            'host-1',
            id='end',
        ),
    ],
)
def test_the_host_that_knows_most_counts(
    listings: Sequence[dict[str, Any]],
    host: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    standins = [Standin([row]) for row in listings]
    (row,) = ask(standins, capsys).rows
    assert row['host'] == host


def test_the_table_shows_exposure_and_reason(
    capsys: pytest.CaptureFixture[str],
) -> None:
    out = ask([Standin([OTHER, REFUSED_ROW])], capsys, as_json=False).out
    titles, refused, running = (line.split() for line in out.splitlines())
    assert ' '.join(titles) == (
        'service version state stage share exposure bound answers bad '
        'seconds_left reason'
    )
    assert running == (
        f'{SERVICE} v2 running testing 0.05 - 60 18 - 7.5 testing'.split()
    )
    assert refused[:4] == ['lists', 'v2', 'refused', '-']


@pytest.mark.parametrize(
    ('changes', 'hint'),
    [
        ({}, 'nothing to do'),
        ({'reason': 'no-new-upstreams'}, 'start upstreams'),
        ({'reason': 'open-verdict'}, 'withdraw the order'),
        ({'state': 'complete'}, 'nothing to do'),
        ({'state': 'rolled-back'}, 'order another version'),
    ],
)
def test_show_names_what_to_do(
    changes: dict[str, str],
    hint: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    standin = Standin([{**ROW, **changes}])
    (row,) = ask([standin], capsys, SERVICE).rows
    assert hint in row['hint']
    assert row['reserved'] == 40


def test_show_of_a_refused_order_names_the_field(
    capsys: pytest.CaptureFixture[str],
) -> None:
    out = ask([LISTS], capsys, 'lists', as_json=False).out
    shown = dict(line.split(maxsplit=1) for line in out.splitlines())
    assert shown['field'] == 'duration_s'
    assert shown['expected'] == 'greater than 0'
    for remedy in ('correct the field duration_s', 'another', 'withdraw'):
        assert remedy in shown['hint']


def test_hosts_get_no_token(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv('WARDSTAIR_TOKEN', 'secret')
    tokens = ask([LISTS], capsys).tokens
    assert len(tokens) == 1
    assert 'secret' not in tokens[0]


def test_the_command_line_shows_a_service_of_digits(
    capsys: pytest.CaptureFixture[str],
) -> None:
    def command(ctl: Ctl) -> None:
        fire.Fire(ctl, ['rollouts', 'show', '17'], 'wardstairctl')

    standin = Standin([{**ROW, 'service': '17'}])
    outcome = ask([standin], capsys, command=command)
    assert outcome.code == 0
    assert outcome.rows[0]['service'] == '17'


def ctl_of(hosts: Sequence[GatewayHost]) -> Ctl:
    addresses = [
        f'{host.settings.address}:{host.settings.fleet_ports[0]}'
        for host in hosts
    ]
    return Ctl(hosts=','.join(addresses), json=True)


def hears_plans(host: GatewayHost) -> bool:
    """Return whether a host has heard a plan and knows who coordinates."""
    own = host.chooser.rollouts.running.get(SERVICE)
    known = host.local_state.rollouts.of_service(SERVICE)
    is_recorded = known is not None and known.own_record is not None
    return own is not None and own.plan > 0 and is_recorded


def test_a_fleet_shows_its_roll_out_and_a_refused_order(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def rows_of(fleet: RolloutFleet, service: str) -> Any:
        ctl = ctl_of(fleet.fleet.hosts)
        await asyncio.to_thread(command_of(service), ctl)
        return json.loads(capsys.readouterr().out.splitlines()[-1])

    async def main() -> None:
        async with rollout_fleet(Version()) as fleet:
            await fleet.order(30.0)
            await until(lambda: fleet.has_reached(RolloutStage.testing))
            hosts = fleet.fleet.hosts
            await until(lambda: all(hears_plans(host) for host in hosts))
            (row,) = await rows_of(fleet, SERVICE)
            coordinator = fleet.coordinator
            assert coordinator is not None
            assert row['coordinator'] == coordinator.settings.name
            assert row['version'] == 'v2'
            assert row['term'] != '0.0'
            spec = {'service': 'x', 'target_version': 'v2', 'duration_s': 0}
            fleet.fleet.store.put('rollouts', 'x', spec)
            tables = [host.local_state.rollouts for host in hosts]
            await until(lambda: all(table.refused for table in tables))
            refused = (await rows_of(fleet, ''))[-1]
            assert refused['state'] == 'refused'
            assert refused['field'] == 'duration_s'

    asyncio.run(main())


def test_a_host_without_bounds_of_roll_outs_says_so(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def main() -> int:
        async with running_fleet(1, []) as fleet:
            ctl = ctl_of(fleet.hosts)
            return await asyncio.to_thread(run_command, ctl, command_of(''))

    assert asyncio.run(main()) == 1
    assert 'call for no roll-outs' in capsys.readouterr().err
