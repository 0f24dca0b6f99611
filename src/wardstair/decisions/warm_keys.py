"""Keys that are probably warm at an upstream, from its recent answers."""

from dataclasses import dataclass, field

# Maximum number of keys kept for an upstream, the most recent ones. Upstreams
# cache about 30 to 50 keys from all hosts together, most of them keys that
# prefer the upstream.
MAX_KEYS = 24
# Keys without a request for this time have probably been evicted.
KEPT_SECONDS = 6.0


@dataclass(slots=True)
class WarmKeys:
    """Keys for which an upstream has answered this host, oldest first."""

    _seen: dict[str, float] = field(default_factory=dict)

    def note(self, key: str, now: float) -> None:
        """Record that the upstream has answered for a key."""
        self._seen.pop(key, None)
        self._seen[key] = now
        if len(self._seen) > MAX_KEYS:
            self._seen.pop(next(iter(self._seen)))

    def has(self, key: str, now: float) -> bool:
        """Return whether a key is probably warm at the upstream."""
        seen_at = self._seen.get(key)
        return seen_at is not None and now - seen_at < KEPT_SECONDS
