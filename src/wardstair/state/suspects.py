"""Requests that ended upstreams, as all hosts together have seen them.

Hosts exchange the whole table when their digests differ. It is small: a request
enters it only when an upstream ends under it.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from xxhash import xxh3_64_intdigest

from wardstair.decisions.suspicion import (
    HELD_FROM,
    SUSPECT_FROM,
    Evidence,
    held_requests,
    merge,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.roles import ignore

# What a request that comes again after minutes may cost: three upstreams in
# each such time. Who is held wrongly is held for no longer, unless lifted.
HELD_SECONDS = 900
# A request with fewer lives than it takes: callers come again within seconds.
SUSPECT_SECONDS = 300
# About 1 KB each, with four lives that no other has (tracemalloc): 0.5 MB. A
# caller that draws ever new requests pushes out those with the fewest lives
# first.
MAX_RECORDS = 512
# What is left when there is no more room; sorting them takes 2 ms.
KEPT_RECORDS = MAX_RECORDS * 7 // 8
# Lives that are kept of one request; the rest proves nothing more.
MAX_INCARNATIONS = 32
# Digests travel in heartbeats and in a query.
_DIGEST_MASK = 2**48 - 1


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """What operators are shown of one request.

    Attributes:
        content: The request's digest.
        held: Whether it is refused.
        lives: Lives of upstreams that count against it, with commas between.
        answered: How many lives answered it.
        seconds_left: How long it stays known.
    """

    content: str
    held: bool
    lives: str
    answered: int
    seconds_left: int


@dataclass(slots=True)
class SuspectTable:
    """Evidence by request.

    Attributes:
        today: Time of day in Unix seconds: evidence outlives processes.
        records: Evidence by the request's digest.
        held: Requests that are refused.
        digest: The same at hosts that know the same; 0 for nothing.
        on_change: Called when there is something new.
        on_ended: Told each life of an upstream that is found to have ended.
    """

    today: Callable[[], float] = time.time
    records: dict[str, Evidence] = field(default_factory=dict)
    held: frozenset[str] = frozenset()
    digest: int = 0
    on_change: Callable[[], None] = ignore
    on_ended: Callable[[str], None] = lambda _life: None

    def count(self, request: str) -> int:
        """Return how many lives count against a request."""
        known = self.records.get(request)
        return 0 if known is None else len(known.counted)

    def seconds_left(self, request: str) -> float:
        """Return how long a request stays held or suspected, in seconds."""
        one = self.records[request]
        return max(1.0, one.last_at + _kept_seconds(one) - self.today())

    def note_ended(self, requests: Iterable[str], life: str) -> None:
        """Note that an upstream ended while it had these requests."""
        seen = Evidence({life: int(self.today())})
        self.add_evidence(dict.fromkeys(requests, seen))

    def note_answered(self, request: str, life: str) -> None:
        """Note that an upstream answered a request that is suspected."""
        known = self.records.get(request)
        if known is not None and life not in known.answered:
            answered = Evidence(answered=frozenset((life,)))
            self.add_evidence({request: answered})

    def lift(self, request: str) -> bool:
        """Set aside what is known of a request; return whether any is."""
        if request not in self.records:
            return False
        self.add_evidence({request: Evidence(lifted_at=int(self.today()))})
        return True

    def add_evidence(self, told: Mapping[str, Evidence]) -> bool:
        """Take in evidence, of this host or others; return whether it is news.

        Args:
            told: Evidence by request.
        """
        now = self.today()
        before = self.digest
        for request, evidence in told.items():
            known = self.records.get(request, Evidence())
            news = _not_ahead(_bounded(known, evidence), now)
            is_old = now - news.last_at >= _kept_seconds(news)
            if is_old and request not in self.records:
                continue
            self._put(request, merge(known, news))
            for life in news.ended.keys() - known.ended.keys():
                self.on_ended(life)
        if len(self.records) > MAX_RECORDS:
            self.expire()
        self._settle()
        if self.digest == before:
            return False
        self.on_change()
        return True

    def expire(self) -> None:
        """Drop what is too old, and what there is no room for."""
        now = self.today()
        old = [
            request
            for request, one in self.records.items()
            if now - one.last_at >= _kept_seconds(one)
        ]
        for request in old:
            self._put(request, None)
        if len(self.records) > MAX_RECORDS:
            ranked = sorted(self.records.items(), key=_worth)
            for request, _ in ranked[: len(ranked) - KEPT_RECORDS]:
                self._put(request, None)
        self._settle()

    def _put(self, request: str, evidence: Evidence | None) -> None:
        """Set, or with None drop, one record and keep the digest in step.

        Working all of it out anew took 5.7 ms with a full table, for each
        broken exchange.
        """
        known = self.records.pop(request, None)
        if known is not None:
            self.digest ^= _digest_of(request, known)
        if evidence is not None:
            self.records[request] = evidence
            self.digest ^= _digest_of(request, evidence)

    def _settle(self) -> None:
        """Work out who is held."""
        before = self.held
        self.held = held_requests(self.records)
        for request in self.held - before:
            log_warning(
                'request-held',
                content=request,
                lives=','.join(sorted(self.records[request].counted)),
                answered=len(self.records[request].answered),
            )
        for request in before - self.held:
            log_event('request-released', content=request)

    def listing(self) -> list[SuspectRow]:
        """Return what is known, for operators: those with most lives first."""
        ranked = sorted(
            self.records.items(),
            key=lambda item: (-len(item[1].counted), item[0]),
        )
        return [
            SuspectRow(
                content=request,
                held=request in self.held,
                lives=','.join(sorted(one.counted)),
                answered=len(one.answered),
                seconds_left=round(self.seconds_left(request)),
            )
            for request, one in ranked
        ]

    @property
    def shared(self) -> dict[str, Evidence]:
        """What has to outlast the hosts: requests with more than one life.

        Each end of an upstream makes some with one, nearly all of them
        innocent; each of them written would be a call on the store.
        """
        return {
            request: one
            for request, one in self.records.items()
            if len(one.ended) >= SUSPECT_FROM or one.lifted_at
        }


def _kept_seconds(evidence: Evidence) -> int:
    is_full = len(evidence.ended) >= HELD_FROM
    return HELD_SECONDS if is_full else SUSPECT_SECONDS


def _bounded(known: Evidence, told: Evidence) -> Evidence:
    """Return what is told, without more lives than are kept."""
    if len(known.ended) >= MAX_INCARNATIONS:
        told = replace(told, ended={})
    if len(known.answered) >= MAX_INCARNATIONS:
        told = replace(told, answered=frozenset())
    return told


def _not_ahead(evidence: Evidence, now: float) -> Evidence:
    """Return evidence of a host whose clock is ahead as of now.

    Its record would otherwise be held for as long as that clock is wrong.
    """
    if evidence.last_at <= now:
        return evidence
    today = int(now)
    ended = {life: min(at, today) for life, at in evidence.ended.items()}
    lifted = min(evidence.lifted_at, today)
    return replace(evidence, ended=ended, lifted_at=lifted)


def _worth(item: tuple[str, Evidence]) -> tuple[int, int, str]:
    request, evidence = item
    return len(evidence.counted), evidence.last_at, request


def _digest_of(request: str, evidence: Evidence) -> int:
    parts = (
        request,
        *sorted(evidence.counted),
        '',
        *sorted(evidence.answered),
        str(bool(evidence.lifted_at)),
    )
    return xxh3_64_intdigest('\0'.join(parts).encode()) & _DIGEST_MASK
