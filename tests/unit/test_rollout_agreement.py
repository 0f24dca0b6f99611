"""Hosts agree on roll-outs after any course of orders, writes and restores."""

from dataclasses import dataclass, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st
from lib.revisions import at
from lib.rollouts import PERIOD, KnowingHost, rollout_of
from lib.upstreams import Clock

from wardstair.decisions.rollouts import RolloutState
from wardstair.state.revision import Revision
from wardstair.state.rollouts import Rollout, RolloutRecord, VersionRole

VERSIONS = ('v1', 'v2', 'v3')
HOSTS = 3


@dataclass(frozen=True)
class Content:
    """What the store holds: at most one order, with its record."""

    number: int = 10
    rollout: Rollout | None = None


class World:
    """A store, copies of it, and hosts that read it and hear each other."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.era = 1
        self.content = Content()
        self.copy = self.content
        self.hosts = [KnowingHost(self.clock) for _ in range(HOSTS)]
        for host in self.hosts:
            host.serve(*VERSIONS)

    def order(self, version: str) -> None:
        before = self.content.rollout
        self._put(version, None if before is None else before.record)

    def withdraw(self, _version: str) -> None:
        self.content = Content(self.content.number + 1)

    def save(self, _version: str) -> None:
        self.copy = self.content

    def restore(self, _version: str) -> None:
        self.era += 1
        rollout = self.copy.rollout
        if rollout is not None:
            revision = replace(rollout.revision, era=self.era)
            rollout = replace(rollout, revision=revision)
        self.content = replace(self.copy, rollout=rollout)

    def read(self, index: int) -> None:
        rollout = self.content.rollout
        self.hosts[index].read(
            at(self.content.number, self.era), *([rollout] if rollout else [])
        )

    def hear(self, index: int, other: int) -> None:
        if index != other:
            self.hosts[index].hear(self.hosts[other])

    def record(self, index: int, state: RolloutState) -> None:
        """Let a host write a record, on condition of what it knows."""
        host = self.hosts[index]
        held = self.content.rollout
        known = host.table.of_service('views')
        if held is None or known is None or known.revision != held.revision:
            return
        began_at = float(self.content.number)
        if held.own_record is not None:
            began_at = held.own_record.began_at
        record = RolloutRecord(
            known.order.version, state, began_at=began_at, reserved=len(state)
        )
        if not host.table.accepts(known, record):
            return
        own = held.own_record
        assert own is None or not own.state.is_final
        self._put(held.order.version, record)
        assert self.content.rollout is not None
        host.table.adopt(self.content.rollout)

    def write_missing(self, index: int) -> None:
        """Let a host write what the store lacks."""
        for rollout in self.hosts[index].table.records_to_restore:
            held = self.content.rollout
            record = rollout.record
            assert record is not None
            if held is None or held.revision != rollout.revision:
                continue
            assert self.hosts[index].table.accepts(rollout, record)
            self._put(held.order.version, record)
            assert self.content.rollout is not None
            self.hosts[index].table.adopt(self.content.rollout)

    def wait(self, seconds: float) -> None:
        self.clock.now += seconds
        for host in self.hosts:
            host.state.expire_kept_zones()

    def settle(self) -> None:
        """Let hosts read and hear all, until nothing is left to write."""
        self.wait(PERIOD + 1)
        for _ in range(3):
            for index in range(HOSTS):
                self.read(index)
                self.write_missing(index)
            for index in range(HOSTS):
                for other in range(HOSTS):
                    self.hear(index, other)
            self.wait(PERIOD + 1)

    def _put(self, version: str, record: RolloutRecord | None) -> None:
        number = self.content.number + 1
        revision = Revision(self.era, number)
        self.content = Content(number, rollout_of(version, revision, record))


def seen(host: KnowingHost) -> tuple[VersionRole, ...]:
    return tuple(host.roles(*VERSIONS))


INDEX = st.integers(0, HOSTS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(['order', 'withdraw', 'save', 'restore']),
            st.sampled_from(VERSIONS),
        ),
        st.tuples(st.just('read'), INDEX),
        st.tuples(st.just('write_missing'), INDEX),
        st.tuples(st.just('hear'), INDEX, INDEX),
        st.tuples(st.just('record'), INDEX, st.sampled_from(RolloutState)),
        st.tuples(st.just('wait'), st.sampled_from([1.0, PERIOD + 1])),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None)
@example(
    # A host sees that an order is gone, but not that it had ended.
    [
        ('order', 'v2'),
        ('read', 0),
        ('read', 1),
        ('record', 0, RolloutState.complete),
        ('withdraw', 'v2'),
    ]
)
@example(
    # A host that lacks a later completion writes an earlier one again.
    [
        ('read', 2),
        ('read', 1),
        ('order', 'v2'),
        ('read', 0),
        ('record', 0, RolloutState.running),
        ('record', 0, RolloutState.complete),
        ('read', 1),
        ('restore', ''),
        ('order', 'v1'),
        ('read', 1),
        ('hear', 0, 1),
        ('read', 0),
        ('order', 'v1'),
        ('read', 2),
        ('record', 2, RolloutState.complete),
        ('read', 0),
        ('withdraw', ''),
        ('read', 2),
        ('order', 'v2'),
    ]
)
@given(STEPS)
def test_hosts_agree_after_any_course(
    steps: list[tuple[object, ...]],
) -> None:
    world = World()
    for name, *arguments in steps:
        getattr(world, str(name))(*arguments)
    world.settle()
    assert len({host.table.digest for host in world.hosts}) == 1
    assert len({seen(host) for host in world.hosts}) == 1
    assert len({host.table.running for host in world.hosts}) == 1
    assert not any(host.table.records_to_restore for host in world.hosts)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_a_version_that_was_rolled_back_is_never_new_again(
    steps: list[tuple[object, ...]],
) -> None:
    world = World()
    rolled_back: dict[int, set[str]] = {index: set() for index in range(HOSTS)}
    for name, *arguments in steps:
        getattr(world, str(name))(*arguments)
        for index, host in enumerate(world.hosts):
            barred = rolled_back[index]
            for known in host.table.shared.records:
                if known.record.state is RolloutState.rolled_back:
                    barred.add(known.record.version)
            for rollout in host.table.running:
                assert rollout.order.version not in barred
