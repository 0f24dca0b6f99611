"""The store comes back from a copy some seconds old.

What users would see: an evacuation, a new upstream or the end of one, written
after the store's return, is not in force at some hosts, for as long as the
store's revisions stay below those of before. A configuration is.

The order of events: the store is away for a moment and comes back from a copy;
what was written since is gone, and its revisions are given out again. The
operator and the upstreams write again what they had written, then something new
is written.

The cause: hosts take the higher revision for the newer, whichever life of the
store gave it out. What the store says of its lives (`Store-Era`) nobody reads.
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
AWAY_SECONDS = 0.5
# Times that upstreams write what the copy lacks: more than is written again.
LOST_WRITES = 5
# Only ends a test that has failed; news are in force within about a second.
LONGEST_SECONDS = 8.0


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test within a bound of time."""

    async def main() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(main())


async def come_true(fleet: Fleet, is_true: Callable[[Fleet], bool]) -> bool:
    """Return whether something comes true."""
    try:
        async with asyncio.timeout(LONGEST_SECONDS):
            # Conditions of many parts; none has an event of its own.
            while not is_true(fleet):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


def write_upstreams(fleet: Fleet) -> None:
    """Write what the upstreams write of themselves."""
    for number, upstream in enumerate(fleet.upstreams):
        entry = upstream_spec(upstream.port, zone=ZONES[number % len(ZONES)])
        fleet.store.put('servers', upstream.name, entry)


async def lose(fleet: Fleet, copy: StoreCopy) -> None:
    """Let the store be away and come back; all write again what they had."""
    fleet.store.status = 503
    await asyncio.sleep(AWAY_SECONDS)
    fleet.store.restore(copy)
    fleet.store.put('config', 'main', configuration_spec(2))
    write_upstreams(fleet)


async def change_and_lose(fleet: Fleet) -> None:
    """Let hosts see changes that the store then loses."""
    copy = fleet.store.copy()
    fleet.store.put('config', 'main', configuration_spec(2))
    for _ in range(LOST_WRITES):
        write_upstreams(fleet)
    # An evacuation that is ended again; all hosts follow both.
    fleet.store.put('evacuations', ZONES[0], {})
    assert await come_true(fleet, lambda it: all(evacuated(it, ZONES[0])))
    fleet.store.delete('evacuations', ZONES[0])
    assert await come_true(fleet, lambda it: not any(evacuated(it, ZONES[0])))
    assert all(has_version(host_version(fleet), 2))
    await lose(fleet, copy)


def evacuated(fleet: Fleet, zone: str) -> list[bool]:
    return [zone in host.local_state.evacuated for host in fleet.hosts]


def host_version(fleet: Fleet) -> list[int]:
    return [host.local_state.versions.configuration for host in fleet.hosts]


def has_version(versions: list[int], version: int) -> list[bool]:
    return [one >= version for one in versions]


def upstreams() -> list[UpstreamStandin]:
    return [UpstreamStandin(f'i-{number}') for number in range(UPSTREAMS)]


def test_an_evacuation_that_is_written_after_it_is_in_force() -> None:
    async def test() -> None:
        async with running_fleet(HOSTS, upstreams()) as fleet:
            await change_and_lose(fleet)
            fleet.store.put('evacuations', ZONES[1], {})
            assert await come_true(
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
            lambda fleet: all(has_version(host_version(fleet), 3)),
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
            id='upstream gone',
        ),
    ],
)
def test_what_is_written_after_it_is_in_force(
    write: Callable[[Fleet], None],
    is_in_force: Callable[[Fleet], bool],
) -> None:
    async def test() -> None:
        async with running_fleet(HOSTS, upstreams()) as fleet:
            await change_and_lose(fleet)
            # What was written again is known before.
            assert await come_true(
                fleet,
                lambda it: all(
                    len(names) == UPSTREAMS for names in names_at(it)
                ),
            )
            write(fleet)
            assert await come_true(fleet, is_in_force)

    run(test)
