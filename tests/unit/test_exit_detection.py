"""Which evidence proves that an upstream exited while it handled a request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import until

from wardstair.connection.probe import ProbeOutcome
from wardstair.decisions.comparison_groups import (
    UpstreamLocation,
    find_comparison_groups,
)
from wardstair.gateway import exit_detection
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.suspects import SuspectTable

REFUSED = ProbeOutcome.refused
LISTENING = ProbeOutcome.listening
UNKNOWN = ProbeOutcome.unknown
EXPIRY_SECONDS = 0.05
ENTRY = UpstreamEntry(
    'u1',
    'views',
    '127.0.0.1',
    1,
    'z',
    4,
    UpstreamPhase.ready,
    0.0,
    revision=at(5),
    born=100,
)


class Case:
    """An exit detector with a catalog of one upstream."""

    def __init__(self, *outcomes: ProbeOutcome) -> None:
        self.catalog = Catalog(lambda: 1.0)
        self.catalog.replace_all([ENTRY], at(5), store_was_away=False)
        self.table = SuspectTable()
        self.outcomes = list(outcomes)
        self.exit_detector = ExitDetector(
            self.table,
            self.newest,
            lambda: EXPIRY_SECONDS,
            lambda: self.catalog.in_service,
            self.ask,
        )

    def add_others(self, *others: UpstreamLocation) -> None:
        added = [
            replace(ENTRY, name=one.name, zone=one.zone, service=one.service)
            for one in others
        ]
        self.catalog.apply(added, [], at(5), store_was_away=False)

    def newest(self, name: str) -> UpstreamEntry | None:
        upstream = self.catalog.upstreams.get(name)
        if upstream is None or upstream.gone_at is not None:
            return None
        return upstream.entry

    async def ask(self, _host: str, _port: int) -> ProbeOutcome:
        await asyncio.sleep(0)
        return self.outcomes.pop(0)

    def put(self, **changes: object) -> None:
        entry = replace(ENTRY, revision=at(6), **changes)  # type: ignore[arg-type]
        self.catalog.apply([entry], [], at(6), store_was_away=False)

    def remove(self) -> None:
        # The upstream still has a request, so its object stays.
        self.catalog.apply([], ['u1'], at(6), store_was_away=False)

    def break_off(self, request: str = 'a') -> None:
        upstream = self.catalog.upstreams['u1']
        self.exit_detector.note_broken(request, upstream)

    @property
    def proved(self) -> list[str]:
        return sorted(self.table.records)


@pytest.fixture(autouse=True)
def skip_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten all waits."""
    monkeypatch.setattr(exit_detection, 'PROBE_PAUSE_SECONDS', 0.0)
    monkeypatch.setattr(exit_detection, 'POLL_SECONDS', 0.001)
    monkeypatch.setattr(exit_detection, 'LISTENING_TIMEOUT_SECONDS', 0.05)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(main())


def no_change(_case: Case) -> None:
    """Leave the catalog as it is."""


def address_reused(case: Case) -> None:
    case.catalog.mark_gone('u1')


def new_incarnation(case: Case) -> None:
    case.put(born=200)


def entry_updated(case: Case) -> None:
    case.put(slots=5)


def entry_removed(case: Case) -> None:
    case.remove()


@pytest.mark.parametrize(
    ('outcomes', 'change', 'is_proved'),
    [
        pytest.param(
            [REFUSED, REFUSED], no_change, True, id='connections refused'
        ),
        pytest.param(
            [REFUSED, LISTENING], no_change, False, id='too many connections'
        ),
        pytest.param(
            [LISTENING], no_change, False, id='only a connection broke'
        ),
        pytest.param(
            [LISTENING], new_incarnation, True, id='restarted already'
        ),
        pytest.param([LISTENING], address_reused, True, id='address reused'),
        pytest.param([LISTENING], entry_updated, False, id='entry renewed'),
        pytest.param(
            [LISTENING], entry_removed, False, id='deregistered without notice'
        ),
        pytest.param([UNKNOWN], no_change, False, id='path is cut'),
        pytest.param(
            [UNKNOWN], entry_removed, True, id='path is cut, then entry expires'
        ),
        pytest.param(
            [UNKNOWN], new_incarnation, True, id='path is cut, then restarted'
        ),
    ],
)
def test_what_proves_an_exit(
    outcomes: list[ProbeOutcome],
    change: Callable[[Case], None],
    is_proved: bool,
) -> None:
    async def test() -> None:
        case = Case(*outcomes)
        upstream = case.catalog.upstreams['u1']
        case.break_off()
        await asyncio.sleep(0.01)
        change(case)
        await until(lambda: case.exit_detector.is_idle or bool(case.proved))
        assert bool(case.proved) is is_proved
        if is_proved:
            assert set(case.table.records['a'].ended) == {'u1@100'}
        assert upstream.incarnation == 'u1@100'
        case.exit_detector.close()

    run(test)


def test_an_exit_counts_against_all_requests_also_those_noticed_later() -> None:
    async def test() -> None:
        case = Case(REFUSED, REFUSED)
        case.break_off('a')
        case.break_off('b')
        await until(lambda: bool(case.proved))
        case.break_off('c')
        assert case.proved == ['a', 'b', 'c']
        # No further probe is sent.
        assert not case.outcomes
        case.exit_detector.close()

    run(test)


def test_an_exit_after_a_broken_connection_counts_against_later_requests() -> (
    None
):
    async def test() -> None:
        case = Case(LISTENING, REFUSED, REFUSED)
        case.break_off('broken connection')
        await until(lambda: len(case.outcomes) == 2)
        case.break_off('exited')
        await until(lambda: bool(case.proved))
        assert case.proved == ['exited']
        case.exit_detector.close()

    run(test)


def test_the_exit_of_a_leaving_upstream_is_not_checked() -> None:
    async def test() -> None:
        case = Case()
        case.put(phase=UpstreamPhase.draining)
        case.break_off()
        assert case.exit_detector.is_idle

    run(test)


@pytest.mark.parametrize(
    ('outcomes', 'count'),
    [
        pytest.param([UNKNOWN], 0, id='no evidence'),
        pytest.param([LISTENING], 0, id='still running'),
        pytest.param(
            [REFUSED, LISTENING], 0, id='too many connections for a moment'
        ),
        pytest.param([REFUSED, REFUSED], 1, id='proved'),
    ],
)
def test_what_counts_after_the_probes(
    outcomes: list[ProbeOutcome],
    count: int,
) -> None:
    async def test() -> None:
        case = Case(*outcomes)
        case.break_off()
        # A broken exchange alone does not count.
        assert case.exit_detector.count('a') == 0
        await until(lambda: not case.outcomes)
        await asyncio.sleep(0.02)
        assert case.exit_detector.count('a') == count
        case.exit_detector.close()

    run(test)


def test_a_refused_connection_counts_until_the_next_probe(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(exit_detection, 'PROBE_PAUSE_SECONDS', 60.0)

    async def test() -> None:
        case = Case(REFUSED)
        case.break_off()
        await until(lambda: not case.outcomes)
        await until(lambda: case.exit_detector.count('a') == 1)
        assert not case.proved
        case.exit_detector.close()

    run(test)


SAME_ZONE_AND_SERVICE = UpstreamLocation('both', 'views', 'z')
SAME_ZONE = UpstreamLocation('near', 'orders', 'z')
SAME_SERVICE = UpstreamLocation('alike', 'views', 'y')


@pytest.mark.parametrize(
    ('others', 'outcomes', 'is_proved'),
    [
        ([SAME_ZONE_AND_SERVICE], [LISTENING], True),
        ([SAME_ZONE_AND_SERVICE], [REFUSED], False),
        ([SAME_ZONE_AND_SERVICE], [UNKNOWN], False),
        ([SAME_ZONE, SAME_SERVICE], [LISTENING, LISTENING], True),
        # The zone or the service is unreachable.
        ([SAME_ZONE, SAME_SERVICE], [REFUSED, LISTENING], False),
        ([SAME_ZONE, SAME_SERVICE], [LISTENING, REFUSED], False),
    ],
)
def test_an_exit_is_proved_only_if_comparable_upstreams_answer(
    others: list[UpstreamLocation],
    outcomes: list[ProbeOutcome],
    is_proved: bool,
) -> None:
    async def test() -> None:
        by_name = dict(zip([one.name for one in others], outcomes, strict=True))
        case = Case(REFUSED, REFUSED)
        case.add_others(*others)
        ports = {1: 'u1'}
        for port, name in enumerate(by_name, start=2):
            known = case.catalog.upstreams[name]
            known.entry = replace(known.entry, port=port)
            ports[port] = name

        async def ask(host: str, port: int) -> ProbeOutcome:
            if port == 1:
                return await case.ask(host, port)
            return by_name[ports[port]]

        case.exit_detector._probe = ask
        case.break_off()
        await until(lambda: case.exit_detector.is_idle or bool(case.proved))
        assert bool(case.proved) is is_proved
        case.exit_detector.close()

    run(test)


@pytest.mark.parametrize(
    ('others', 'groups'),
    [
        ([], []),
        ([UpstreamLocation('far', 'orders', 'y')], []),
        ([SAME_ZONE_AND_SERVICE], [('both',), ('both',)]),
        ([SAME_ZONE, SAME_ZONE_AND_SERVICE], [('both', 'near'), ('both',)]),
        ([SAME_SERVICE, SAME_ZONE], [('near',), ('alike',)]),
    ],
)
def test_comparison_groups_are_of_the_zone_and_of_the_service(
    others: list[UpstreamLocation],
    groups: list[tuple[str, ...]],
) -> None:
    assert (
        find_comparison_groups(UpstreamLocation('u1', 'views', 'z'), others)
        == groups
    )
