"""Seeds that failed once; CI runs a play for each of them.

A seed always draws the same faults, but their timing relative to the processes
varies, so each cause also has a test of its own.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FailedSeed:
    """A seed that failed.

    Attributes:
        seed: The seed.
        cause: Cause of the failure, and the test that covers it.
        with_herds: Whether faults included the group `faults.HERDS`.
        with_power: Whether faults included power losses.
        with_harm: Whether faults included requests that terminate upstreams.
        with_limits: Whether faults included announced rate limits.
        with_notices: Whether faults included notices in answers.
        with_restores: Whether faults included restores of the store.
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
