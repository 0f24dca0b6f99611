"""Tests of the gate that permits upstreams by version, and of its counts."""

import time
from dataclasses import replace

import pytest
from lib.revisions import at
from lib.upstreams import ENTRY

from wardstair.decisions.rollout_verdict import AnswerTally
from wardstair.decisions.rollouts import RolloutStage, RolloutState
from wardstair.fleet.rollout_messages import RolloutPlan, number_of_upstream
from wardstair.gateway import rollouts
from wardstair.gateway.host_rollout import GateIdentity
from wardstair.gateway.rollouts import RolloutGate
from wardstair.state.entries import UpstreamEntry
from wardstair.state.restoration import Restoration
from wardstair.state.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutTable,
    VersionRole,
)
from wardstair.state.upstream import Upstream

SERVICE = ENTRY.service
OWN = GateIdentity('host-1', 'north-a', 7)
OLD = [
    Upstream(replace(ENTRY, name=f'old-{number}', version='v1'))
    for number in range(3)
]
NEW = [
    Upstream(replace(ENTRY, name=f'new-{number}', version='v2'))
    for number in range(3)
]
OTHER = Upstream(replace(ENTRY, name='other', version='v3'))
RANKED = [NEW[0], OLD[0], NEW[1], OLD[1], NEW[2], OLD[2]]
GROUP = frozenset([number_of_upstream(NEW[1].incarnation)])


class FakeTable(RolloutTable):
    """Roles by version, and one running roll-out to `v2` if any."""

    def __init__(self) -> None:
        super().__init__()
        self.record: RolloutRecord | None = None
        self.roles = {
            'v1': VersionRole.old,
            'v2': VersionRole.new,
            'v3': VersionRole.withheld,
        }
        self.is_running = True

    @property
    def running(self) -> tuple[Rollout, ...]:
        order = RolloutOrder(SERVICE, 'v2', 60.0)
        rollout = Rollout(order, self.record, at(1))
        return (rollout,) if self.is_running else ()

    def role_of(self, entry: UpstreamEntry) -> VersionRole:
        return self.roles[entry.version]


class Host:
    """A gate with its table."""

    def __init__(self) -> None:
        self.table = FakeTable()
        self.gate = RolloutGate()
        self.upstreams = 0
        self.gate.attach(self.table, OWN, lambda: self.upstreams)
        self.number = 0

    def plan(
        self,
        stage: RolloutStage,
        share: float = 1.0,
        allowed: int = 0,
        term: int = 5,
    ) -> bool:
        self.number += 1
        return self.gate.follow(
            RolloutPlan(
                SERVICE,
                'v2',
                at(term),
                self.number,
                stage,
                share,
                GROUP,
                {OWN.number: allowed},
            )
        )

    def names(self, *, is_resend: bool = False) -> list[list[str]]:
        groups = self.gate.groups(RANKED, 'key', is_resend=is_resend)
        return [[one.name for one in group] for group in groups]


@pytest.fixture(autouse=True)
def _share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollouts, 'is_in_share', lambda *args: args[2] >= 1)


OLD_NAMES = [one.name for one in OLD]
NEW_NAMES = [one.name for one in NEW]
TESTED = [NEW[1].name]


@pytest.mark.parametrize(
    ('stage', 'share', 'allowed', 'permitted'),
    [
        (RolloutStage.testing, 1.0, 1, [TESTED, OLD_NAMES]),
        (RolloutStage.testing, 0.0, 1, [OLD_NAMES, TESTED]),
        (RolloutStage.testing, 1.0, 0, [OLD_NAMES]),
        (RolloutStage.moving, 1.0, 0, [NEW_NAMES, OLD_NAMES]),
        (RolloutStage.moving, 0.0, 1, [OLD_NAMES, NEW_NAMES]),
        (RolloutStage.moving, 0.0, 0, [OLD_NAMES]),
        (RolloutStage.switched, 0.0, 0, [NEW_NAMES]),
        (RolloutStage.stopped, 1.0, 1, [OLD_NAMES]),
    ],
)
def test_a_stage_permits_its_upstreams(
    stage: RolloutStage,
    share: float,
    allowed: int,
    permitted: list[list[str]],
) -> None:
    host = Host()
    host.plan(stage, share, allowed)
    assert host.names() == permitted


def test_without_a_roll_out_all_upstreams_are_in_one_group() -> None:
    host = Host()
    host.table.is_running = False
    host.gate.refresh()
    assert host.gate.groups(RANKED, 'key', is_resend=False) == [RANKED]
    assert RolloutGate().groups(RANKED, 'key', is_resend=False) == [RANKED]


def test_without_a_plan_nothing_goes_to_the_new_version() -> None:
    host = Host()
    assert host.names() == [OLD_NAMES]
    assert not host.gate.may_send(NEW[1])


@pytest.mark.parametrize(
    ('stage', 'may_send'),
    [
        (RolloutStage.testing, False),
        (RolloutStage.moving, False),
        (RolloutStage.switched, True),
        (RolloutStage.stopped, False),
    ],
)
def test_a_lapsed_plan_permits_the_new_version_only_after_the_switch(
    stage: RolloutStage, may_send: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    host = Host()
    host.plan(stage, allowed=5)
    later = time.monotonic() + 1.1
    monkeypatch.setattr(time, 'monotonic', lambda: later)
    host.gate.check_plans()
    host.gate.check_plans()
    assert host.gate.may_send(NEW[1]) is may_send
    lapses = stage in {RolloutStage.testing, RolloutStage.moving}
    assert host.gate.lapsed == int(lapses)


def test_requests_beyond_the_allowance_go_to_old_upstreams() -> None:
    host = Host()
    host.plan(RolloutStage.testing, allowed=2)
    for _ in range(2):
        assert host.names()[0] == TESTED
        host.gate.note_sent(NEW[1])
    assert host.names() == [OLD_NAMES]
    host.gate.note_unsent(NEW[1])
    assert host.names()[0] == TESTED


@pytest.mark.parametrize(
    ('began_at', 'sent'),
    [
        (10.0, 2),
        # A later order for the same version.
        (20.0, 0),
    ],
)
def test_an_allowance_is_not_spent_again_if_the_order_leaves_and_returns(
    began_at: float,
    sent: int,
) -> None:
    host = Host()
    running = RolloutRecord('v2', RolloutState.running, began_at=10.0)
    host.table.record = running
    host.gate.refresh()
    host.plan(RolloutStage.testing, allowed=2)
    host.gate.note_sent(NEW[1])
    host.gate.note_sent(NEW[1])
    assert host.names() == [OLD_NAMES]
    host.table.is_running = False
    host.gate.refresh()
    host.table.is_running = True
    host.table.record = replace(running, began_at=began_at)
    host.gate.refresh()
    host.plan(RolloutStage.testing, allowed=2)
    (report,) = host.gate.reports([])
    assert report.sent == sent
    assert (host.names() == [OLD_NAMES]) is bool(sent)


def test_a_resend_prefers_old_upstreams_during_the_test() -> None:
    host = Host()
    host.plan(RolloutStage.testing, allowed=2)
    assert host.names(is_resend=True) == [OLD_NAMES, TESTED]


def test_an_allowance_is_never_lowered_by_an_older_plan() -> None:
    host = Host()
    host.plan(RolloutStage.testing, allowed=5)
    host.plan(RolloutStage.testing, allowed=3)
    assert host.gate.running[SERVICE].allowed == 5


def test_plans_of_an_earlier_term_are_ignored() -> None:
    host = Host()
    assert host.plan(RolloutStage.testing, allowed=1, term=5)
    assert not host.plan(RolloutStage.moving, allowed=9, term=4)
    rollout = host.gate.running[SERVICE]
    assert (rollout.planned, rollout.allowed) == (RolloutStage.testing, 1)


def test_a_stopped_roll_out_is_not_taken_up_again() -> None:
    host = Host()
    host.plan(RolloutStage.stopped)
    host.plan(RolloutStage.moving, term=6)
    assert host.names() == [OLD_NAMES]


def test_a_recorded_switch_is_followed_while_no_plan_is_heard() -> None:
    host = Host()
    host.table.record = RolloutRecord(
        'v2', RolloutState.running, RolloutStage.switched
    )
    host.gate.refresh()
    assert host.names() == [NEW_NAMES]
    host.plan(RolloutStage.moving)
    assert host.names() == [NEW_NAMES, OLD_NAMES]


def test_a_recorded_stop_is_followed_whatever_the_plans_say() -> None:
    host = Host()
    host.table.record = RolloutRecord(
        'v2', RolloutState.running, RolloutStage.stopped
    )
    host.gate.refresh()
    host.plan(RolloutStage.moving)
    assert host.names() == [OLD_NAMES]


def test_an_upstream_is_barred_until_its_version_is_in_order() -> None:
    host = Host()
    before = host.gate.generation
    assert host.gate.is_barred(OTHER.entry)
    assert host.gate.generation == before
    host.table.roles['v3'] = VersionRole.usual
    host.table.on_change()
    assert host.gate.generation != before
    assert not host.gate.is_barred(OTHER.entry)


def test_roles_are_looked_up_again_when_the_upstreams_change() -> None:
    host = Host()
    assert not host.gate.is_barred(OLD[0].entry)
    before = host.gate.generation
    host.table.roles['v1'] = VersionRole.excluded
    host.upstreams += 1
    assert host.gate.generation != before
    assert host.gate.is_barred(OLD[0].entry)


def test_requests_under_way_at_old_upstreams_are_counted() -> None:
    host = Host()
    for upstream in (OLD[0], OLD[0], NEW[0]):
        host.gate.note_sent(upstream)
    assert host.gate.waiting(SERVICE) == 2
    host.gate.note_ended(OLD[0])
    host.gate.note_ended(NEW[0])
    assert host.gate.waiting(SERVICE) == 1


def test_a_request_sent_before_the_order_counts_as_under_way() -> None:
    host = Host()
    host.table.is_running = False
    host.gate.refresh()
    host.gate.note_sent(OLD[0])
    host.table.is_running = True
    host.gate.refresh()
    assert host.gate.waiting(SERVICE) == 1


def test_reports_hold_counts_and_tell_of_bad_answers_once() -> None:
    host = Host()
    host.plan(RolloutStage.testing, allowed=4)
    host.gate.note_sent(NEW[1])
    host.gate.note_answer(NEW[1], 'read', is_failed=True, is_slow=True)
    host.gate.note_answer(OLD[1], 'read', is_failed=False, is_slow=True)
    (report,) = host.gate.reports([NEW[1]])
    assert (report.requests, report.sent, report.allowed) == (1, 1, 4)
    assert list(report.new.values()) == [AnswerTally(1, 1, 0)]
    assert list(report.old.values()) == [AnswerTally(1, 0, 1)]
    assert report.can_use_more
    assert report.is_urgent
    (later,) = host.gate.reports([NEW[0], OLD[0]])
    assert not later.is_urgent
    assert not later.can_use_more
    assert later.number > report.number


@pytest.mark.parametrize(
    ('versions', 'permitted'),
    [
        (('v2',), NEW),
        (('v1', 'v2'), []),
    ],
)
def test_an_order_for_the_only_version_in_service_refuses_no_request(
    versions: tuple[str, ...], permitted: list[Upstream]
) -> None:
    """All requests were refused until the switch was recorded."""
    host = Host()
    host.table.attach(
        Restoration(time.monotonic), lambda _service: versions, bool
    )
    assert host.gate.groups(NEW, 'key', is_resend=False) == [permitted]
    assert host.gate.may_send(NEW[0]) is bool(permitted)
