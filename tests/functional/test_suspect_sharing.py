"""Several hosts keep what they know of harmful requests in one object."""

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
    """What of a host takes part, without the host.

    Attributes:
        table: What it knows.
        sharing: Its task on the store.
        store: Its client.
        is_sentinel: Whether it follows and writes.
    """

    table: SuspectTable
    sharing: SuspectSharing
    store: Store
    is_sentinel: bool = True

    def end(self, request: str, *lives: str) -> None:
        for life in lives:
            self.table.note_ended((request,), life)


@asynccontextmanager
async def hosts(
    amount: int,
    standin: StoreStandin,
) -> AsyncIterator[list[Host]]:
    """Run sentinels that reach each other only through the store."""
    standin.start()
    made = [make_host(number, standin) for number in range(amount)]
    tasks = []
    for host in made:
        tasks.append(asyncio.ensure_future(host.sharing.watcher.run()))
        tasks.append(asyncio.ensure_future(host.sharing.run()))
    try:
        yield made
    finally:
        for task in tasks:
            task.cancel()
        for host in made:
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
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(30):
            await test()

    asyncio.run(main())


def writes(standin: StoreStandin) -> list[str]:
    return [one for one in standin.calls if one[:4] in {'POST', 'PUT '}]


def watches(standin: StoreStandin) -> int:
    return sum('watch=' in one for one in standin.calls)


def test_what_each_of_three_saw_once_is_known_to_all() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(4, standin) as (one, two, three, four):
            # Two lives each at the same moment: they write against each other.
            one.end(ONE, 'u1@1', 'u2@1')
            two.end(ONE, 'u3@1', 'u4@1')
            three.end(TWO, 'u5@1', 'u6@1')
            await until(lambda: four.table.held == {ONE})
            await until(lambda: four.table.count(TWO) == 2)
            everybody = (one, two, three, four)
            await until(lambda: len({h.table.digest for h in everybody}) == 1)

    run(test)


def test_a_life_that_only_one_host_saw_is_not_written() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            one.end(ONE, 'u1@1')
            two.end(TWO, 'u1@1')
            await until(lambda: one.sharing.watcher.has_listed)
            two.end(TWO, 'u2@1')
            await until(lambda: one.table.count(TWO) == 2)
            assert two.table.count(ONE) == 0
            assert len(writes(standin)) == 1

    run(test)


def test_a_host_that_is_no_sentinel_makes_no_call() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(1, standin) as (one,):
            one.is_sentinel = False
            one.end(ONE, 'u1@1', 'u2@1', 'u3@1')
            await asyncio.sleep(0.1)
            assert not standin.calls
            # It becomes one, and tells what it has known all along.
            one.is_sentinel = True
            await until(lambda: bool(writes(standin)))

    run(test)


def test_what_lapsed_while_the_store_was_away_is_told_after() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            # Before its watch waits, a host would find the store away by that,
            # and write nothing.
            await until(lambda: watches(standin) == 2)
            standin.status = 503
            before = len(standin.calls)
            one.end(ONE, 'u1@1', 'u2@1', 'u3@1')
            # The attempt to write, not a watch: it begins with a reading.
            await until(
                lambda: any(
                    'watch=' not in one for one in standin.calls[before:]
                ),
            )
            # Ends the waiting watches as well, and serves again.
            standin.cut_watches()
            await until(lambda: two.table.held == {ONE})

    run(test)


def test_a_store_that_answers_a_write_without_the_object() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            standin.hides_written = True
            one.end(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            two.end(ONE, 'u3@1')
            await until(lambda: one.table.held == {ONE})
            await until(lambda: not one.sharing.is_due)
            await until(lambda: not two.sharing.is_due)
            # It goes on to tell what only it knows.
            one.end(TWO, 'u4@1', 'u5@1')
            await until(lambda: two.table.count(TWO) == 2)

    run(test)


def test_an_object_that_was_spoilt_or_removed_is_written_anew() -> None:
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            objects = standin.kind(SUSPECTS_KIND).objects
            one.end(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            standin.put(SUSPECTS_KIND, SUSPECTS_NAME, {'requests': 'none'})
            one.end(ONE, 'u3@1')
            await until(lambda: two.table.held == {ONE})
            standin.delete(SUSPECTS_KIND, SUSPECTS_NAME)
            await until(lambda: SUSPECTS_NAME in objects)
            two.end(TWO, 'u7@1', 'u8@1')
            await until(lambda: one.table.count(TWO) == 2)

    run(test)


def stored_requests(standin: StoreStandin) -> set[str]:
    """Return the requests that the object holds."""
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
    # Its lower revision was ignored, so that it was never written.
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            await until(lambda: watches(standin) == 2)
            if is_in_copy:
                one.end(ONE, 'u1@1', 'u2@1')
                await until(lambda: two.table.count(ONE) == 2)
            copy = standin.copy()
            for number in range(3):
                one.end(TWO, f'u{number}@2', 'u9@2')
                await until(lambda: two.table.digest == one.table.digest)
                await until(lambda: not one.sharing.is_due)
            for _ in range(restores):
                standin.restore(copy)
                assert TWO not in stored_requests(standin)
                await until(lambda: TWO in stored_requests(standin))
            two.end(TWO, 'u7@2', 'u8@2')
            await until(lambda: one.table.digest == two.table.digest)

    run(test)


def test_a_write_by_a_number_that_was_issued_again_loses_nothing() -> None:
    # The condition holds by chance: the host has not noticed the restore.
    standin = StoreStandin()

    async def test() -> None:
        async with hosts(2, standin) as (one, two):
            await until(lambda: watches(standin) == 2)
            copy = standin.copy()
            one.end(ONE, 'u1@1', 'u2@1')
            await until(lambda: two.table.count(ONE) == 2)
            await until(lambda: not one.sharing.is_due)
            known = standin.kind(SUSPECTS_KIND).objects[SUSPECTS_NAME]
            standin.era += 1
            standin.revision = copy.revision
            standin.kinds = copy.kinds
            # Another host writes what it alone knows, at the same number.
            evidence = {TWO: Evidence({'u5@1': int(TODAY), 'u6@1': int(TODAY)})}
            document = encode_suspects(evidence, 0)
            standin.put(SUSPECTS_KIND, SUSPECTS_NAME, document['spec'])
            again = standin.kind(SUSPECTS_KIND).objects[SUSPECTS_NAME]
            assert again['metadata'] == known['metadata']
            one.end(ONE, 'u3@1', 'u4@1')
            await until(lambda: stored_requests(standin) == {ONE, TWO})

    run(test)
