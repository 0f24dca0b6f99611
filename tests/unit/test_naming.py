"""Hosts that a look-up returns, and when a host reports that it is busy."""

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


LARGE_HOSTS = [host('big-1', size=BIG), host('big-2', size=BIG)]
SMALL_HOSTS = [host(f'small-{number}', size=SMALL) for number in range(6)]


@pytest.mark.parametrize(
    ('hosts', 'zone', 'expected'),
    [
        # The caller's zone; its region if the zone has too few hosts; any host.
        ([host('x'), host('y'), host('z', 'a2')], 'a1', 'x y'),
        ([host('x'), host('z', 'a2'), host('w', 'b1')], 'a1', 'x z'),
        ([host('w', 'b1')], 'a1', 'w'),
        # Leaving hosts only if no other host is left.
        ([host('x'), host('y', is_leaving=True)], 'a1', 'x'),
        ([host('y', is_leaving=True)], 'a1', 'y'),
        # Hosts that reach no upstream only if no other host is left.
        ([host('x'), host('y', is_cut_off=True), host('z')], 'a1', 'x z'),
        ([host('x'), host('y', is_cut_off=True)], 'a1', 'x'),
        ([host('x', is_cut_off=True), host('z', 'a2')], 'a1', 'z'),
        ([host('x', is_cut_off=True), host('w', 'b1')], 'a1', 'w'),
        (
            [host('x', is_cut_off=True), host('w', 'b1', is_cut_off=True)],
            'a1',
            'x',
        ),
        # The hosts of the region that reach upstreams have too few cores.
        (
            [host('x'), *[host(f'y{n}', is_cut_off=True) for n in range(3)]]
            + [host('w', 'b1')],
            'a1',
            'x w',
        ),
        # All hosts if they have equal sizes, otherwise the large ones.
        ([host(name) for name in 'pqrst'], 'a1', 'p q r s t'),
        ([*LARGE_HOSTS, *SMALL_HOSTS], 'a1', 'big-1 big-2'),
        # Too few large hosts, or with too few of the cores, or a busy one.
        ([LARGE_HOSTS[0], *SMALL_HOSTS[:2]], 'a1', 'big-1 small-0 small-1'),
        (
            [*LARGE_HOSTS, *[host(f's{n}', size=0.43) for n in range(16)]],
            'a1',
            ' '.join(['big-1', 'big-2', *[f's{n}' for n in range(16)]]),
        ),
        (
            [
                LARGE_HOSTS[0],
                host('big-2', size=BIG, is_busy=True),
                *SMALL_HOSTS[:1],
            ],
            'a1',
            'big-1 big-2 small-0',
        ),
        # A busy small host does not bring the small hosts into use.
        (
            [*LARGE_HOSTS, host('s', size=SMALL, is_busy=True)],
            'a1',
            'big-1 big-2',
        ),
    ],
)
def test_look_ups_return_near_and_large_hosts(
    hosts: list[NamedHost],
    zone: str,
    expected: str,
) -> None:
    found = name_hosts(hosts, zone, REGIONS[zone], REGIONS)
    assert [one.front for one in found] == expected.split()


def test_a_host_stays_busy_for_the_hold_time_after_late_timers() -> None:
    pressure = ProcessorPressure()
    assert not pressure.note(BUSY_LATENESS_SECONDS / 2, 1.0)
    assert pressure.note(BUSY_LATENESS_SECONDS * 4, 2.0)
    while pressure.lateness > BUSY_LATENESS_SECONDS / 2:
        pressure.note(0.0, 2.0)
    assert pressure.note(0.0, 2.0 + HOLD_SECONDS - 0.1)
    assert not pressure.note(0.0, 2.0 + HOLD_SECONDS + 0.1)


def test_a_single_late_timer_does_not_make_a_host_busy() -> None:
    assert not ProcessorPressure().note(BUSY_LATENESS_SECONDS * 3, 1.0)
