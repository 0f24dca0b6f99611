"""What a host knows of roll-outs, and which versions may receive requests."""

from dataclasses import replace

import pytest
from lib.logs import logged
from lib.revisions import at
from lib.rollouts import (
    PERIOD,
    SERVICE,
    KnowingHost,
    entry_of,
    record_of,
    rollout_of,
)
from lib.upstreams import Clock

from wardstair.decisions.rollouts import RolloutState
from wardstair.state.past_rollouts import KnownRecord
from wardstair.state.revision import NO_REVISION
from wardstair.state.rollouts import (
    RolloutTable,
    UnusableRollout,
    VersionRole,
)
from wardstair.state.shared_rollouts import SharedRollouts

USUAL = VersionRole.usual
OLD = VersionRole.old
NEW = VersionRole.new
WITHHELD = VersionRole.withheld
EXCLUDED = VersionRole.excluded
COMPLETE = RolloutState.complete
ROLLED_BACK = RolloutState.rolled_back
RUNNING = RolloutState.running


def host_with_v1() -> KnowingHost:
    """Return a host that knows that v1 is in order, at revision 10."""
    host = KnowingHost()
    host.serve('v1')
    host.read(at(10))
    assert host.roles('v1') == [USUAL]
    return host


def host_with_both() -> KnowingHost:
    host = host_with_v1()
    host.serve('v1', 'v2')
    return host


def test_a_table_that_is_not_in_use_changes_nothing() -> None:
    table = RolloutTable(is_in_use=False)
    assert table.role_of(entry_of('v2', 99)) is USUAL
    assert not table.needs_check(entry_of('v2', 99))
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11)))
    table.merge_peer(host.table.shared, 'host:other')
    assert table.revision == NO_REVISION
    assert table.digest == 0
    assert table.running == ()


def test_nothing_is_sent_to_a_version_before_the_orders_are_known() -> None:
    host = KnowingHost()
    host.serve('v1')
    assert host.roles('v1', '') == [WITHHELD, USUAL]
    host.read(at(10))
    assert host.roles('v1', '') == [USUAL, USUAL]


@pytest.mark.parametrize(
    ('state', 'roles'),
    [
        (None, [OLD, NEW]),
        (RUNNING, [OLD, NEW]),
        (COMPLETE, [EXCLUDED, USUAL]),
        (ROLLED_BACK, [USUAL, EXCLUDED]),
    ],
)
def test_a_roll_out_gives_each_version_its_role(
    state: RolloutState | None, roles: list[VersionRole]
) -> None:
    host = host_with_both()
    record = record_of('v2', state) if state else None
    assert host.read(at(12), rollout_of('v2', at(11), record))
    assert host.roles('v1', 'v2') == roles
    rollout = host.table.of_service(SERVICE)
    assert rollout is not None
    assert rollout.state is (state or RUNNING)
    has_ended = state is not None and state.is_final
    assert len(host.table.running) == (0 if has_ended else 1)


@pytest.mark.parametrize(
    ('state', 'left'), [(COMPLETE, 'v1'), (ROLLED_BACK, 'v2')]
)
def test_a_version_without_others_serves(
    state: RolloutState, left: str
) -> None:
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11), record_of('v2', state)))
    assert host.roles(left) == [EXCLUDED]
    host.serve(left)
    assert host.roles(left) == [USUAL]


def test_a_version_without_order_waits_for_the_orders_of_its_time() -> None:
    host = host_with_v1()
    late = entry_of('v2', number=20)
    assert host.table.role_of(late) is WITHHELD
    assert host.table.needs_check(late)
    assert host.table.withheld_at == at(20)
    before = host.changes
    host.table.raise_revision(at(19))
    assert host.table.role_of(late) is WITHHELD
    host.table.raise_revision(at(20))
    assert host.table.role_of(late) is USUAL
    assert host.changes == before + 1
    # Further upstreams of it, and later entries, need no check.
    assert not host.table.needs_check(entry_of('v2', number=40))


def test_a_third_version_waits_while_a_roll_out_is_running() -> None:
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11)))
    assert host.table.role_of(entry_of('v3', number=20)) is WITHHELD
    host.read(at(19), rollout_of('v3', at(19)))
    assert host.table.role_of(entry_of('v3', number=20)) is NEW
    assert host.roles('v1') == [OLD]


def test_a_withdrawn_target_is_excluded() -> None:
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11), record_of('v2')))
    host.read(at(13))
    assert host.table.of_service(SERVICE) is None
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    host.serve('v2')
    assert host.roles('v2') == [USUAL]
    host.serve('v1', 'v2')
    host.read(at(15), rollout_of('v2', at(15)))
    assert host.roles('v1', 'v2') == [OLD, NEW]


@pytest.mark.parametrize('has_record', [False, True])
def test_an_order_that_is_replaced_is_withdrawn(*, has_record: bool) -> None:
    host = host_with_both()
    host.serve('v1', 'v2', 'v3')
    record = record_of('v2') if has_record else None
    host.read(at(12), rollout_of('v2', at(11), record))
    host.read(at(14), rollout_of('v3', at(14), record))
    assert host.roles('v1', 'v2', 'v3') == [OLD, EXCLUDED, NEW]
    rollout = host.table.of_service(SERVICE)
    assert rollout is not None
    assert rollout.own_record is None


def test_a_record_of_a_replaced_order_excludes_it_on_a_new_host() -> None:
    host = KnowingHost()
    host.serve('v1', 'v2', 'v3')
    host.read(at(14), rollout_of('v3', at(14), record_of('v2')))
    assert host.roles('v1', 'v2', 'v3') == [OLD, EXCLUDED, NEW]


def test_an_older_listing_is_ignored() -> None:
    host = host_with_both()
    done = rollout_of('v2', at(14), record_of('v2', COMPLETE))
    host.read(at(14), done)
    assert not host.read(at(12), rollout_of('v2', at(11)))
    assert host.table.of_service(SERVICE) == done


def test_the_revision_rises_with_changes_only() -> None:
    host = host_with_both()
    rollout = rollout_of('v2', at(11))
    assert host.read(at(12), rollout)
    assert not host.read(at(30), rollout)
    assert host.table.revision == at(12)


@pytest.mark.parametrize('state', [COMPLETE, ROLLED_BACK])
@pytest.mark.parametrize('record', [None, record_of('v2', RUNNING)])
@pytest.mark.parametrize('era', [1, 2])
def test_an_end_outlasts_a_store_that_lacks_it(
    state: RolloutState, record: None, era: int
) -> None:
    host = host_with_both()
    host.read(at(14), rollout_of('v2', at(14), record_of('v2', state)))
    roles = host.roles('v1', 'v2')
    host.read(at(20, era), rollout_of('v2', at(20, era), record))
    assert host.roles('v1', 'v2') == roles
    (restored,) = host.table.records_to_restore
    assert restored.revision == at(20, era)
    assert restored.record == record_of('v2', state)
    host.read(at(21, era), restored)
    assert not host.table.records_to_restore


def test_the_order_of_an_ended_roll_out_may_go() -> None:
    host = host_with_both()
    host.read(at(14), rollout_of('v2', at(14), record_of('v2', COMPLETE)))
    host.read(at(15))
    assert host.roles('v1', 'v2') == [EXCLUDED, USUAL]


def test_the_first_of_two_ends_holds() -> None:
    host = host_with_both()
    host.read(at(14), rollout_of('v2', at(14), record_of('v2', COMPLETE)))
    other = rollout_of('v2', at(12, 2), record_of('v2', ROLLED_BACK))
    host.read(at(13, 2), other)
    assert host.roles('v1', 'v2') == [EXCLUDED, USUAL]
    # The store has an end, which is never written over.
    assert not host.table.records_to_restore
    late = host_with_both()
    late.read(at(13, 2), other)
    late.hear(host)
    assert late.roles('v1', 'v2') == [EXCLUDED, USUAL]


def test_a_later_completion_replaces_an_earlier_one() -> None:
    host = host_with_both()
    host.read(at(14), rollout_of('v2', at(14), record_of('v2', COMPLETE)))
    host.read(at(16), rollout_of('v1', at(16), record_of('v2', COMPLETE)))
    assert host.roles('v1', 'v2') == [NEW, OLD]
    back = replace(record_of('v1', COMPLETE), began_at=20.0)
    host.read(at(18), rollout_of('v1', at(18), back))
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    host.read(at(20), rollout_of('v2', at(20), back))
    assert host.roles('v1', 'v2') == [OLD, NEW]
    again = replace(record_of('v2', RUNNING), began_at=30.0)
    host.read(at(21), rollout_of('v2', at(21), again))
    assert host.roles('v1', 'v2') == [OLD, NEW]
    assert not host.table.records_to_restore


def test_a_host_that_is_behind_does_not_complete_a_new_roll_out() -> None:
    host = host_with_both()
    behind = host_with_both()
    first = rollout_of('v2', at(14), record_of('v2', COMPLETE))
    for one in (host, behind):
        one.read(at(14), first)
    back = replace(record_of('v1', COMPLETE), began_at=20.0)
    host.read(at(18), rollout_of('v1', at(18), back))
    again = replace(record_of('v2', RUNNING), began_at=30.0)
    host.read(at(21), rollout_of('v2', at(21), again))
    host.hear(behind)
    assert host.roles('v1', 'v2') == [OLD, NEW]
    assert host.table.running[0].record == again
    assert again in {one.record for one in host.table.shared.records}


def test_a_record_that_is_known_before_its_listing_is_not_missing() -> None:
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11)))
    later = KnownRecord(SERVICE, record_of('v2', reserved=9), at(13))
    host.table.merge_peer(SharedRollouts(at(9), records=(later,)), 'host:a')
    assert host.table.running[0].record == later.record
    assert not host.table.records_to_restore


def test_a_restored_store_does_not_undo_a_later_completion() -> None:
    host = host_with_both()
    first = rollout_of('v2', at(14), record_of('v2', COMPLETE))
    host.read(at(14), first)
    back = replace(record_of('v1', COMPLETE), began_at=20.0)
    host.read(at(18), rollout_of('v1', at(18), back))
    for clock in (0.0, PERIOD + 1):
        host.clock.now += clock
        host.state.expire_kept_zones()
        host.read(at(15, 2), replace(first, revision=at(14, 2)))
        assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]


def test_a_roll_out_that_a_restored_store_lacks_is_kept_for_a_while() -> None:
    host = host_with_both()
    record = record_of('v2', RUNNING, reserved=40)
    host.read(at(14), rollout_of('v2', at(14), record))
    host.read(at(9, 2))
    assert host.roles('v1', 'v2') == [OLD, NEW]
    host.clock.now += PERIOD - 0.1
    host.state.expire_kept_zones()
    assert host.roles('v1', 'v2') == [OLD, NEW]
    host.clock.now += 0.2
    host.state.expire_kept_zones()
    assert host.table.of_service(SERVICE) is None
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]


def test_a_kept_roll_out_goes_on_when_it_is_ordered_again() -> None:
    host = host_with_both()
    record = record_of('v2', RUNNING, reserved=40)
    host.read(at(14), rollout_of('v2', at(14), record))
    host.read(at(9, 2))
    host.read(at(11, 2), rollout_of('v2', at(11, 2)))
    (restored,) = host.table.records_to_restore
    assert restored.record == record
    assert host.table.running == (restored,)
    host.clock.now += PERIOD + 1
    host.state.expire_kept_zones()
    assert host.table.running == (restored,)


def test_an_earlier_order_of_a_copy_does_not_replace_a_kept_one() -> None:
    host = host_with_both()
    ended = rollout_of('v1', at(11), record_of('v1', COMPLETE))
    host.read(at(11), ended)
    host.read(at(14), rollout_of('v2', at(14), record_of('v2')))
    host.read(at(12, 2), replace(ended, revision=at(11, 2)))
    assert host.roles('v1', 'v2') == [OLD, NEW]
    # An order that nobody knew is the operator's latest.
    host.serve('v1', 'v2', 'v3')
    host.read(at(13, 2), rollout_of('v3', at(13, 2)))
    assert host.roles('v1', 'v2', 'v3') == [OLD, EXCLUDED, NEW]


def test_records_of_a_copy_with_less_reserved_do_not_count() -> None:
    host = host_with_both()
    record = record_of('v2', RUNNING, reserved=40)
    host.read(at(14), rollout_of('v2', at(14), record))
    older = record_of('v2', RUNNING, reserved=10)
    host.read(at(13, 2), rollout_of('v2', at(12, 2), older))
    (restored,) = host.table.records_to_restore
    assert restored.record == record


def test_a_new_version_waits_while_a_restore_is_recent() -> None:
    host = host_with_both()
    host.read(at(9, 2))
    late = entry_of('v3', number=8, era=2)
    assert host.table.role_of(late) is WITHHELD
    host.table.raise_revision(at(10, 2))
    assert host.table.role_of(late) is WITHHELD
    host.clock.now += PERIOD + 1
    before = host.changes
    host.state.expire_kept_zones()
    assert host.changes == before + 1
    assert host.table.role_of(late) is USUAL


def test_a_host_learns_everything_from_another() -> None:
    teacher = host_with_both()
    teacher.serve('v1', 'v2', 'v3')
    done = rollout_of('v2', at(14), record_of('v2', ROLLED_BACK))
    teacher.read(at(14), done)
    teacher.read(at(15))
    teacher.read(at(16), rollout_of('v3', at(16), record_of('v3')))
    pupil = KnowingHost()
    pupil.serve('v1', 'v2', 'v3')
    pupil.hear(teacher)
    # Entries that changed after the listing are of a known version.
    assert pupil.roles('v1', 'v2', 'v3', number=90) == [OLD, EXCLUDED, NEW]
    assert pupil.table.revision == teacher.table.revision
    assert pupil.table.digest == teacher.table.digest
    assert pupil.changes == 1


def test_a_host_that_starts_after_a_restore_keeps_what_others_keep() -> None:
    teacher = host_with_both()
    teacher.read(at(14), rollout_of('v2', at(14), record_of('v2')))
    teacher.read(at(9, 2))
    pupil = KnowingHost(teacher.clock)
    pupil.serve('v1', 'v2')
    pupil.read(at(9, 2))
    pupil.hear(teacher)
    assert pupil.roles('v1', 'v2') == [OLD, NEW]
    teacher.clock.now += PERIOD + 1
    for host in (pupil, teacher):
        host.state.expire_kept_zones()
        assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    assert pupil.table.digest == teacher.table.digest


def test_a_host_that_is_behind_takes_nothing_back() -> None:
    host = host_with_both()
    behind = host_with_both()
    running = rollout_of('v2', at(12), record_of('v2'))
    for one in (host, behind):
        one.read(at(12), running)
    host.read(at(14), rollout_of('v2', at(14), record_of('v2', ROLLED_BACK)))
    host.hear(behind)
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    host.read(at(15))
    host.hear(behind)
    assert host.table.of_service(SERVICE) is None
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]


def test_a_withdrawn_order_stays_so_when_a_peer_is_behind() -> None:
    host = host_with_both()
    behind = host_with_both()
    for one in (host, behind):
        one.read(at(12), rollout_of('v2', at(12), record_of('v2')))
    host.read(at(14))
    host.hear(behind)
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    behind.hear(host)
    assert behind.roles('v1', 'v2') == [USUAL, EXCLUDED]
    assert behind.table.digest == host.table.digest


def test_a_written_record_counts_at_once_and_is_shared_with_its_event() -> None:
    host = host_with_both()
    host.read(at(12), rollout_of('v2', at(11)))
    written = rollout_of('v2', at(13), record_of('v2', COMPLETE))
    host.table.adopt(written)
    assert host.roles('v1', 'v2') == [EXCLUDED, USUAL]
    assert host.table.revision == at(12)
    assert not host.read(at(12), rollout_of('v2', at(11)))
    assert host.table.of_service(SERVICE) == written
    assert host.read(at(13), written)
    assert host.table.revision == at(13)


def test_an_order_for_an_unknown_service_waits_for_its_configuration() -> None:
    host = KnowingHost()
    unknown = rollout_of('v2', at(11), service='late')
    with logged() as lines:
        host.read(at(12), unknown)
        host.read(at(13), unknown, rollout_of('v2', at(13)))
    refusals = [line for line in lines if 'rollout-refused' in line]
    assert len(refusals) == 1
    assert 'field=service' in refusals[0]
    assert host.table.of_service('late') is None
    assert [one.order.service for one in host.table.running] == [SERVICE]
    assert [one.service for one in host.table.refused] == ['late']
    assert not host.table.refusals_to_record
    entry = replace(entry_of('v2', 20), service='late')
    assert host.table.role_of(entry) is NEW
    assert host.state.steering is not None
    services = host.state.steering.services
    services['late'] = services[SERVICE]  # type: ignore[index]
    assert host.table.of_service('late') == unknown
    assert not host.table.refused


def test_a_refused_order_is_shown_and_leaves_the_others() -> None:
    host = host_with_both()
    refused = UnusableRollout('duration_s', 'more', SERVICE, 'v2', None, at(11))
    other = rollout_of('v2', at(12), service='orders')
    with logged() as lines:
        for number in (12, 13):
            host.table.replace_all([other], at(number), 'listing', [refused])
    assert len([line for line in lines if 'rollout-refused' in line]) == 1
    assert host.table.running == (other,)
    assert host.table.refused == (refused,)
    assert host.roles('v1', 'v2') == [USUAL, EXCLUDED]
    (to_record,) = host.table.refusals_to_record
    assert to_record.record == refused.refusal
    assert to_record.revision == at(11)
    recorded = replace(refused, record=refused.refusal, revision=at(14))
    host.table.adopt(recorded)
    assert not host.table.refusals_to_record
    # The operator corrects the order.
    corrected = rollout_of('v2', at(16), refused.refusal)
    host.read(at(16), corrected, other)
    assert not host.table.refused
    assert host.roles('v1', 'v2') == [OLD, NEW]


def test_hosts_agree_whatever_they_hear_first() -> None:
    clock = Clock()
    first, second = KnowingHost(clock), KnowingHost(clock)
    for host, ended in ((first, 'v2'), (second, 'v3')):
        host.serve('v1', 'v2', 'v3')
        host.read(at(12))
        record = record_of(ended, ROLLED_BACK)
        host.read(at(14), rollout_of(ended, at(14), record))
        host.read(at(16))
    first.hear(second)
    second.hear(first)
    assert first.table.digest == second.table.digest
    expected = [USUAL, EXCLUDED, EXCLUDED]
    assert first.roles('v1', 'v2', 'v3') == expected
    assert second.roles('v1', 'v2', 'v3') == expected
