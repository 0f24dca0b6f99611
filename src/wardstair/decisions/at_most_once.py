"""Keys of requests that may run at most once.

A key table belongs to one incarnation of one entry host, the owner of its keys.
It keeps each key for the whole retention time: a full table refuses new keys
rather than dropping old ones.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

RETENTION_SECONDS = 900.0
KEY_VALID_SECONDS = 600.0
CLOCK_SKEW_SECONDS = 60.0
KEPT_ANSWER_BYTES = 16384
_SEPARATOR = '~'


class RunState(StrEnum):
    """State of the request that a key belongs to."""

    running = 'running'
    finished = 'finished'
    unknown = 'unknown'


@dataclass(frozen=True)
class KeptAnswer:
    """A small answer that is kept for repetitions of its request.

    Attributes:
        status: HTTP status code.
        headers: Header names and values, in order.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass
class KeyRecord:
    """What the owner of a key stores about it.

    Attributes:
        fingerprint: Digest of the method, target and body.
        state: State of the request.
        forget_at: Time in seconds until which the record is kept.
        answer: The answer, if the request has finished and the answer is small
            enough.
    """

    fingerprint: str
    state: RunState
    forget_at: float
    answer: KeptAnswer | None = None


@dataclass(frozen=True)
class Run:
    """The key is new; the request may be attempted now."""


@dataclass(frozen=True)
class Replay:
    """The request has run; carries its answer."""

    answer: KeptAnswer


@dataclass(frozen=True)
class AlreadyRun:
    """The request has run, but its answer was too large to keep."""


@dataclass(frozen=True)
class InProgress:
    """The request is running; the caller has to wait for its end."""


@dataclass(frozen=True)
class UnknownOutcome:
    """An attempt was made, and it is not known whether it ran."""


@dataclass(frozen=True)
class Mismatch:
    """The key was used before for a different request."""


@dataclass(frozen=True)
class TableFull:
    """No key can be added without dropping one before its retention ends."""

    retry_after: float


Admission = (
    Run
    | Replay
    | AlreadyRun
    | InProgress
    | UnknownOutcome
    | Mismatch
    | TableFull
)


@dataclass
class KeyTable:
    """The bounded key table of one incarnation of a host.

    Attributes:
        capacity: Maximum number of keys.
        retention: Seconds for which a key is kept after its last change.
        records: Records by key.
    """

    capacity: int
    retention: float = RETENTION_SECONDS
    records: dict[str, KeyRecord] = field(default_factory=dict)
    _expiry: deque[tuple[float, str]] = field(default_factory=deque)

    def admit(
        self,
        key: str,
        fingerprint: str,
        issued_at: float,
        now: float,
    ) -> Admission:
        """Decide what to do with a request that carries a key.

        Args:
            key: The key, owned by this host and incarnation.
            fingerprint: Digest of the request.
            issued_at: Time in seconds when the key was issued, by the
                clock of the host that issued it.
            now: Time in seconds by the clock of this host, which never steps
                back during an incarnation.
        """
        self._forget(now)
        record = self.records.get(key)
        if record is not None:
            return _judge(record, fingerprint)
        age = now - issued_at
        if not -CLOCK_SKEW_SECONDS <= age < KEY_VALID_SECONDS:
            # A record is kept for longer than its key is valid, clock skew
            # included, so a valid key without a record was never used. An
            # expired key may have been used and its record dropped.
            return UnknownOutcome()
        if len(self.records) >= self.capacity:
            return TableFull(retry_after=self._next_expiry(now))
        self._store(
            key,
            KeyRecord(fingerprint, RunState.running, now + self.retention),
        )
        return Run()

    def finish(self, key: str, answer: KeptAnswer, now: float) -> None:
        """Record that the request ran; keep its answer if it is small."""
        record = self.records[key]
        record.state = RunState.finished
        if len(answer.body) <= KEPT_ANSWER_BYTES:
            record.answer = answer
        self._extend(key, record, now)

    def finish_without_answer(self, key: str, now: float) -> None:
        """Record that the request ran and its answer was too large to keep."""
        record = self.records[key]
        record.state = RunState.finished
        self._extend(key, record, now)

    def mark_unknown(self, key: str, now: float) -> None:
        """Record that an attempt was made with an unknown outcome."""
        record = self.records[key]
        record.state = RunState.unknown
        self._extend(key, record, now)

    def release(self, key: str) -> None:
        """Remove a key whose request provably did not run."""
        self.records.pop(key, None)

    def _store(self, key: str, record: KeyRecord) -> None:
        self.records[key] = record
        self._expiry.append((record.forget_at, key))

    def _extend(self, key: str, record: KeyRecord, now: float) -> None:
        record.forget_at = now + self.retention
        self._expiry.append((record.forget_at, key))

    def _next_expiry(self, now: float) -> float:
        if not self._expiry:
            return self.retention
        return max(self._expiry[0][0] - now, 1.0)

    def _forget(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] <= now:
            _, key = self._expiry.popleft()
            record = self.records.get(key)
            if record is None or record.forget_at > now:
                continue
            if record.state is RunState.running:
                # The request has run for longer than the retention time:
                # check the record again after another retention time.
                self._extend(key, record, now)
                continue
            self.records.pop(key)


def _judge(record: KeyRecord, fingerprint: str) -> Admission:
    if record.fingerprint != fingerprint:
        return Mismatch()
    match record.state:
        case RunState.running:
            return InProgress()
        case RunState.unknown:
            return UnknownOutcome()
        case RunState.finished:
            if record.answer is None:
                return AlreadyRun()
            return Replay(record.answer)


@dataclass(frozen=True)
class RequestKey:
    """A key issued by a look-up, which names its owner.

    Attributes:
        owner: Name of the entry host that stores the key.
        incarnation: Incarnation of that host, as text.
        issued_at: Wall clock time of issue, in whole seconds.
        unique: Part that makes the key unique.
    """

    owner: str
    incarnation: str
    issued_at: int
    unique: str

    def __str__(self) -> str:
        """Return the key as it is sent to callers."""
        parts = (self.owner, self.incarnation, self.issued_at, self.unique)
        return _SEPARATOR.join(map(str, parts))


def parse_key(text: str) -> RequestKey | None:
    """Parse an issued key; return None for any other text."""
    match text.split(_SEPARATOR):
        case [owner, incarnation, issued_at, unique] if (
            owner and incarnation and issued_at.isdecimal() and unique
        ):
            return RequestKey(owner, incarnation, int(issued_at), unique)
        case _:
            return None
