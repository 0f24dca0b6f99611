"""`python -m soak`: runs a play for each seed and prints the results."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from random import SystemRandom

import fire

from soak.play import Plan, play

SEED_BITS = 32


def run(
    seeds: str = '',
    count: int = 1,
    seconds: float = 20.0,
    hosts: int = 5,
    gap: float = 1.0,
    *,
    only_silence: bool = False,
    only_short_lives: bool = False,
    only_cuts: bool = False,
    only_pipelining: bool = False,
    only_endless: bool = False,
    only_storms: bool = False,
    only_adoptions: bool = False,
    only_zones: bool = False,
) -> None:
    """Run a play per seed in sequence; exit with 1 if a guarantee was violated.

    Args:
        seeds: Comma-separated seeds; new ones are drawn if empty.
        count: Number of new seeds to draw.
        seconds: Duration of the fault phase of each play.
        hosts: Number of gateways; upstreams and callers scale with it.
        gap: Mean seconds between the starts of faults.
        only_silence: Whether the only fault is that open connections to the
            store stop carrying data.
        only_short_lives: Whether the only fault is that upstreams leave right
            after they have started.
        only_cuts: Whether the only fault is that hosts are cut off from
            upstreams.
        only_pipelining: Whether all callers send requests before earlier ones
            are answered, during planned stops and reloads only.
        only_endless: Whether the only fault is that upstreams send answers
            without an end.
        only_storms: Whether the only fault is that configurations follow in
            quick succession.
        only_adoptions: Whether the only fault is that hosts are killed right
            after they have adopted a configuration.
        only_zones: Whether the only fault is that the hosts of a zone are cut
            off from all other hosts.
    """
    drawn = SystemRandom()
    chosen = [int(one) for one in str(seeds).strip('()').split(',') if one]
    chosen = chosen or [drawn.getrandbits(SEED_BITS) for _ in range(count)]
    is_broken = False
    for seed in chosen:
        plan = Plan(
            seed,
            seconds,
            hosts,
            upstreams=hosts + 1,
            callers=hosts * 2,
            gap=gap,
            only_silence=only_silence,
            only_short_lives=only_short_lives,
            only_cuts=only_cuts,
            only_pipelining=only_pipelining,
            only_endless=only_endless,
            only_storms=only_storms,
            only_adoptions=only_adoptions,
            only_zones=only_zones,
        )
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        began = time.monotonic()
        verdict = asyncio.run(play(plan, folder))
        took = round(time.monotonic() - began)
        ended = dict(sorted(verdict.statuses.items()))
        print(f'seed={seed} broken={len(verdict.broken)} seconds={took}')
        print(f'  ended={ended} faults={",".join(verdict.faults)}')
        for line in verdict.broken[:10]:
            print(f'  {line}')
        if verdict.broken:
            is_broken = True
            print(f'  logs in {folder}')
    sys.exit(1 if is_broken else 0)


if __name__ == '__main__':
    fire.Fire(run)
