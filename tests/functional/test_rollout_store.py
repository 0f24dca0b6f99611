"""Hosts that watch and record roll-outs in a store."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest
from lib.revisions import at
from lib.rig import gateway_settings, until
from lib.rollouts import PERIOD, SERVICE, order_spec, record_of
from lib.specs import ADDRESS, configuration_spec, upstream_spec
from lib.store_standin import StatusFault, StoreStandin

from wardstair.decisions.rollouts import RolloutBounds, RolloutState
from wardstair.decisions.timing import timing_for
from wardstair.fleet.heartbeats import Versions
from wardstair.gateway.host import GatewayHost
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.store import CallKind, CallLabels, Store
from wardstair.state import sync
from wardstair.state.catalog import Catalog
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles
from wardstair.state.rollout_records import (
    RecordRefused,
    RecordUnknown,
    RecordWritten,
    RolloutRecords,
)
from wardstair.state.rollouts import (
    Rollout,
    RolloutRecord,
    RolloutTable,
    VersionRole,
)
from wardstair.state.sync import StoreSync

KIND = 'rollouts'
TIMING = timing_for(2.5, 4.0)
COMPLETE = record_of('v2', RolloutState.complete)
ROLLED_BACK = record_of('v2', RolloutState.rolled_back)
RUNNING = record_of('v2', reserved=40)
USUAL = VersionRole.usual
OLD = VersionRole.old
NEW = VersionRole.new
EXCLUDED = VersionRole.excluded


class WatchingHost:
    """A host that watches a store, writes records and tells others."""

    def __init__(self, port: int, seed: int) -> None:
        self.store = Store(f'{ADDRESS}:{port}')
        self.contact = StoreContact(time.monotonic, Random(seed))
        self.store.on_era = self.contact.note_era
        self.table = RolloutTable()
        self.state = LocalState(
            time.monotonic, Catalog(time.monotonic), rollouts=self.table
        )
        self.state.restoration.period = lambda: PERIOD
        self.sync = StoreSync(
            self.store, self.contact, self.state, Roles(), lambda: TIMING
        )
        self.records = RolloutRecords(self.store, self.contact, self.table)
        self.exchange = StateExchange(
            self.state, self.contact, 1, Roles(), 'z', lambda: TIMING
        )
        self.others: list[WatchingHost] = []
        self.sync.on_update = self._tell
        self.exchange.on_update = self._tell
        # Roles of the target version since it was known, without repeats.
        self.roles_of_v2: list[VersionRole] = []
        self.table.on_change = self._note_role
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [
            asyncio.ensure_future(watcher.run())
            for watcher in self.sync.watchers
        ]

    def stop_watching_orders(self) -> None:
        """End the watch of the orders, as if its connection were silent."""
        self._tasks[-1].cancel()

    def stop_watching_upstreams(self) -> None:
        self._tasks[2].cancel()

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.sync.close()
        self.exchange.close()
        self.store.close()

    @property
    def rollout(self) -> Rollout:
        rollout = self.table.of_service(SERVICE)
        assert rollout is not None
        return rollout

    @property
    def checks(self) -> int:
        """How often the store was asked for orders at once."""
        return self.store.calls[CallLabels(CallKind.check, KIND)]

    def has(self, state: RolloutState) -> bool:
        rollout = self.table.of_service(SERVICE)
        return rollout is not None and rollout.state is state

    def roles(self) -> dict[str, VersionRole]:
        return {
            upstream.entry.version: self.table.role_of(upstream.entry)
            for upstream in self.state.catalog.of_service(SERVICE)
        }

    def fetch_from(self, other: 'WatchingHost') -> None:
        """Take the whole state of another host."""
        answer = other.exchange.answer(Versions())
        assert self.exchange.receive_datagram(answer)

    def _tell(self) -> None:
        self._note_role()
        update = self.exchange.take_update()
        if update is None or update.state is None:
            return
        for other in self.others:
            other.exchange.receive_datagram(update.state)

    def _note_role(self) -> None:
        role = self.roles().get('v2')
        if role is not None and self.roles_of_v2[-1:] != [role]:
            self.roles_of_v2.append(role)


def register(store: StoreStandin, version: str, name: str = '') -> None:
    """Write the entry of an upstream of a version."""
    spec = upstream_spec(9)
    info = spec['info']
    assert isinstance(info, dict)
    spec['info'] = {**info, 'version': version}
    store.put('servers', name or f'i-{version}', spec)


@asynccontextmanager
async def watching_hosts(
    count: int = 2,
) -> AsyncIterator[tuple[StoreStandin, list[WatchingHost]]]:
    """Run hosts that know an upstream of v1, each with a watch of its own."""
    store = StoreStandin()
    store.start()
    store.put('config', 'main', configuration_spec(1))
    register(store, 'v1')
    hosts = [WatchingHost(store.port, seed) for seed in range(count)]
    for host in hosts:
        host.start()
    try:
        await until(
            lambda: all(host.roles() == {'v1': USUAL} for host in hosts)
        )
        yield store, hosts
    finally:
        for host in hosts:
            await host.stop()
        await store.stop()


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


async def order(store: StoreStandin, hosts: list[WatchingHost]) -> None:
    """Order v2 and start an upstream of it; wait until hosts know both."""
    store.put(KIND, SERVICE, order_spec())
    register(store, 'v2')
    expected = {'v1': OLD, 'v2': NEW}
    await until(lambda: all(host.roles() == expected for host in hosts))


def status_of(store: StoreStandin) -> dict[str, object]:
    status = store.kind(KIND).objects[SERVICE]['status']
    assert isinstance(status, dict)
    return status


def test_of_two_ends_that_are_written_at_once_one_holds() -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            first, second = hosts
            outcomes = await asyncio.gather(
                first.records.write(first.rollout, COMPLETE),
                second.records.write(second.rollout, ROLLED_BACK),
            )
            written = [
                one for one in outcomes if isinstance(one, RecordWritten)
            ]
            (refused,) = [
                one for one in outcomes if isinstance(one, RecordRefused)
            ]
            assert len(written) == 1
            assert refused.held == written[0].rollout
            state = written[0].rollout.state
            assert all(host.has(state) for host in hosts)
            # Nor does either write over it later.
            for host, record in zip(
                hosts, (ROLLED_BACK, COMPLETE), strict=True
            ):
                again = await host.records.write(host.rollout, record)
                assert isinstance(again, RecordRefused)
            assert status_of(store)['state'] == state.replace('-', '_')
            assert status_of(store)['target_version'] == 'v2'

    run(test)


def test_an_end_whose_answer_is_lost_is_found_again() -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            first, second = hosts
            store.status_faults = [StatusFault.unanswered]
            rollout = first.rollout
            outcome = await first.records.write(rollout, COMPLETE)
            assert isinstance(outcome, RecordUnknown)
            outcome = await first.records.write(rollout, ROLLED_BACK)
            assert isinstance(outcome, RecordRefused)
            assert isinstance(outcome.held, Rollout)
            assert outcome.held.record == COMPLETE
            await until(lambda: second.has(RolloutState.complete))
            assert not first.records.may_take_effect(SERVICE)

    run(test)


@pytest.mark.parametrize('is_retried', [False, True])
def test_an_end_that_is_written_late_meets_the_one_that_holds(
    *, is_retried: bool
) -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            first, second = hosts
            store.status_faults = [StatusFault.late]
            outcome = await first.records.write(first.rollout, COMPLETE)
            assert isinstance(outcome, RecordUnknown)
            assert first.records.may_take_effect(SERVICE)
            writer = first if is_retried else second
            outcome = await writer.records.write(writer.rollout, ROLLED_BACK)
            assert isinstance(outcome, RecordWritten)
            assert store.finish_late_writes() == [False]
            await until(
                lambda: all(
                    host.has(RolloutState.rolled_back) for host in hosts
                )
            )
            assert not first.records.may_take_effect(SERVICE)

    run(test)


def test_a_late_end_that_takes_effect_holds() -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            first, second = hosts
            store.status_faults = [StatusFault.late, StatusFault.refused]
            for record in (COMPLETE, ROLLED_BACK):
                outcome = await first.records.write(first.rollout, record)
                assert isinstance(outcome, RecordUnknown)
            assert store.finish_late_writes() == [True]
            await until(lambda: second.has(RolloutState.complete))
            outcome = await second.records.write(second.rollout, ROLLED_BACK)
            assert isinstance(outcome, RecordRefused)

    run(test)


@pytest.mark.parametrize('record', [RUNNING, COMPLETE, ROLLED_BACK])
def test_a_record_that_a_restored_store_lacks_is_written_again(
    record: RolloutRecord,
) -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            copy = store.copy()
            first, second = hosts
            await first.records.write(first.rollout, record)
            await until(lambda: second.rollout.record == record)
            roles = first.roles()
            store.restore(copy)
            await until(
                lambda: all(
                    host.table.revision.era == store.era for host in hosts
                )
            )
            assert all(host.roles() == roles for host in hosts)
            (lacking,) = second.table.records_to_restore
            assert lacking.record == record
            outcome = await second.records.write(lacking, record)
            assert isinstance(outcome, RecordWritten)
            await until(
                lambda: not any(host.table.records_to_restore for host in hosts)
            )
            assert all(host.rollout.record == record for host in hosts)
            assert status_of(store)['reserved'] == record.reserved

    run(test)


def test_an_order_that_a_restored_store_lacks_goes_on() -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            copy = store.copy()
            await order(store, hosts)
            await hosts[0].records.write(hosts[0].rollout, RUNNING)
            await until(lambda: hosts[1].rollout.record == RUNNING)
            store.restore(copy)
            # Other objects take the numbers that were issued before.
            register(store, 'v2')
            await until(
                lambda: all(
                    host.table.revision.era == store.era for host in hosts
                )
            )
            expected = {'v1': OLD, 'v2': NEW}
            await until(lambda: all(host.roles() == expected for host in hosts))
            outcome = await hosts[0].records.write(hosts[0].rollout, COMPLETE)
            assert isinstance(outcome, RecordRefused)
            store.put(KIND, SERVICE, order_spec())
            await until(
                lambda: all(host.table.records_to_restore for host in hosts)
            )
            (lacking,) = hosts[1].table.records_to_restore
            assert lacking.record == RUNNING
            assert all(host.roles() == expected for host in hosts)

    run(test)


def test_an_order_is_withdrawn_and_replaced() -> None:
    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            await order(store, hosts)
            store.put(KIND, SERVICE, order_spec('v3'))
            register(store, 'v3')
            replaced = {'v1': OLD, 'v2': EXCLUDED, 'v3': NEW}
            await until(lambda: all(host.roles() == replaced for host in hosts))
            store.delete(KIND, SERVICE)
            withdrawn = {'v1': USUAL, 'v2': EXCLUDED, 'v3': EXCLUDED}
            await until(
                lambda: all(host.roles() == withdrawn for host in hosts)
            )
            store.put(KIND, SERVICE, order_spec('v2'))
            again = {'v1': OLD, 'v2': NEW, 'v3': EXCLUDED}
            await until(lambda: all(host.roles() == again for host in hosts))

    run(test)


def test_a_host_learns_all_from_a_peer_only() -> None:
    async def test() -> None:
        async with watching_hosts(1) as (store, (teacher,)):
            pupil = WatchingHost(store.port, 7)
            pupil.fetch_from(teacher)
            assert pupil.roles() == {'v1': USUAL}
            teacher.others = [pupil]
            await order(store, [teacher, pupil])
            await teacher.records.write(teacher.rollout, ROLLED_BACK)
            await until(lambda: pupil.has(RolloutState.rolled_back))
            assert pupil.roles() == {'v1': USUAL, 'v2': EXCLUDED}
            store.delete(KIND, SERVICE)
            await until(lambda: pupil.table.of_service(SERVICE) is None)
            # One that starts now learns what the store does not list any more.
            late = WatchingHost(store.port, 8)
            late.fetch_from(pupil)
            assert late.roles() == {'v1': USUAL, 'v2': EXCLUDED}
            for host in (pupil, late):
                assert not host.store.calls
                await host.stop()

    run(test)


def test_an_upstream_that_is_known_before_its_order_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Checks for silent watches are not to count.
    monkeypatch.setattr(sync, 'LAG_SECONDS', 60.0)

    async def test() -> None:
        async with watching_hosts() as (store, hosts):
            first, second = hosts
            # The orders reach hosts by checks only.
            for host in hosts:
                host.stop_watching_orders()
            first.others = [second]
            before = first.checks
            store.put(KIND, SERVICE, order_spec())
            for name in ('i-8', 'i-9'):
                register(store, 'v2', name)
            expected = {'v1': OLD, 'v2': NEW}
            await until(lambda: all(host.roles() == expected for host in hosts))
            for host in hosts:
                assert set(host.roles_of_v2) <= {VersionRole.withheld, NEW}
            assert first.checks == before + 1

    run(test)


def test_a_version_without_order_needs_one_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Checks for silent watches are not to count.
    monkeypatch.setattr(sync, 'LAG_SECONDS', 60.0)

    async def test() -> None:
        async with watching_hosts(1) as (store, (sentinel,)):
            other = WatchingHost(store.port, 7)
            other.fetch_from(sentinel)
            sentinel.others = [other]
            sentinel.stop_watching_orders()
            before = sentinel.checks
            register(store, 'v2', 'i-8')
            hosts = (sentinel, other)
            expected = {'v1': USUAL, 'v2': USUAL}
            await until(lambda: all(host.roles() == expected for host in hosts))
            assert sentinel.checks == before + 1
            for name in ('i-8', 'i-9'):
                register(store, 'v2', name)
                revision = store.revision
                await until(
                    lambda: all(
                        host.state.catalog.revision.number == revision  # noqa: B023
                        for host in hosts
                    )
                )
                assert all(host.roles() == expected for host in hosts)
            assert sentinel.checks == before + 1
            await other.stop()

    run(test)


def test_a_version_that_only_a_peer_reports_is_checked_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Checks for silent watches would help as well.
    monkeypatch.setattr(sync, 'LAG_SECONDS', 60.0)

    async def test() -> None:
        async with watching_hosts(1) as (store, (sentinel,)):
            reader = WatchingHost(store.port, 7)
            reader.fetch_from(sentinel)
            sentinel.stop_watching_upstreams()
            register(store, 'v2')
            assert await reader.sync.list_upstreams()
            sentinel.fetch_from(reader)
            expected = {'v1': USUAL, 'v2': USUAL}
            await until(lambda: sentinel.roles() == expected)
            assert sentinel.table.revision.number >= store.revision
            await reader.stop()

    run(test)


@pytest.mark.parametrize('is_in_use', [False, True])
def test_a_gateway_reads_orders_only_where_roll_outs_are_in_use(
    *, is_in_use: bool
) -> None:
    async def test() -> None:
        store = StoreStandin()
        store.start()
        store.put('config', 'main', configuration_spec(1))
        register(store, 'v1')
        store.put(KIND, SERVICE, order_spec())
        settings = gateway_settings(store.port)
        if is_in_use:
            bounds = RolloutBounds(0.1, 50.0, 3.0)
            settings = replace(settings, rollout_bounds=bounds)
        host = GatewayHost(settings, Random(1))
        await host.start()
        table = host.local_state.rollouts
        try:
            await until(lambda: bool(host.local_state.catalog.upstreams))
            await until(lambda: bool(table.running) is is_in_use)
            (upstream,) = host.local_state.catalog.of_service(SERVICE)
            role = table.role_of(upstream.entry)
            assert role is (OLD if is_in_use else USUAL)
            is_read = any('/objects/rollouts' in call for call in store.calls)
            assert is_read is is_in_use
        finally:
            await host.close()
            await store.stop()

    run(test)


def test_a_gateway_is_ready_once_the_orders_are_known() -> None:
    async def test() -> None:
        bounds = RolloutBounds(0.1, 50.0, 3.0)
        settings = replace(gateway_settings(1), rollout_bounds=bounds)
        host = GatewayHost(settings, Random(1))
        stored = StoredObject(
            metadata=Metadata(name='main', revision=1),
            spec=configuration_spec(1),
        )
        assert host.local_state.offer_configuration(stored, 'test')
        assert not host.is_ready
        host.local_state.rollouts.replace_all([], at(2), 'listing')
        assert host.is_ready
        await host.close()

    run(test)
