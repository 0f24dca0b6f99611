"""How a host distinguishes being cut off from upstreams that are down."""

from dataclasses import dataclass, field

import pytest
from lib.revisions import at

from wardstair.decisions.reachability import (
    ALL,
    NewConnectionReachability,
    SilenceDetector,
    probe_times,
    service_group,
    zone_group,
)
from wardstair.state.catalog import Catalog
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.reachability import ReachabilityTable
from wardstair.state.upstream import RunningSend

# Upstreams of two zones and two services: `v` and `o` in each zone.
PLACES = {
    f'{service[0]}{number}-{zone}': (service, zone)
    for service in ('views', 'orders')
    for zone in ('north', 'south')
    for number in range(2)
}


def entry_of(name: str, service: str, zone: str) -> UpstreamEntry:
    return UpstreamEntry(
        name, service, '127.0.0.1', 1, zone, 4, UpstreamPhase.ready, 0.0
    )


@dataclass
class Host:
    """A host with the reachability of its upstreams.

    Attributes:
        now: Current time of its clock.
        changes: Unreachable groups after each change.
        regained: Groups that became reachable again.
    """

    now: float = 100.0
    changes: list[frozenset[str]] = field(default_factory=list)
    regained: list[frozenset[str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.catalog = Catalog(lambda: self.now)
        entries = [entry_of(name, *place) for name, place in PLACES.items()]
        self.catalog.replace_all(entries, at(1), store_was_away=False)
        self.reachability = ReachabilityTable(self.catalog)
        self.reachability.times = lambda: probe_times(4.0)
        self.reachability.on_change = lambda: self.changes.append(
            self.reachability.lost
        )
        self.reachability.on_regained = self.regained.append

    def entry(self, name: str) -> UpstreamEntry:
        return self.catalog.upstreams[name].entry

    def answer(self, *names: str) -> None:
        for name in names:
            self.reachability.note_reached(self.entry(name))

    def fail(self, *names: str) -> None:
        for name in names:
            self.now += 0.11
            self.reachability.note_failed(self.entry(name))


@pytest.mark.parametrize(
    ('steps', 'lost'),
    [
        # Two upstreams that exit in a rollout.
        ('-v0-north -v1-north', ''),
        ('-v0-north -o0-south -v1-south', ALL),
        # An answer in between shows that the network path works.
        ('-v0-north -o0-south +o1-south -v1-south', ''),
        ('-v0-north -v0-north -v0-north', ''),
        # A zone or a service, while other upstreams answer.
        (
            '-v0-north +o0-south -v1-north +o0-south -o0-north +v0-south',
            zone_group('north'),
        ),
        (
            '-v0-north +o0-south -v0-south +o0-south -v1-south +o0-north',
            service_group('views'),
        ),
        ('-v0-north -o0-south -v1-south +o1-south', ''),
    ],
)
def test_group_is_lost_after_failures_without_an_answer(
    steps: str,
    lost: str,
) -> None:
    host = Host()
    for step in steps.split():
        act = host.answer if step[0] == '+' else host.fail
        act(step[1:])
    assert ','.join(sorted(host.reachability.lost)) == lost
    assert host.reachability.is_cut_off is (lost == ALL)


def test_failures_within_a_moment_do_not_cut_off() -> None:
    host = Host()
    host.answer('v0-south')
    for name in PLACES:
        host.reachability.note_failed(host.entry(name))
    assert host.reachability.is_sound
    host.now += 0.2
    host.reachability.note_failed(host.entry('v0-north'))
    assert host.reachability.is_cut_off


def test_one_answer_makes_its_groups_reachable_again() -> None:
    host = Host()
    host.fail('v0-north', 'o0-south', 'v1-south')
    assert host.reachability.is_cut_off
    assert not host.reachability.may_reach('orders')
    host.answer('o1-north')
    assert host.changes == [frozenset((ALL,)), host.reachability.lost]
    assert not host.reachability.is_cut_off
    assert host.regained == [frozenset((ALL,))]
    assert host.reachability.may_reach('orders')


def test_failures_of_removed_upstreams_do_not_count() -> None:
    host = Host()
    host.fail('v0-north', 'o0-south')
    gone = [name for name in PLACES if name != 'v1-south']
    host.catalog.apply([], gone, at(2), store_was_away=False)
    host.fail('v1-south')
    # The only remaining upstream: there is none to compare it with.
    assert host.reachability.is_cut_off
    host.catalog.apply(
        [entry_of('new', 'views', 'north')],
        ['v1-south'],
        at(3),
        store_was_away=False,
    )
    host.reachability.refresh()
    assert host.reachability.is_sound or host.reachability.is_suspect


@pytest.mark.parametrize(
    ('rate', 'silent', 'overdue', 'is_unusual'),
    [
        (50.0, 0.25, 0, True),
        (50.0, 0.1, 0, False),
        # With few requests, only overdue upstreams are an indication.
        (1.0, 0.5, 0, False),
        (1.0, 0.5, 1, False),
        (1.0, 0.5, 2, True),
        (0.0, 60.0, 0, False),
    ],
)
def test_silence_is_unusual_by_the_expected_answers(
    rate: float,
    silent: float,
    overdue: int,
    is_unusual: bool,
) -> None:
    detector = SilenceDetector(rate)
    assert detector.is_unusual(silent, overdue) is is_unusual


@pytest.mark.parametrize(
    ('answers_a_second', 'is_silent'), [(40, True), (2, False)]
)
def test_silence_counts_only_while_requests_wait(
    answers_a_second: int,
    is_silent: bool,
) -> None:
    host = Host()
    for _ in range(10 * answers_a_second):
        host.now += 1 / answers_a_second
        host.answer('v0-north')
        host.reachability.looks_silent()
    host.now += 0.3
    assert not host.reachability.looks_silent()
    waiting = host.catalog.upstreams['o0-south']
    waiting.running[1] = RunningSend(host.now, 0.5, 0.5)
    assert host.reachability.looks_silent() is is_silent


@pytest.mark.parametrize('amount', [1, 8, 16, 64])
def test_answers_that_come_together_are_missed_together(amount: int) -> None:
    """Pipelined requests of one moment made 0.3 s look like a silence."""
    host = Host()
    waiting = host.catalog.upstreams['o0-south']
    for _ in range(40):
        sent_at = host.now
        for number in range(amount):
            waiting.running[number] = RunningSend(sent_at, 0.3, 0.3)
        host.now = sent_at + 0.28
        assert not host.reachability.looks_silent()
        for number in range(amount):
            # They take a little longer one after the other.
            host.now = sent_at + 0.3 + 0.02 * number / amount
            host.answer('v0-north')
        waiting.running.clear()
        assert not host.reachability.looks_silent()


@pytest.mark.parametrize('contact', [0.5, 3.0, 4.0, 10.0])
def test_cut_is_detected_and_cleared_within_the_bound(contact: float) -> None:
    times = probe_times(contact)
    # A silence detected late by half, three checks, three concurrent probes.
    found = times.silence * 1.5 + 3 * 0.02 + times.probe
    assert found <= max(contact / 2, 0.7)
    # One probe that times out, and the next one.
    assert 2 * times.probe <= max(contact / 2, 0.7)


GROUPS = {
    name: (ALL, zone_group(zone), service_group(service))
    for name, (service, zone) in PLACES.items()
}


@pytest.mark.parametrize(
    ('steps', 'closed', 'needs_probe'),
    [
        pytest.param('-v0-north', '', False, id='one upstream fails'),
        pytest.param(
            '-v0-north -v0-north', '', False, id='the same upstream fails again'
        ),
        pytest.param('-v0-north -o0-south', '', True, id='two upstreams fail'),
        pytest.param('-v0-north -o0-south -v1-south', ALL, True, id='all'),
        pytest.param(
            '-v0-north -o0-south +v1-south -v1-north',
            '',
            True,
            id='a new connection answered in between',
        ),
        pytest.param(
            '-v0-north +o0-south -v1-north +o0-south -o0-north +o0-south',
            zone_group('north'),
            True,
            id='a zone',
        ),
        pytest.param(
            '-v0-north +o0-south -v0-south +o0-south -v1-south +o0-north',
            service_group('views'),
            True,
            id='a service',
        ),
        pytest.param(
            '-v0-north -o0-south -v1-south +o1-south',
            '',
            True,
            id='a new connection answered at the end',
        ),
    ],
)
def test_groups_are_closed_by_failures_of_new_connections(
    steps: str,
    closed: str,
    *,
    needs_probe: bool,
) -> None:
    opening = NewConnectionReachability()
    results = []
    for now, step in enumerate(steps.split()):
        name = step[1:]
        if step[0] == '+':
            opening.note_answered(GROUPS[name], now)
        else:
            results.append(opening.note_failed(name, GROUPS[name], now))
    opening.settle(GROUPS)
    assert ','.join(sorted(opening.closed)) == closed
    # The result of the last failure, regardless of later answers.
    assert results[-1] is needs_probe
    for groups in GROUPS.values():
        assert opening.may_open(groups) is (closed not in groups)


def test_new_connections_are_not_used_while_suspect() -> None:
    opening = NewConnectionReachability()
    opening.note_failed('v0-north', GROUPS['v0-north'], 1.0)
    assert opening.may_open(GROUPS['o1-south'])
    opening.note_failed('o0-south', GROUPS['o0-south'], 1.0)
    assert opening.mark_suspect()
    assert not opening.mark_suspect()
    assert not opening.may_open(GROUPS['o1-south'])
    opening.note_answered(GROUPS['o1-south'], 1.1)
    assert opening.is_sound
    assert opening.may_open(GROUPS['o1-south'])


def test_removed_upstream_closes_no_group() -> None:
    opening = NewConnectionReachability()
    for name in ('v0-north', 'o0-south', 'v1-south'):
        opening.note_failed(name, GROUPS[name], 1.0)
    left = {name: GROUPS[name] for name in GROUPS if name != 'v1-south'}
    assert not opening.settle(left)
    assert not opening.closed


def test_open_connections_do_not_affect_new_ones() -> None:
    host = Host()
    suspected_at = []
    host.reachability.on_opening_suspect = lambda: suspected_at.append(host.now)
    for name in ('v0-north', 'o0-south', 'v1-south'):
        host.reachability.note_unopened(host.entry(name))
        host.answer('v0-north', 'o1-south')
    assert suspected_at == [host.now]
    assert host.reachability.is_sound
    assert not any(
        host.reachability.may_open(host.entry(name)) for name in PLACES
    )
    # An answer on a new connection opens all groups; broken open connections
    # close none.
    host.reachability.note_opened(host.entry('o1-north'))
    assert all(host.reachability.may_open(host.entry(name)) for name in PLACES)
    host.fail('v0-north', 'o0-south', 'v1-south')
    assert host.reachability.is_cut_off
    assert all(host.reachability.may_open(host.entry(name)) for name in PLACES)
