"""Plays troubles, alone and in pairs, and prints how old news gets.

    python bench/news_age.py 6 1,2,3               each trouble and each pair
    python bench/news_age.py 6 1 0/2               the first half of them
    python bench/news_age.py 85 1 store_cut+one_still ...      these only

Hosts are 6, 12, 85 or 195. A row is printed as soon as its plays have ended.
The chain of events follows where a figure is above `TOLD_SECONDS`.
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

# Zones in each of three regions, and hosts in each zone.
SIZES = {6: (2, 1), 12: (2, 2), 85: (3, 9), 195: (3, 22)}
TOLD_SECONDS = 1.25
TOLD_EVENTS = 30


def main(hosts: int, seeds: list[int], cases: list[tuple[str, ...]]) -> None:
    """Print the table.

    Args:
        hosts: Size of the fleet, one of `SIZES`.
        seeds: Of the plays of each case.
        cases: Names of the troubles that begin together.
    """
    zones, in_zone = SIZES[hosts]
    print(f'| hosts {3 * zones * in_zone}: troubles | held | any | at, seed |')
    print('| --- | --- | --- | --- |')
    for case in cases:
        outcomes = [
            (play_troubles(case, zones, in_zone, seed), seed) for seed in seeds
        ]
        _print_row(case, outcomes)


def _chosen(told: list[str]) -> list[tuple[str, ...]]:
    if not told:
        return all_cases()
    if '/' in told[0]:
        part, parts = told[0].split('/')
        return all_cases()[int(part) :: int(parts)]
    return [tuple(one.split('+')) for one in told]


def _print_row(
    case: tuple[str, ...],
    outcomes: list[tuple[Outcome, int]],
) -> None:
    held = max(outcome.held.seconds for outcome, _ in outcomes)
    worst, seed = max(outcomes, key=lambda one: one[0].ran.seconds)
    age = worst.ran
    told = f'{age.host} +{age.offset:.2f}, {seed}'
    row = f'| {"+".join(case)} | {held:.2f} | {age.seconds:.2f} | {told} |'
    print(row, flush=True)
    if max(held, age.seconds) > TOLD_SECONDS:
        for line in worst.chain[:TOLD_EVENTS]:
            print(f'    {line}', flush=True)


if __name__ == '__main__':
    main(
        int(sys.argv[1]),
        [int(one) for one in sys.argv[2].split(',')],
        _chosen(sys.argv[3:]),
    )
