"""Hosts share their records of suspect requests in one object of the store."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import pytest
from lib.rig import until
from lib.specs import ADDRESS
from lib.store_standin import StoreStandin

from wardstair.decisions.suspicion import Evidence
from wardstair.platform.objects import (
    SUSPECTS_KIND,
    SUSPECTS_NAME,
    encode_suspects,
)
from wardstair.platform.store import Store
from wardstair.state.contact import StoreContact
from wardstair.state.roles import Roles
from wardstair.state.suspect_sharing import SuspectSharing
from wardstair.state.suspects import SuspectTable

TODAY = 1_800_000_000.0
ONE = f'{1:016x}'
TWO = f'{2:016x}'


@dataclass
class Host:
    """The parts of a host that share suspect requests.

    Attributes:
        table: Its suspect requests.
        sharing: Task that reads and writes the shared object.
        store: Store client.
        is_sentinel: Whether it watches and writes the object.
    """

    table: SuspectTable
    sharing: SuspectSharing
    store: Store
    is_sentinel: bool = True

    def note_ended(self, request: str, *incarnations: str) -> None:
        for incarnation in incarnations:
            self.table.note_ended((request,), incarnation)


@asynccontextmanager
async def hosts(
    amount: int,
    standin: StoreStandin,
) -> AsyncIterator[list[Host]]:
    """Run sentinels that share state only through the store."""
    standin.start()
    created = [make_host(number, standin) for number in range(amount)]
    tasks = []
    for host in created:
        tasks.append(asyncio.ensure_future(host.sharing.watcher.run()))
        tasks.append(asyncio.ensure_future(host.sharing.run()))
    try:
        yield created
    finally:
        for task in tasks:
            task.cancel()
        for host in created:
            host.store.close()
        await standin.stop()


def make_host(number: int, standin: StoreStandin) -> Host:
    random = Random(number)
    store = Store(f'{ADDRESS}:{standin.port}')
    contact = StoreContact(asyncio.get_running_loop().time, random)
    store.on_era = contact.note_era
    table = SuspectTable(lambda: TODAY)
    roles = Roles(lambda: True, lambda: host.is_sentinel)
    sharing = SuspectSharing(store, contact, table, roles, random)
    table.on_change = sharing.changed.set
    host = Host(table, sharing, store)
    return host


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


def writes(standin: StoreStandin) -> list[str]:
    return [one for one in standin.calls if one[:4] in {'POST', 'PUT '}]


def watches(standin: StoreStandin) -> int:
    return sum('watch=' in one for one in standin.calls)


def test_records_of_three_hosts_reach_all_hosts() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(4, standin) as (one, two, three, four):
            # Two incarnations each at the same moment, so that writes conflict.
            one.note_ended(ONE, 'u1@1', 'u2@1')
            two.note_ended(ONE, 'u3@1', 'u4@1')
            three.note_ended(TWO, 'u5@1', 'u6@1')
            await until(lambda: four.table.held == {ONE})
            await until(lambda: four.table.count(TWO) == 2)
            all_hosts = (one, two, three, four)
            await until(lambda: len({h.table.digest for h in all_hosts}) == 1)

    run(test)


def test_a_single_ended_incarnation_is_not_written() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            one.note_ended(ONE, 'u1@1')
            two.note_ended(TWO, 'u1@1')
            await until(lambda: one.sharing.watcher.has_listed)
            two.note_ended(TWO, 'u2@1')
            await until(lambda: one.table.count(TWO) == 2)
            assert two.table.count(ONE) == 0
            assert len(writes(standin)) == 1

    run(test)


def test_a_host_that_is_no_sentinel_makes_no_call() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(1, standin) as (one,):
            one.is_sentinel = False
            one.note_ended(ONE, 'u1@1', 'u2@1', 'u3@1')
            await asyncio.sleep(0.1)
            assert not standin.calls
            # Once it is a sentinel, it writes what it already knows.
            one.is_sentinel = True
            await until(lambda: bool(writes(standin)))

    run(test)


def test_a_write_that_failed_in_an_outage_is_repeated_after_it() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            # Without an open watch, a host would notice the outage by the watch
            # and write nothing.
            await until(lambda: watches(standin) == 2)
            standin.status = 503
            before = len(standin.calls)
            one.note_ended(ONE, 'u1@1', 'u2@1', 'u3@1')
            # An attempt to write begins with a read, which is no watch.
            await until(
                lambda: any(
                    'watch=' not in one for one in standin.calls[before:]
                ),
            )
            # Closes the open watches; the store serves requests again.
            standin.cut_watches()
            await until(lambda: two.table.held == {ONE})

    run(test)


def test_writes_go_on_if_the_store_answers_without_the_object() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            standin.hides_written = True
            one.note_ended(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            two.note_ended(ONE, 'u3@1')
            await until(lambda: one.table.held == {ONE})
            await until(lambda: not one.sharing.is_due)
            await until(lambda: not two.sharing.is_due)
            # The host continues to write what only it knows.
            one.note_ended(TWO, 'u4@1', 'u5@1')
            await until(lambda: two.table.count(TWO) == 2)

    run(test)


def test_an_unreadable_or_removed_object_is_written_again() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            objects = standin.kind(SUSPECTS_KIND).objects
            one.note_ended(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            standin.put(SUSPECTS_KIND, SUSPECTS_NAME, {'requests': 'none'})
            one.note_ended(ONE, 'u3@1')
            await until(lambda: two.table.held == {ONE})
            standin.delete(SUSPECTS_KIND, SUSPECTS_NAME)
            await until(lambda: SUSPECTS_NAME in objects)
            two.note_ended(TWO, 'u7@1', 'u8@1')
            await until(lambda: one.table.count(TWO) == 2)

    run(test)


def stored_requests(standin: StoreStandin) -> set[str]:
    """Return the requests in the shared object."""
    stored = standin.kind(SUSPECTS_KIND).objects.get(SUSPECTS_NAME)
    if stored is None:
        return set()
    spec = stored['spec']
    assert isinstance(spec, dict)
    return set(spec['requests'])


@pytest.mark.parametrize('restores', [1, 2])
@pytest.mark.parametrize(
    'is_in_copy',
    [
        pytest.param(False, id='copy without the object'),
        pytest.param(True, id='copy with an older object'),
    ],
)
def test_what_a_restored_store_lacks_is_written_again(
    restores: int,
    *,
    is_in_copy: bool,
) -> None:
    # Guards against ignoring the restored object for its lower revision, after
    # which the missing records would never be written.
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            await until(lambda: watches(standin) == 2)
            if is_in_copy:
                one.note_ended(ONE, 'u1@1', 'u2@1')
                await until(lambda: two.table.count(ONE) == 2)
            copy = standin.copy()
            for number in range(3):
                one.note_ended(TWO, f'u{number}@2', 'u9@2')
                await until(lambda: two.table.digest == one.table.digest)
                await until(lambda: not one.sharing.is_due)
            for _ in range(restores):
                standin.restore(copy)
                assert TWO not in stored_requests(standin)
                await until(lambda: TWO in stored_requests(standin))
            two.note_ended(TWO, 'u7@2', 'u8@2')
            await until(lambda: one.table.digest == two.table.digest)

    run(test)


def test_a_write_on_a_reissued_revision_loses_nothing() -> None:
    # The condition on the revision holds by coincidence, as the host has not
    # noticed the restore.
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            await until(lambda: watches(standin) == 2)
            copy = standin.copy()
            one.note_ended(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            await until(lambda: not one.sharing.is_due)
            known = standin.kind(SUSPECTS_KIND).objects[SUSPECTS_NAME]
            standin.era += 1
            standin.revision = copy.revision
            standin.kinds = copy.kinds
            # Another host writes what only it knows, at the same revision.
            evidence = {TWO: Evidence({'u5@1': int(TODAY), 'u6@1': int(TODAY)})}
            document = encode_suspects(evidence, 0)
            standin.put(SUSPECTS_KIND, SUSPECTS_NAME, document['spec'])
            again = standin.kind(SUSPECTS_KIND).objects[SUSPECTS_NAME]
            assert again['metadata'] == known['metadata']
            one.note_ended(ONE, 'u3@1', 'u4@1')
            await until(lambda: stored_requests(standin) == {ONE, TWO})

    run(test)
