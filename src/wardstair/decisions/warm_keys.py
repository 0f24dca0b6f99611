"""Which keys an upstream probably remembers, from what it answered lately."""

from dataclasses import dataclass, field

# Keys that are kept an upstream; those it answered last. Upstreams remember
# some thirty to fifty from all hosts together, most of them their own.
MAX_KEYS = 24
# Keys that were not asked for during this time have probably been displaced.
KEPT_SECONDS = 6.0


@dataclass(slots=True)
class WarmKeys:
    """Keys that one upstream has answered to this host, oldest first."""

    _seen: dict[str, float] = field(default_factory=dict)

    def note(self, key: str, now: float) -> None:
        """Note that the upstream has answered for a key."""
        self._seen.pop(key, None)
        self._seen[key] = now
        if len(self._seen) > MAX_KEYS:
            self._seen.pop(next(iter(self._seen)))

    def has(self, key: str, now: float) -> bool:
        """Return whether the upstream probably remembers a key."""
        seen_at = self._seen.get(key)
        return seen_at is not None and now - seen_at < KEPT_SECONDS
