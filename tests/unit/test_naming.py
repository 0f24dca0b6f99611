"""Which hosts a look-up names, and when a host says that it is busy."""

import pytest

from wardstair.decisions.processor_pressure import (
    BUSY_LATENESS_SECONDS,
    HOLD_SECONDS,
    ProcessorPressure,
)
from wardstair.fleet.naming import NamedHost, name_hosts

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
BIG, SMALL = 2.15, 0.43


def host(
    name: str,
    zone: str = 'a1',
    size: float = 1.0,
    *,
    is_leaving: bool = False,
    is_busy: bool = False,
    is_cut_off: bool = False,
) -> NamedHost:
    return NamedHost(name, zone, is_leaving, size, is_busy, is_cut_off)


BIGS = [host('big-1', size=BIG), host('big-2', size=BIG)]
SMALLS = [host(f'small-{number}', size=SMALL) for number in range(6)]


@pytest.mark.parametrize(
    ('hosts', 'zone', 'named'),
    [
        # The caller's zone; its region if the zone has too few; anything.
        ([host('x'), host('y'), host('z', 'a2')], 'a1', 'x y'),
        ([host('x'), host('z', 'a2'), host('w', 'b1')], 'a1', 'x z'),
        ([host('w', 'b1')], 'a1', 'w'),
        # Those that leave only if nobody stays.
        ([host('x'), host('y', is_leaving=True)], 'a1', 'x'),
        ([host('y', is_leaving=True)], 'a1', 'y'),
        # Those that reach no upstream only if nobody else is left.
        ([host('x'), host('y', is_cut_off=True), host('z')], 'a1', 'x z'),
        ([host('x'), host('y', is_cut_off=True)], 'a1', 'x'),
        ([host('x', is_cut_off=True), host('z', 'a2')], 'a1', 'z'),
        ([host('x', is_cut_off=True), host('w', 'b1')], 'a1', 'w'),
        (
            [host('x', is_cut_off=True), host('w', 'b1', is_cut_off=True)],
            'a1',
            'x',
        ),
        # Too few of the region are left to carry its callers.
        (
            [host('x'), *[host(f'y{n}', is_cut_off=True) for n in range(3)]]
            + [host('w', 'b1')],
            'a1',
            'x w',
        ),
        # Equal sizes: all. Unequal: the large ones.
        ([host(name) for name in 'pqrst'], 'a1', 'p q r s t'),
        ([*BIGS, *SMALLS], 'a1', 'big-1 big-2'),
        # Too few large ones, or too small a part of the zone, or busy.
        ([BIGS[0], *SMALLS[:2]], 'a1', 'big-1 small-0 small-1'),
        (
            [*BIGS, *[host(f's{n}', size=0.43) for n in range(16)]],
            'a1',
            ' '.join(['big-1', 'big-2', *[f's{n}' for n in range(16)]]),
        ),
        (
            [BIGS[0], host('big-2', size=BIG, is_busy=True), *SMALLS[:1]],
            'a1',
            'big-1 big-2 small-0',
        ),
        # A small one that is busy is no reason to send it more.
        ([*BIGS, host('s', size=SMALL, is_busy=True)], 'a1', 'big-1 big-2'),
    ],
)
def test_a_look_up_names_hosts_near_the_caller_by_size(
    hosts: list[NamedHost],
    zone: str,
    named: str,
) -> None:
    found = name_hosts(hosts, zone, REGIONS[zone], REGIONS)
    assert [one.front for one in found] == named.split()


def test_a_host_is_busy_for_a_while_after_its_timers_were_late() -> None:
    busyness = ProcessorPressure()
    assert not busyness.note(BUSY_LATENESS_SECONDS / 2, 1.0)
    assert busyness.note(BUSY_LATENESS_SECONDS * 4, 2.0)
    while busyness.lateness > BUSY_LATENESS_SECONDS / 2:
        busyness.note(0.0, 2.0)
    assert busyness.note(0.0, 2.0 + HOLD_SECONDS - 0.1)
    assert not busyness.note(0.0, 2.0 + HOLD_SECONDS + 0.1)


def test_one_late_timer_is_nothing() -> None:
    assert not ProcessorPressure().note(BUSY_LATENESS_SECONDS * 3, 1.0)
