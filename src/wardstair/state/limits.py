"""Limits that upstreams name, as this host knows them.

A limit is told to one host and binds the sum of all, so hosts hand each other
what they were told. It holds for a life of an upstream, and for as long as its
answers name it: the host that had the last answer knows best.
"""

import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from wardstair.platform.headers import ToldLimit
from wardstair.process.log import log_event
from wardstair.state.roles import ignore
from wardstair.state.upstream import Upstream

# Rates from here on bind nobody: twice the look-ups a second of the users'
# whole plan.
UNBOUND_RATE = 1_000_000.0
# How long hosts remember that a limit has ended, so that one that still knows
# it does not tell it anew, and what is told of upstreams they do not know yet.
# Names of hosts that are only heard of are kept as long.
REMEMBERED_SECONDS = 60.0
# Digests travel in heartbeats and in a query.
_DIGEST_MASK = 2**48 - 1


def time_since_boot() -> float:
    """Return seconds on a clock that goes on while the host is suspended.

    By the steady clock a host that was away for a minute would take its
    knowledge for newer than that of all others.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What an upstream named last.

    Attributes:
        born: The life that named it, as in its entry.
        rate: Requests a second; None if it takes everything again.
        seen_at: When an answer said so last, to this host or another.
    """

    born: int
    rate: float | None
    seen_at: float


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """What one host hands another of a limit.

    Attributes:
        born: The life that named it.
        rate: Requests a second; None if it takes everything again.
        age: Seconds since an answer said so.
    """

    born: int
    rate: float | None
    age: float


@dataclass(slots=True)
class LimitTable:
    """What upstreams have named, by their names.

    Attributes:
        clock: Seconds on a clock that suspension does not stop.
        rows: By name of the upstream.
        digest: The same at hosts that know the same; 0 for nothing.
        on_change: Called when there is something new.
    """

    clock: Callable[[], float] = time_since_boot
    rows: dict[str, NamedLimit] = field(default_factory=dict)
    digest: int = 0
    on_change: Callable[[], None] = ignore

    @property
    def shared(self) -> dict[str, SharedLimit]:
        """What other hosts are handed."""
        now = self.clock()
        return {
            name: SharedLimit(row.born, row.rate, max(0.0, now - row.seen_at))
            for name, row in self.rows.items()
        }

    def rate_of(self, upstream: Upstream) -> float | None:
        """Return what an upstream takes of all hosts; None if it is not bound.

        Args:
            upstream: One life of an upstream.
        """
        row = self.rows.get(upstream.name)
        if row is None or row.born != upstream.entry.born:
            return None
        return row.rate

    def note(self, upstream: Upstream, told: ToldLimit | None) -> None:
        """Take in what an answer of an upstream names.

        Args:
            upstream: Whose answer it is.
            told: What it names; None if it names nothing.
        """
        born = upstream.entry.born
        known = self.rows.get(upstream.name)
        if known is not None and known.born != born:
            known = None
        rate = None if told is None else _rate_in(told, known)
        if rate is None and known is None:
            return
        news = NamedLimit(born, rate, self.clock())
        self._put(upstream.name, news, 'answer')

    def merge_peer_limits(
        self, told: Mapping[str, SharedLimit], source: str
    ) -> None:
        """Take in what another host knows.

        Args:
            told: Limits by name of the upstream.
            source: The host, for the log.
        """
        now = self.clock()
        for name, one in told.items():
            self._put(
                name, NamedLimit(one.born, one.rate, now - one.age), source
            )

    def forget(self, names: Collection[str]) -> None:
        """Drop what nobody needs to know any more.

        Args:
            names: Names of the upstreams that are there.
        """
        end = self.clock() - REMEMBERED_SECONDS
        old = [
            name
            for name, row in self.rows.items()
            if row.seen_at < end and (row.rate is None or name not in names)
        ]
        for name in old:
            self.digest ^= _digest_of(name, self.rows.pop(name))

    def _put(self, name: str, news: NamedLimit, source: str) -> None:
        known = self.rows.get(name)
        if known is not None and not _is_newer(news, known):
            return
        self.rows[name] = news
        before = None
        if known is not None:
            if (known.born, known.rate) == (news.born, news.rate):
                # Only its age is new.
                return
            before = known.rate
            self.digest ^= _digest_of(name, known)
        self.digest ^= _digest_of(name, news)
        log_event(
            'upstream-limit',
            upstream=name,
            rate=news.rate,
            before=before,
            source=source,
        )
        self.on_change()


def _rate_in(told: ToldLimit, known: NamedLimit | None) -> float | None:
    """Return the rate that an answer names; None if it binds nobody.

    One that names something unreadable is still in need: what it named before
    holds on.
    """
    if told.rate is None:
        return None if known is None else known.rate
    return told.rate if told.rate < UNBOUND_RATE else None


def _is_newer(news: NamedLimit, known: NamedLimit) -> bool:
    if news.born != known.born:
        return news.born > known.born
    return news.seen_at > known.seen_at


def _digest_of(name: str, row: NamedLimit) -> int:
    named = f'{name} {row.born} {row.rate}'
    return xxh3_64_intdigest(named.encode()) & _DIGEST_MASK
