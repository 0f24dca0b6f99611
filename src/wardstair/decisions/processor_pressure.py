"""Whether a process is short of processor time, from how late its timers are.

What a host may use of a core, and what the core is worth, differ from one to
another and change while it runs; the lateness of timers tells what is left.
"""

from dataclasses import dataclass

# Lateness from which on callers notice: a request passes the event loop some
# five times.
BUSY_LATENESS_SECONDS = 0.03
# How fast the average follows, a look each half second.
_SHARE = 0.3
# Kept for this long, so that traffic does not swing to and fro.
HOLD_SECONDS = 8.0


@dataclass(slots=True)
class ProcessorPressure:
    """Lateness of a process's timers, averaged.

    Attributes:
        lateness: Mean lateness in seconds.
        busy_until: Monotonic time until which it counts as busy.
    """

    lateness: float = 0.0
    busy_until: float = float('-inf')

    def note(self, lateness: float, now: float) -> bool:
        """Take in how late a timer was; return whether the process is busy.

        Args:
            lateness: Seconds.
            now: Monotonic time in seconds.
        """
        self.lateness += _SHARE * (lateness - self.lateness)
        if self.lateness >= BUSY_LATENESS_SECONDS:
            self.busy_until = now + HOLD_SECONDS
        return now < self.busy_until
