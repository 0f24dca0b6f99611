"""What proves that an upstream ended while it had a request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.rig import until

from wardstair.connection.probe import ProbeOutcome
from wardstair.decisions.controls import Placed, control_groups
from wardstair.gateway import exit_detection
from wardstair.gateway.exit_detection import ExitDetector
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.suspects import SuspectTable

REFUSED = ProbeOutcome.refused
LISTENING = ProbeOutcome.listening
UNKNOWN = ProbeOutcome.unknown
LAPSE_SECONDS = 0.05
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
    """A witness beside a catalog with one upstream."""

    def __init__(self, *outcomes: ProbeOutcome) -> None:
        self.catalog = Catalog(lambda: 1.0)
        self.catalog.replace_all([ENTRY], at(5), store_was_away=False)
        self.table = SuspectTable()
        self.outcomes = list(outcomes)
        self.exit_detector = ExitDetector(
            self.table,
            self.newest,
            lambda: LAPSE_SECONDS,
            lambda: self.catalog.in_service,
            self.ask,
        )

    def add_others(self, *others: Placed) -> None:
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
        # A request is still at it, so that its object stays.
        self.catalog.apply([], ['u1'], at(6), store_was_away=False)

    def break_off(self, request: str = 'a') -> None:
        upstream = self.catalog.upstreams['u1']
        self.exit_detector.note_broken(request, upstream)

    @property
    def proved(self) -> list[str]:
        return sorted(self.table.records)


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let waits take no time."""
    monkeypatch.setattr(exit_detection, 'PROBE_PAUSE_SECONDS', 0.0)
    monkeypatch.setattr(exit_detection, 'LOOK_SECONDS', 0.001)
    monkeypatch.setattr(exit_detection, 'LISTENING_SECONDS', 0.05)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(main())


def nothing(_case: Case) -> None:
    """Let nothing else be known."""


def other_at_address(case: Case) -> None:
    case.catalog.mark_gone('u1')


def new_life(case: Case) -> None:
    case.put(born=200)


def new_word(case: Case) -> None:
    case.put(slots=5)


def entry_goes(case: Case) -> None:
    case.remove()


@pytest.mark.parametrize(
    ('outcomes', 'then', 'is_proved'),
    [
        pytest.param([REFUSED, REFUSED], nothing, True, id='nobody listens'),
        pytest.param([REFUSED, LISTENING], nothing, False, id='it was full'),
        pytest.param([LISTENING], nothing, False, id='only a connection broke'),
        pytest.param([LISTENING], new_life, True, id='started again already'),
        pytest.param([LISTENING], other_at_address, True, id='address taken'),
        pytest.param([LISTENING], new_word, False, id='its word goes on'),
        pytest.param([LISTENING], entry_goes, False, id='leaves unannounced'),
        pytest.param([UNKNOWN], nothing, False, id='the way is cut'),
        pytest.param(
            [UNKNOWN], entry_goes, True, id='cut, then its entry goes'
        ),
        pytest.param([UNKNOWN], new_life, True, id='cut, then a new life'),
    ],
)
def test_what_proves_an_end(
    outcomes: list[ProbeOutcome],
    then: Callable[[Case], None],
    is_proved: bool,
) -> None:
    async def test() -> None:
        case = Case(*outcomes)
        upstream = case.catalog.upstreams['u1']
        case.break_off()
        await asyncio.sleep(0.01)
        then(case)
        await until(lambda: case.exit_detector.is_idle or bool(case.proved))
        assert bool(case.proved) is is_proved
        if is_proved:
            assert set(case.table.records['a'].ended) == {'u1@100'}
        assert upstream.life == 'u1@100'
        case.exit_detector.close()

    run(test)


def test_all_that_it_had_are_told_also_those_noticed_later() -> None:
    async def test() -> None:
        case = Case(REFUSED, REFUSED)
        case.break_off('a')
        case.break_off('b')
        await until(lambda: bool(case.proved))
        case.break_off('c')
        assert case.proved == ['a', 'b', 'c']
        # Its probes are not asked again.
        assert not case.outcomes
        case.exit_detector.close()

    run(test)


def test_an_end_soon_after_a_broken_link_is_charged_to_whom_it_hit() -> None:
    async def test() -> None:
        case = Case(LISTENING, REFUSED, REFUSED)
        case.break_off('broken link')
        await until(lambda: len(case.outcomes) == 2)
        case.break_off('ended')
        await until(lambda: bool(case.proved))
        assert case.proved == ['ended']
        case.exit_detector.close()

    run(test)


def test_a_leaving_upstream_ends_by_plan() -> None:
    async def test() -> None:
        case = Case()
        case.put(phase=UpstreamPhase.draining)
        case.break_off()
        assert case.exit_detector.is_idle

    run(test)


@pytest.mark.parametrize(
    ('outcomes', 'count'),
    [
        pytest.param([UNKNOWN], 0, id='nothing learned'),
        pytest.param([LISTENING], 0, id='it lives'),
        pytest.param([REFUSED, LISTENING], 0, id='it was full for a moment'),
        pytest.param([REFUSED, REFUSED], 1, id='proved'),
    ],
)
def test_what_counts_once_it_was_asked(
    outcomes: list[ProbeOutcome],
    count: int,
) -> None:
    async def test() -> None:
        case = Case(*outcomes)
        case.break_off()
        # A broken exchange alone is no sign.
        assert case.exit_detector.count('a') == 0
        await until(lambda: not case.outcomes)
        await asyncio.sleep(0.02)
        assert case.exit_detector.count('a') == count
        case.exit_detector.close()

    run(test)


def test_one_refused_connection_counts_until_the_next(
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


BOTH = Placed('both', 'views', 'z')
NEAR = Placed('near', 'orders', 'z')
ALIKE = Placed('alike', 'views', 'y')


@pytest.mark.parametrize(
    ('others', 'outcomes', 'is_proved'),
    [
        ([BOTH], [LISTENING], True),
        ([BOTH], [REFUSED], False),
        ([BOTH], [UNKNOWN], False),
        ([NEAR, ALIKE], [LISTENING, LISTENING], True),
        # Cut off from the zone, or from the service.
        ([NEAR, ALIKE], [REFUSED, LISTENING], False),
        ([NEAR, ALIKE], [LISTENING, REFUSED], False),
    ],
)
def test_an_end_is_proved_only_by_who_reaches_others(
    others: list[Placed],
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
        ([Placed('far', 'orders', 'y')], []),
        ([BOTH], [('both',), ('both',)]),
        ([NEAR, BOTH], [('both', 'near'), ('both',)]),
        ([ALIKE, NEAR], [('near',), ('alike',)]),
    ],
)
def test_controls_are_of_the_zone_and_of_the_service(
    others: list[Placed],
    groups: list[tuple[str, ...]],
) -> None:
    assert control_groups(Placed('u1', 'views', 'z'), others) == groups
