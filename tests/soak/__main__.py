"""`python -m soak`: plays seeds and prints what each has shown."""

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
    only_cuts: bool = False,
) -> None:
    """Play seeds one after another; exit with 1 if a promise was broken.

    Args:
        seeds: Seeds with commas between; fresh ones if empty.
        count: How many fresh seeds.
        seconds: How long faults begin, each time.
        hosts: Gateways; upstreams and callers grow with them.
        gap: Mean seconds between the begins of faults.
        only_silence: Whether connections to the store fall silent, and nothing
            else happens.
        only_cuts: Whether hosts are cut off from upstreams, and nothing else
            happens.
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
            only_cuts=only_cuts,
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
