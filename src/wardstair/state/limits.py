"""Rate limits announced by upstreams.

An upstream announces its limit in an answer to one host, but the limit applies
to the sum of all hosts, so hosts exchange the limits that they receive. A limit
holds for one incarnation of an upstream, and only while its answers contain it.
The most recent answer to any host counts.
"""

import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from wardstair.platform.headers import ReportedLimit
from wardstair.process.log import log_event
from wardstair.state.incarnations import is_ahead
from wardstair.state.roles import ignore
from wardstair.state.upstream import Upstream

# Rates from this value on are no limit: it is twice the planned number of
# look-ups per second of all users.
UNLIMITED_RATE = 1_000_000.0
# Retention of the end of a limit, so that a host that still has the limit does
# not distribute it again. Limits of upstreams without an entry are kept as
# long, because the entry may still arrive. Hosts that are known only from peers
# are retained for the same time.
REMEMBERED_SECONDS = 60.0
# Digests are sent in heartbeats and in query strings.
_DIGEST_MASK = 2**48 - 1


def time_since_boot() -> float:
    """Return seconds on a clock that continues while the host is suspended.

    With the monotonic clock a host that was suspended for a minute would treat
    its limits as newer than those of all other hosts.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """The last limit announced by an upstream.

    Attributes:
        born: Incarnation that announced it, as in its entry.
        rate: Requests per second; None if the limit has ended.
        seen_at: Time of the last answer with this limit to any host, in seconds
            of the table's clock.
    """

    born: int
    rate: float | None
    seen_at: float


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """A limit as sent to another host.

    Attributes:
        born: Incarnation that announced it, as in its entry.
        rate: Requests per second; None if the limit has ended.
        age: Seconds since the last answer with this limit.
    """

    born: int
    rate: float | None
    age: float


@dataclass(slots=True)
class LimitTable:
    """The limits of all upstreams.

    Attributes:
        clock: Seconds on a clock that suspension does not stop.
        rows: Limits by name of the upstream.
        digest: Digest of all limits without their ages; 0 for an empty table.
        on_change: Called when a limit has changed.
        time_of_day: Time of day in Unix seconds.
    """

    clock: Callable[[], float] = time_since_boot
    rows: dict[str, KnownLimit] = field(default_factory=dict)
    digest: int = 0
    on_change: Callable[[], None] = ignore
    time_of_day: Callable[[], float] = time.time

    @property
    def shared(self) -> dict[str, SharedLimit]:
        """The limits as sent to other hosts, by name of the upstream."""
        now = self.clock()
        return {
            name: SharedLimit(row.born, row.rate, max(0.0, now - row.seen_at))
            for name, row in self.rows.items()
        }

    def rate_of(self, upstream: Upstream) -> float | None:
        """Return the limit of an upstream for all hosts; None without one.

        Args:
            upstream: An incarnation of an upstream.

        Returns:
            Requests per second.
        """
        row = self.rows.get(upstream.name)
        if row is None or row.born != upstream.entry.born:
            return None
        return row.rate

    def note(self, upstream: Upstream, announced: ReportedLimit | None) -> None:
        """Record the limit in an answer of an upstream.

        Args:
            upstream: The upstream that answered.
            announced: The limit in the answer, or None.
        """
        born = upstream.entry.born
        known = self.rows.get(upstream.name)
        if known is not None and known.born != born:
            known = None
        rate = None if announced is None else _rate_in(announced, known)
        if rate is None and known is None:
            return
        limit = KnownLimit(born, rate, self.clock())
        self._put(upstream.name, limit, 'answer')

    def merge_peer_limits(
        self, limits: Mapping[str, SharedLimit], source: str
    ) -> None:
        """Merge the limits known to another host.

        Args:
            limits: Limits by name of the upstream.
            source: The other host, for the log.
        """
        now = self.clock()
        for name, one in limits.items():
            self._put(
                name, KnownLimit(one.born, one.rate, now - one.age), source
            )

    def forget(self, names: Collection[str]) -> None:
        """Drop ended limits and limits of absent upstreams after a while.

        Args:
            names: Names of the present upstreams.
        """
        end = self.clock() - REMEMBERED_SECONDS
        old = [
            name
            for name, row in self.rows.items()
            if row.seen_at < end and (row.rate is None or name not in names)
        ]
        for name in old:
            self.digest ^= _digest_of(name, self.rows.pop(name))

    def _put(self, name: str, limit: KnownLimit, source: str) -> None:
        known = self.rows.get(name)
        if known is not None and not self._is_newer(limit, known):
            return
        self.rows[name] = limit
        before = None
        if known is not None:
            if (known.born, known.rate) == (limit.born, limit.rate):
                # Only the age has changed.
                return
            before = known.rate
            self.digest ^= _digest_of(name, known)
        self.digest ^= _digest_of(name, limit)
        log_event(
            'upstream-limit',
            upstream=name,
            rate=limit.rate,
            before=before,
            source=source,
        )
        self.on_change()

    def _is_newer(self, limit: KnownLimit, known: KnownLimit) -> bool:
        latest = max(limit.born, known.born)
        if limit.born == known.born or is_ahead(latest, self.time_of_day()):
            return limit.seen_at > known.seen_at
        return limit.born > known.born


def _rate_in(
    announced: ReportedLimit, known: KnownLimit | None
) -> float | None:
    """Return the rate announced in an answer; None if it is no limit.

    If the announced limit cannot be parsed, the upstream still wants one, so
    the previous limit remains in force.
    """
    if announced.rate is None:
        return None if known is None else known.rate
    return announced.rate if announced.rate < UNLIMITED_RATE else None


def _digest_of(name: str, row: KnownLimit) -> int:
    named = f'{name} {row.born} {row.rate}'
    return xxh3_64_intdigest(named.encode()) & _DIGEST_MASK
