"""How far other availability zones are, from what connections took."""

from dataclasses import dataclass, field

from wardstair.gateway.settings import LiveSettings

# Until a round trip to another region was measured.
FIRST_FAR_SECONDS = 0.08
ZONE_SECONDS = 0.001
REGION_SECONDS = 0.002
# How fast a measured round trip follows longer ones; shorter ones count at
# once, since queues only ever lengthen it.
_DRIFT_SHARE = 0.02


@dataclass(slots=True)
class Distances:
    """Round trips to other zones, from the times connections took."""

    settings: LiveSettings
    _measured: dict[str, float] = field(default_factory=dict)

    def note(self, zone: str, seconds: float) -> None:
        """Take in how long a connection to a zone took to open."""
        known = self._measured.get(zone)
        if known is None or seconds < known:
            self._measured[zone] = seconds
            return
        self._measured[zone] = known + _DRIFT_SHARE * (seconds - known)

    def to(self, zone: str) -> float:
        """Return the seconds there and back."""
        known = self._measured.get(zone)
        if known is not None:
            return known
        if zone == self.settings.current.zone:
            return ZONE_SECONDS
        if self.settings.current.is_in_region(zone):
            return REGION_SECONDS
        return FIRST_FAR_SECONDS
