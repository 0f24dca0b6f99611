"""Requests during which upstream processes exited, merged from all hosts.

Hosts exchange the whole table when their digests differ. The table is small,
because a request is added only if an upstream exits while processing it.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from xxhash import xxh3_64_intdigest

from wardstair.decisions.suspicion import (
    HOLD_THRESHOLD,
    SUSPECT_THRESHOLD,
    Evidence,
    held_requests,
    merge,
)
from wardstair.process.log import log_event, log_warning
from wardstair.state.roles import ignore

# A request that is repeated over minutes may end three upstreams per such
# period. A request that is held wrongly is released after it at the latest.
HELD_SECONDS = 900
# Retention for requests below the threshold for holding. Callers usually repeat
# a failed request within seconds.
SUSPECT_SECONDS = 300
# A record with four incarnations of its own takes about 1 KB, the table 0.5 MB.
# If a caller sends ever new requests, records with the fewest incarnations are
# dropped first.
MAX_RECORDS = 512
# Records that remain when the full table is reduced. Dropping several at once
# limits how often the table is sorted, which takes 2 ms.
KEPT_RECORDS = MAX_RECORDS * 7 // 8
# Incarnations recorded per request; more would not change the decision.
MAX_INCARNATIONS = 32
# Digests are sent in heartbeats and in query strings.
_DIGEST_MASK = 2**48 - 1


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """One request as shown to operators.

    Attributes:
        content: Digest of the request.
        held: Whether it is refused.
        lives: Incarnations of upstreams that count against it, separated by
            commas.
        answered: Number of incarnations that answered it.
        seconds_left: Seconds until its record expires.
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
        clock: Returns Unix time in seconds, because evidence outlives
            processes.
        records: Evidence by digest of the request.
        held: Digests of the requests that are refused.
        digest: Digest of the table; 0 for an empty table.
        on_change: Called when the table has changed.
        on_ended: Called with each incarnation of an upstream that is found to
            have ended.
    """

    clock: Callable[[], float] = time.time
    records: dict[str, Evidence] = field(default_factory=dict)
    held: frozenset[str] = frozenset()
    digest: int = 0
    on_change: Callable[[], None] = ignore
    on_ended: Callable[[str], None] = lambda _incarnation: None

    def count(self, request: str) -> int:
        """Return how many incarnations count against a request."""
        known = self.records.get(request)
        return 0 if known is None else len(known.counted)

    def seconds_left(self, request: str) -> float:
        """Return the seconds for which a request stays held or suspect."""
        one = self.records[request]
        return max(1.0, one.last_at + _kept_seconds(one) - self.clock())

    def note_ended(self, requests: Iterable[str], incarnation: str) -> None:
        """Record that an upstream exited while processing these requests."""
        seen = Evidence({incarnation: int(self.clock())})
        self.add_evidence(dict.fromkeys(requests, seen))

    def note_answered(self, request: str, incarnation: str) -> None:
        """Record that an upstream answered a suspect request."""
        known = self.records.get(request)
        if known is not None and incarnation not in known.answered:
            answered = Evidence(answered=frozenset((incarnation,)))
            self.add_evidence({request: answered})

    def lift(self, request: str) -> bool:
        """Discard the evidence against a request.

        Returns:
            Whether there was any.
        """
        if request not in self.records:
            return False
        self.add_evidence({request: Evidence(lifted_at=int(self.clock()))})
        return True

    def add_evidence(self, added: Mapping[str, Evidence]) -> bool:
        """Merge evidence of this host or of others.

        Args:
            added: Evidence by request.

        Returns:
            Whether the table has changed.
        """
        now = self.clock()
        before = self.digest
        for request, evidence in added.items():
            known = self.records.get(request, Evidence())
            bounded = _without_future_times(_bounded(known, evidence), now)
            is_old = now - bounded.last_at >= _kept_seconds(bounded)
            if is_old and request not in self.records:
                continue
            self._put(request, merge(known, bounded))
            for incarnation in bounded.ended.keys() - known.ended.keys():
                self.on_ended(incarnation)
        if len(self.records) > MAX_RECORDS:
            self.expire()
        self._update_held()
        if self.digest == before:
            return False
        self.on_change()
        return True

    def expire(self) -> None:
        """Drop expired records, and excess records if the table is full."""
        now = self.clock()
        old = [
            request
            for request, one in self.records.items()
            if now - one.last_at >= _kept_seconds(one)
        ]
        for request in old:
            self._put(request, None)
        if len(self.records) > MAX_RECORDS:
            ranked = sorted(self.records.items(), key=_retention_key)
            for request, _ in ranked[: len(ranked) - KEPT_RECORDS]:
                self._put(request, None)
        self._update_held()

    def _put(self, request: str, evidence: Evidence | None) -> None:
        """Set a record, or drop it with None, and update the digest.

        Computing the digest of a full table takes 5.7 ms, too much for each
        broken exchange.
        """
        known = self.records.pop(request, None)
        if known is not None:
            self.digest ^= _digest_of(request, known)
        if evidence is not None:
            self.records[request] = evidence
            self.digest ^= _digest_of(request, evidence)

    def _update_held(self) -> None:
        """Determine which requests are held and log changes."""
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
        """Return the records for operators, most incarnations first."""
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
        """Records to be kept in the store: suspect and lifted requests.

        Each exit of an upstream adds records with a single incarnation, nearly
        all of them harmless. Storing them would cost one call each.
        """
        return {
            request: one
            for request, one in self.records.items()
            if len(one.ended) >= SUSPECT_THRESHOLD or one.lifted_at
        }


def _kept_seconds(evidence: Evidence) -> int:
    is_full = len(evidence.ended) >= HOLD_THRESHOLD
    return HELD_SECONDS if is_full else SUSPECT_SECONDS


def _bounded(known: Evidence, added: Evidence) -> Evidence:
    """Return added evidence without excess incarnations."""
    if len(known.ended) >= MAX_INCARNATIONS:
        added = replace(added, ended={})
    if len(known.answered) >= MAX_INCARNATIONS:
        added = replace(added, answered=frozenset())
    return added


def _without_future_times(evidence: Evidence, now: float) -> Evidence:
    """Return evidence with future times replaced by the current time.

    Evidence of a host whose clock is ahead would otherwise be kept for as long
    as that clock is wrong.
    """
    if evidence.last_at <= now:
        return evidence
    latest = int(now)
    ended = {
        incarnation: min(at, latest)
        for incarnation, at in evidence.ended.items()
    }
    lifted = min(evidence.lifted_at, latest)
    return replace(evidence, ended=ended, lifted_at=lifted)


def _retention_key(item: tuple[str, Evidence]) -> tuple[int, int, str]:
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
