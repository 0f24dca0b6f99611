"""Simulates faults, alone and in pairs, and prints the age of state updates.

    python bench/news_age.py 6 1,2,3               each fault and each pair
    python bench/news_age.py 6 1 0/2               every second case of these
    python bench/news_age.py 85 1 store_cut+one_still ...      only these cases

The arguments are the number of hosts (6, 12, 85 or 195), the seeds and the
cases. A row is printed as soon as its simulations have ended. The events that
led to the worst age follow if an age exceeds `EVENTS_FROM_SECONDS`.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'tests'))

from lib.news_troubles import (  # noqa: E402
    Outcome,
    all_cases,
    play_troubles,
)

# By fleet size: zones in each of three regions, and hosts in each zone.
SIZES = {6: (2, 1), 12: (2, 2), 85: (3, 9), 195: (3, 22)}
EVENTS_FROM_SECONDS = 1.25
MAX_PRINTED_EVENTS = 30


def main(hosts: int, seeds: list[int], cases: list[tuple[str, ...]]) -> None:
    """Simulate the cases and print a table.

    Args:
        hosts: Size of the fleet, one of `SIZES`.
        seeds: Seeds of the simulations of each case.
        cases: The cases, each the names of faults that begin together.
    """
    zones, in_zone = SIZES[hosts]
    print(f'| hosts {3 * zones * in_zone}: troubles | held | any | at, seed |')
    print('| --- | --- | --- | --- |')
    for case in cases:
        outcomes = [
            (play_troubles(case, zones, in_zone, seed), seed) for seed in seeds
        ]
        _print_row(case, outcomes)


def _select_cases(arguments: list[str]) -> list[tuple[str, ...]]:
    if not arguments:
        return all_cases()
    if '/' in arguments[0]:
        part, parts = arguments[0].split('/')
        return all_cases()[int(part) :: int(parts)]
    return [tuple(one.split('+')) for one in arguments]


def _print_row(
    case: tuple[str, ...],
    outcomes: list[tuple[Outcome, int]],
) -> None:
    held = max(outcome.held.seconds for outcome, _ in outcomes)
    worst, seed = max(outcomes, key=lambda one: one[0].ran.seconds)
    age = worst.ran
    place = f'{age.host} +{age.offset:.2f}, {seed}'
    row = f'| {"+".join(case)} | {held:.2f} | {age.seconds:.2f} | {place} |'
    print(row, flush=True)
    if max(held, age.seconds) > EVENTS_FROM_SECONDS:
        for line in worst.chain[:MAX_PRINTED_EVENTS]:
            print(f'    {line}', flush=True)


if __name__ == '__main__':
    main(
        int(sys.argv[1]),
        [int(one) for one in sys.argv[2].split(',')],
        _select_cases(sys.argv[3:]),
    )
