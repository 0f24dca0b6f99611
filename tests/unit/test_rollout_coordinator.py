"""Tests of the coordinator of roll-outs with fakes of store and hosts."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import wraps
from typing import ParamSpec

import pytest
from lib.revisions import at
from lib.upstreams import ENTRY

from wardstair.decisions.rollout_plan import RolloutProgress, RolloutStep
from wardstair.decisions.rollouts import (
    RolloutBounds,
    RolloutStage,
    RolloutState,
)
from wardstair.fleet.rollout_endpoint import PlanOfZone
from wardstair.fleet.rollout_messages import RolloutPlan, RolloutReport
from wardstair.gateway import rollout_coordinator
from wardstair.gateway.rollout_coordinator import RolloutCoordinator
from wardstair.gateway.rollout_scene import RolloutScene
from wardstair.gateway.rollout_writes import RETRY_SECONDS
from wardstair.state.revision import Revision
from wardstair.state.rollout_records import (
    RecordOutcome,
    RecordRefused,
    RecordUnknown,
    RecordWritten,
)
from wardstair.state.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutRecord,
    RolloutTable,
)
from wardstair.state.upstream import Upstream

Arguments = ParamSpec('Arguments')
SERVICE = ENTRY.service
ORDER = RolloutOrder(SERVICE, 'v2', 60.0)
BOUNDS = RolloutBounds(share=0.1, slack=50, rollback_seconds=5.0)
OLD = [
    Upstream(replace(ENTRY, name=f'old-{number}', version='v1', slots=4))
    for number in range(10)
]
NEW = [
    Upstream(replace(ENTRY, name=f'new-{number}', version='v2', slots=4))
    for number in range(10)
]
TEST = RolloutStep(RolloutStage.testing, 0.1, None, 'testing')
MOVE = RolloutStep(RolloutStage.moving, 0.5, None, 'tested')
SWITCH = RolloutStep(RolloutStage.switched, 1.0, None, 'moved')
COMPLETE = RolloutStep(
    RolloutStage.switched, 1.0, RolloutState.complete, 'moved'
)
BAD = RolloutStep(
    RolloutStage.stopped, 0.0, RolloutState.rolled_back, 'bad-answers'
)


def in_loop(
    test: Callable[Arguments, Awaitable[None]],
) -> Callable[Arguments, None]:
    """Return a test that runs in an event loop of its own."""

    @wraps(test)
    def run(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        async def run_test() -> None:
            await test(*args, **kwargs)

        asyncio.run(run_test())

    return run


@dataclass
class FakeStore:
    """One object with a conditional write, as hosts share it."""

    record: RolloutRecord | None = None
    number: int = 1
    unanswered: int = 0
    writes: list[RolloutRecord] = field(default_factory=list)

    @property
    def revision(self) -> Revision:
        return at(self.number)

    def put(self, record: RolloutRecord) -> None:
        self.record = record
        self.number += 1
        self.writes.append(record)


class Host:
    """A coordinator with its own knowledge of the store."""

    def __init__(self, name: str, store: FakeStore) -> None:
        self.name = name
        self.store = store
        self.table = RolloutTable()
        self.is_first = True
        self.is_sentinel = True
        self.is_led = False
        self.live_hosts: set[str] = set()
        self.plans: list[RolloutPlan] = []
        self.step_is = TEST
        self.progress: list[RolloutProgress] = []
        scene = RolloutScene(
            own=name,
            is_sentinel=lambda: self.is_sentinel,
            may_write=lambda: self.is_first,
            is_led=lambda _service: self.is_led,
            has_contact=lambda: True,
            bounds=lambda: BOUNDS,
            contact_seconds=lambda: 4.0,
            live_hosts=lambda: self.live_hosts,
            share=lambda _service: 0.0,
            upstreams=lambda _service: [*OLD, *NEW],
            work_seconds=lambda _service: 0.1,
            cold_rate=lambda _service: 10.0,
        )
        self.coordinator = RolloutCoordinator(self.table, scene, self._write)
        self.coordinator.send_plan = self._send
        self.read()

    @property
    def stage(self) -> RolloutStage:
        return self.plans[-1].stage

    def read(self) -> None:
        """Learn what the store holds."""
        rollout = Rollout(ORDER, self.store.record, self.store.revision)
        self.table.replace_all([rollout], self.store.revision, 'listing')

    async def go_on(self) -> None:
        """Take a step, and let a write that it begins end."""
        self.coordinator.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def report(
        self,
        host: str = 'host-9',
        run: int = 1,
        number: int = 1,
        requests: int = 0,
        sent: int = 0,
        allowed: int = 0,
        stage: RolloutStage = RolloutStage.testing,
        waiting: int = 0,
        can_use_more: bool = True,
    ) -> None:
        self.coordinator.take_report(
            RolloutReport(
                host,
                'north-a',
                run,
                number,
                SERVICE,
                'v2',
                requests,
                sent,
                allowed,
                can_use_more,
                stage=stage,
                waiting=waiting,
            )
        )

    def _send(self, plan_of: PlanOfZone) -> None:
        self.plans.append(plan_of('north-a'))

    async def _write(
        self, rollout: Rollout, record: RolloutRecord
    ) -> RecordOutcome:
        if self.store.unanswered:
            self.store.unanswered -= 1
            return RecordUnknown('no answer')
        if rollout.revision != self.store.revision:
            self.read()
            return RecordRefused(None, 'another revision holds')
        self.store.put(record)
        self.read()
        return RecordWritten(Rollout(ORDER, record, self.store.revision))


@pytest.fixture(autouse=True)
def _scripted(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Take the steps that a test sets, and let time pass only by request."""

    def next_step(progress: RolloutProgress) -> RolloutStep:
        host = _current[0]
        host.progress.append(progress)
        return host.step_is

    monkeypatch.setattr(rollout_coordinator, 'next_step', next_step)
    yield
    _current.clear()


_current: list[Host] = []


def make_host(name: str, store: FakeStore) -> Host:
    host = Host(name, store)
    _current[:] = [host]
    return host


def later(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    now = time.monotonic() + seconds
    monkeypatch.setattr(time, 'monotonic', lambda: now)


@in_loop
async def test_taking_over_records_the_host_before_any_plan() -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    assert store.record is not None
    assert store.record.coordinator == 'host-1'
    assert not host.plans
    await host.go_on()
    assert host.plans[-1].term == at(2)


@in_loop
async def test_a_host_that_is_not_the_first_sentinel_does_not_take_over() -> (
    None
):
    store = FakeStore()
    host = make_host('host-1', store)
    host.is_first = False
    await host.go_on()
    assert store.record is None


@in_loop
async def test_no_host_takes_over_while_a_coordinator_is_heard() -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    host.is_led = True
    await host.go_on()
    assert store.record is None
    host.is_led = False
    await host.go_on()
    assert store.record is not None


@in_loop
async def test_allowances_are_recorded_before_they_are_given() -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    store.unanswered = 1
    host.report(requests=100)
    await host.go_on()
    assert not any(host.plans[-1].allowances.values())


@in_loop
async def test_the_sum_of_allowances_stays_below_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    allowed = dict.fromkeys(range(40), 0)
    for turn in range(1, 30):
        requests = turn * 10
        for one, allowance in allowed.items():
            # Each host sends all it may.
            host.report(f'host-{one}', 1, turn, requests, allowance, allowance)
        later(monkeypatch, 0.25)
        await host.go_on()
        plan = host.plans[-1]
        books = host.coordinator.books[ORDER.target].hosts
        for number, known in books.items():
            one = int(known.last.sender.removeprefix('host-'))
            allowed[one] = max(allowed[one], plan.allowances[number])
        assert store.record is not None
        limit = BOUNDS.share * requests * len(allowed) + BOUNDS.slack
        assert sum(allowed.values()) <= store.record.reserved <= limit
    assert sum(allowed.values()) > BOUNDS.slack


@in_loop
async def test_a_successor_counts_what_was_reserved_as_given() -> None:
    store = FakeStore(
        RolloutRecord(
            'v2',
            RolloutState.running,
            RolloutStage.testing,
            50,
            0,
            time.time(),
            'host-1',
        )
    )
    host = make_host('host-2', store)
    host.report(requests=0, sent=3, allowed=5)
    await host.go_on()
    host.report(number=2, requests=0, sent=5, allowed=5)
    await host.go_on()
    assert max(host.plans[-1].allowances.values()) == 5
    assert host.progress[-1].sent == 50
    # A host that is heard later has a part of the rest.
    host.report('host-8', sent=20, allowed=30)
    await host.go_on()
    assert host.progress[-1].sent == 50


@in_loop
async def test_requests_of_dead_hosts_stay_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.report('host-8', 1, 1, 70, 7, 7)
    host.report('host-9', 1, 1, 30, 3, 3)
    later(monkeypatch, 60.0)
    host.report('host-9', 2, 1, 5, 1, 1)
    await host.go_on()
    assert host.progress[-1].requests == 105
    assert host.progress[-1].sent == 11


@in_loop
async def test_a_later_stage_is_recorded_before_hosts_follow_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = MOVE
    store.unanswered = 1
    await host.go_on()
    before = host.stage
    later(monkeypatch, RETRY_SECONDS * 2)
    await host.go_on()
    await host.go_on()
    assert (before, host.stage) == (TEST.stage, MOVE.stage)
    assert store.record is not None
    assert store.record.stage is RolloutStage.moving


@in_loop
async def test_a_bad_version_is_stopped_before_it_is_recorded() -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = BAD
    store.unanswered = 1
    await host.go_on()
    assert host.stage is RolloutStage.stopped
    assert host.plans[-1].reason == 'bad-answers'


@in_loop
async def test_a_stop_is_not_taken_back_and_is_recorded_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = BAD
    store.unanswered = 2
    await host.go_on()
    host.step_is = TEST
    for seconds in (RETRY_SECONDS * 2, RETRY_SECONDS * 4):
        later(monkeypatch, seconds)
        await host.go_on()
        assert host.stage is RolloutStage.stopped
    assert store.record is not None
    assert store.record.state is RolloutState.rolled_back
    assert not host.table.running


@in_loop
async def test_after_an_unanswered_completion_a_stop_awaits_the_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = SWITCH
    await host.go_on()
    host.step_is = COMPLETE
    store.unanswered = 2
    await host.go_on()
    host.step_is = BAD
    later(monkeypatch, RETRY_SECONDS * 2)
    await host.go_on()
    assert host.stage is RolloutStage.switched
    later(monkeypatch, RETRY_SECONDS * 4)
    await host.go_on()
    assert store.record is not None
    assert store.record.state is RolloutState.rolled_back


@pytest.mark.parametrize(
    ('stage', 'waiting', 'expected'),
    [
        (RolloutStage.moving, 0, 1),
        (RolloutStage.switched, 1, 1),
        (RolloutStage.switched, 0, 0),
    ],
)
@in_loop
async def test_hosts_with_requests_at_old_upstreams_are_waited_for(
    stage: RolloutStage, waiting: int, expected: int
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = SWITCH
    await host.go_on()
    host.report(stage=stage, waiting=waiting)
    await host.go_on()
    assert host.progress[-1].waiting_hosts == expected


@pytest.mark.parametrize(
    ('seconds', 'expected'),
    [
        (60.0, 1),
        # Too little time is left to wait for longer than the contact time.
        (3.0, 0),
    ],
)
@in_loop
async def test_live_hosts_that_do_not_report_are_waited_for_while_there_is_time(
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
    expected: int,
) -> None:
    order = replace(ORDER, seconds=seconds)
    monkeypatch.setitem(globals(), 'ORDER', order)
    store = FakeStore()
    host = make_host('host-1', store)
    host.live_hosts = {'host-1', 'host-9'}
    await host.go_on()
    host.report('host-9')
    await host.go_on()
    assert host.progress[-1].waiting_hosts == 1
    later(monkeypatch, 4.5)
    host.report('host-9', number=2)
    await host.go_on()
    assert host.progress[-1].waiting_hosts == expected


@in_loop
async def test_a_changed_time_does_not_end_the_term() -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.report('host-9', requests=9)
    store.number += 1
    changed = Rollout(
        replace(ORDER, seconds=90.0), store.record, store.revision
    )
    host.table.replace_all([changed], store.revision, 'listing')
    await host.go_on()
    assert host.progress[-1].seconds == 90.0
    assert host.progress[-1].requests == 9


@in_loop
async def test_a_host_that_is_out_of_touch_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    host.step_is = SWITCH
    await host.go_on()
    host.report(stage=RolloutStage.moving)
    later(monkeypatch, 4.5)
    await host.go_on()
    assert host.progress[-1].waiting_hosts == 0


@pytest.mark.parametrize('way', ['record', 'plan'])
@in_loop
async def test_a_replaced_coordinator_sends_no_more_plans(way: str) -> None:
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    await host.go_on()
    host.is_first = False
    sent = len(host.plans)
    assert store.record is not None
    if way == 'record':
        store.put(replace(store.record, coordinator='host-2'))
        host.read()
    else:
        host.coordinator.note_plan(
            replace(host.plans[-1], term=at(store.number + 1))
        )
    await host.go_on()
    assert len(host.plans) == sent
    assert not host.coordinator.leads


@in_loop
async def test_of_two_coordinators_one_takes_over() -> None:
    store = FakeStore()
    one = make_host('host-1', store)
    other = make_host('host-2', store)
    await asyncio.gather(one.go_on(), other.go_on())
    await one.go_on()
    await other.go_on()
    assert len(one.coordinator.leads) + len(other.coordinator.leads) == 1


@in_loop
async def test_a_stop_that_only_hosts_know_is_kept_by_a_successor() -> None:
    store = FakeStore()
    host = make_host('host-2', store)
    host.report(stage=RolloutStage.stopped)
    await host.go_on()
    await host.go_on()
    assert store.record is not None
    assert store.record.state is RolloutState.rolled_back


@in_loop
async def test_a_successor_knows_the_rate_at_its_first_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = FakeStore()
    host = make_host('host-2', store)
    host.is_led = True
    for turn in range(1, 5):
        host.report(number=turn, requests=turn * 25)
        later(monkeypatch, 0.25)
        await host.go_on()
    host.is_led = False
    await host.go_on()
    await host.go_on()
    assert host.progress[0].rate > 0


@in_loop
async def test_a_report_from_before_the_switch_does_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was counted after a return to the stage before and a second switch."""
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    later(monkeypatch, 1)
    host.step_is = SWITCH
    await host.go_on()
    host.report(stage=RolloutStage.switched)
    for step in (MOVE, SWITCH):
        later(monkeypatch, 1)
        host.step_is = step
        await host.go_on()
    await host.go_on()
    before = host.progress[-1].waiting_hosts
    host.report(number=2, stage=RolloutStage.switched)
    await host.go_on()
    assert (before, host.progress[-1].waiting_hosts) == (1, 0)


@in_loop
async def test_plans_name_the_upstreams_under_test_only_during_the_test() -> (
    None
):
    """Later it was all upstreams, and plans did not fit into a datagram."""
    store = FakeStore()
    host = make_host('host-1', store)
    await host.go_on()
    await host.go_on()
    assert host.plans[-1].group
    host.step_is = MOVE
    await host.go_on()
    await host.go_on()
    await host.go_on()
    assert host.stage is RolloutStage.moving
    assert not host.coordinator.leads[ORDER.target].group
