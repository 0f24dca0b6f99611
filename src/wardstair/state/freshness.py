"""Tracks how long this host may have missed new configuration versions."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class ConfigurationFreshness:
    """Time since this host was last certain to receive new versions.

    Attributes:
        clock: Monotonic time in seconds.
        hears_store: Returns whether this host is in contact with the store or
            receives heartbeats from a peer that is.
    """

    clock: Callable[[], float]
    hears_store: Callable[[], bool]
    _heard_at: float = field(default=float('-inf'))

    @property
    def age(self) -> float:
        """Seconds since the last refresh that found contact with the store."""
        return self.clock() - self._heard_at

    def refresh(self) -> None:
        """Record contact with the store; to be called twice a second."""
        if self.hears_store():
            self._heard_at = self.clock()
