"""A store that is restored from a copy that is some seconds old.

Guards against hosts that ignore what is written after the restore. The store is
unavailable for a moment and returns from a copy. Later writes are lost, and
their revisions are issued again. The operator and the upstreams repeat their
writes, and then something new is written.

If hosts compare revisions without the era of the store (`Store-Era`), a new
evacuation, a new upstream or the removal of one is not in force at some hosts
until the revisions exceed those from before the restore. Configurations are not
affected.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from lib.fleet import ZONES, Fleet, running_fleet
from lib.specs import configuration_spec, upstream_spec
from lib.store_standin import StoreCopy
from lib.upstream_standin import UpstreamStandin

HOSTS = 3
UPSTREAMS = 3
OUTAGE_SECONDS = 0.5
# Lost writes of each upstream: more than it repeats after the restore.
LOST_WRITES = 5
# Ends only a failing test; updates are in force within about a second.
TIMEOUT_SECONDS = 8.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a timeout."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


async def becomes_true(fleet: Fleet, is_true: Callable[[Fleet], bool]) -> bool:
    """Return whether a condition becomes true in time."""
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            # The conditions combine several values without events.
            while not is_true(fleet):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


def write_upstreams(fleet: Fleet) -> None:
    """Write the entries of all upstreams, as the upstreams do."""
    for number, upstream in enumerate(fleet.upstreams):
        entry = upstream_spec(upstream.port, zone=ZONES[number % len(ZONES)])
        fleet.store.put('servers', upstream.name, entry)


async def restore_copy(fleet: Fleet, copy: StoreCopy) -> None:
    """Restore the store after an outage; all writers repeat their writes."""
    fleet.store.status = 503
    await asyncio.sleep(OUTAGE_SECONDS)
    fleet.store.restore(copy)
    fleet.store.put('config', 'main', configuration_spec(2))
    write_upstreams(fleet)


async def change_and_restore(fleet: Fleet) -> None:
    """Have hosts learn changes that the store then loses."""
    copy = fleet.store.copy()
    fleet.store.put('config', 'main', configuration_spec(2))
    for _ in range(LOST_WRITES):
        write_upstreams(fleet)
    # All hosts learn of an evacuation and of its end.
    fleet.store.put('evacuations', ZONES[0], {})
    assert await becomes_true(fleet, lambda it: all(evacuated(it, ZONES[0])))
    fleet.store.delete('evacuations', ZONES[0])
    assert await becomes_true(
        fleet, lambda it: not any(evacuated(it, ZONES[0]))
    )
    assert all(have_version(host_versions(fleet), 2))
    await restore_copy(fleet, copy)


def evacuated(fleet: Fleet, zone: str) -> list[bool]:
    return [zone in host.local_state.evacuated for host in fleet.hosts]


def host_versions(fleet: Fleet) -> list[int]:
    return [host.local_state.versions.configuration for host in fleet.hosts]


def have_version(versions: list[int], version: int) -> list[bool]:
    return [one >= version for one in versions]


def upstreams() -> list[UpstreamStandin]:
    return [UpstreamStandin(f'i-{number}') for number in range(UPSTREAMS)]


def test_an_evacuation_written_after_a_restore_is_in_force() -> None:
    async def test() -> None:
        async with running_fleet(HOSTS, upstreams()) as fleet:
            await change_and_restore(fleet)
            fleet.store.put('evacuations', ZONES[1], {})
            assert await becomes_true(
                fleet,
                lambda it: all(evacuated(it, ZONES[1])),
            )

    run(test)


def write_configuration(fleet: Fleet) -> None:
    fleet.store.put('config', 'main', configuration_spec(3))


def add_upstream(fleet: Fleet) -> None:
    fleet.store.put('servers', 'i-new', upstream_spec(9))


def remove_upstream(fleet: Fleet) -> None:
    fleet.store.delete('servers', 'i-0')


def names_at(fleet: Fleet) -> list[set[str]]:
    """Return the names of the upstreams that each host uses."""
    return [
        {one.name for one in host.local_state.catalog.of_service('views')}
        for host in fleet.hosts
    ]


@pytest.mark.parametrize(
    ('write', 'is_in_force'),
    [
        pytest.param(
            write_configuration,
            lambda fleet: all(have_version(host_versions(fleet), 3)),
            id='configuration',
        ),
        pytest.param(
            add_upstream,
            lambda fleet: all('i-new' in names for names in names_at(fleet)),
            id='new upstream',
        ),
        pytest.param(
            remove_upstream,
            lambda fleet: all('i-0' not in names for names in names_at(fleet)),
            id='removed upstream',
        ),
    ],
)
def test_changes_written_after_a_restore_are_in_force(
    write: Callable[[Fleet], None],
    is_in_force: Callable[[Fleet], bool],
) -> None:
    async def test() -> None:
        async with running_fleet(HOSTS, upstreams()) as fleet:
            await change_and_restore(fleet)
            # Hosts first learn the repeated writes.
            assert await becomes_true(
                fleet,
                lambda it: all(
                    len(names) == UPSTREAMS for names in names_at(it)
                ),
            )
            write(fleet)
            assert await becomes_true(fleet, is_in_force)

    run(test)
