"""Detects from late timers that a process is short of processor time.

The share of a core that a host may use, and the speed of that core, differ
between hosts and change at run time. Timer lateness measures the shortage
without knowing either.
"""

from dataclasses import dataclass

# Mean lateness from which a process counts as busy. A request passes through
# the event loop about five times, so callers notice five times this delay.
BUSY_LATENESS_SECONDS = 0.03
# Weight of a new sample in the moving average; there are two samples a second.
_SAMPLE_WEIGHT = 0.3
# A process counts as busy for at least this long, so that traffic does not
# oscillate between hosts.
HOLD_SECONDS = 8.0


@dataclass(slots=True)
class ProcessorPressure:
    """Moving average of how late a process's timers fire.

    Attributes:
        lateness: Mean lateness in seconds.
        busy_until: Monotonic time in seconds until which the process counts
            as busy.
    """

    lateness: float = 0.0
    busy_until: float = float('-inf')

    def note(self, lateness: float, now: float) -> bool:
        """Record a timer's lateness and return whether the process is busy.

        Args:
            lateness: Seconds by which the timer fired late.
            now: Monotonic time in seconds.
        """
        self.lateness += _SAMPLE_WEIGHT * (lateness - self.lateness)
        if self.lateness >= BUSY_LATENESS_SECONDS:
            self.busy_until = now + HOLD_SECONDS
        return now < self.busy_until
