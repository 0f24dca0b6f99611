"""Seeds that failed once; CI plays each of them again.

A seed draws the same faults each time, but real processes meet them at other
moments, so the cause has a test of its own beside it.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FailedSeed:
    """A seed that failed.

    Attributes:
        seed: The seed.
        cause: Why, and where it is tested.
        with_herds: Whether those faults were drawn from as well.
        with_power: The same of losses of power.
        with_harm: The same of requests that end upstreams.
        with_limits: The same of upstreams that name limits.
        with_notices: The same of upstreams that leave or ask for pauses.
        with_restores: The same of restores of the store.
    """

    seed: int
    cause: str
    with_herds: bool = True
    with_power: bool = True
    with_harm: bool = False
    with_limits: bool = False
    with_notices: bool = False
    with_restores: bool = False


FAILED_SEEDS: tuple[FailedSeed, ...] = (
    FailedSeed(
        3871459380,
        'a hang-up ended a process that was still loading; test_program.py',
        with_herds=False,
        with_power=False,
    ),
    FailedSeed(
        309958286,
        'a hang-up ended a process whose interpreter was still starting, and '
        'nobody started it again as the platform does; test_soak.py',
    ),
    FailedSeed(
        695283017,
        'all hosts started right after a restore and overloaded a restarted, '
        'cold upstream; test_cold_after_restore.py',
        with_harm=True,
        with_limits=True,
        with_restores=True,
    ),
    FailedSeed(
        1421903497,
        'the soak held hosts to a pause that was longer than the one its '
        'upstream had named; the upstream names it unrounded',
        with_harm=True,
        with_limits=True,
        with_notices=True,
        with_restores=True,
    ),
)
