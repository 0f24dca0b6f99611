"""Estimates round-trip times to zones from the time to open connections."""

from dataclasses import dataclass, field

from wardstair.gateway.settings import LiveSettings

# Assumed until a round trip is measured: to other regions, within the zone and
# within the region.
DEFAULT_FAR_SECONDS = 0.08
ZONE_SECONDS = 0.001
REGION_SECONDS = 0.002
# Weight of a longer round trip in the estimate. A shorter one replaces the
# estimate at once, since queueing only ever adds time.
_SMOOTHING_FACTOR = 0.02


@dataclass(slots=True)
class Distances:
    """Round-trip times to zones, measured when connections open."""

    settings: LiveSettings
    _measured: dict[str, float] = field(default_factory=dict)

    def note(self, zone: str, seconds: float) -> None:
        """Record how long a connection to a zone took to open, in seconds."""
        known = self._measured.get(zone)
        if known is None or seconds < known:
            self._measured[zone] = seconds
            return
        self._measured[zone] = known + _SMOOTHING_FACTOR * (seconds - known)

    def to(self, zone: str) -> float:
        """Return the round-trip time to a zone in seconds."""
        known = self._measured.get(zone)
        if known is not None:
            return known
        if zone == self.settings.current.zone:
            return ZONE_SECONDS
        if self.settings.current.is_in_region(zone):
            return REGION_SECONDS
        return DEFAULT_FAR_SECONDS
