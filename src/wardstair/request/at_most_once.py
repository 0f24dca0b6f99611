"""Runs requests with a key at most once, at the host that owns the key.

A key issued by a look-up names its owner. Any other key is claimed in the
platform's store by conditional creation, which makes the claiming host its
owner. In both cases a single incarnation of one host decides whether the
request may run, and keeps the records for this in memory.
"""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

from result import Err, Ok

from wardstair.connection.exchange import IncomingHead
from wardstair.decisions.at_most_once import (
    AlreadyRun,
    InProgress,
    KeptAnswer,
    KeyTable,
    Mismatch,
    Replay,
    RequestKey,
    Run,
    TableFull,
    UnknownOutcome,
    parse_key,
)
from wardstair.decisions.ledger import Identity
from wardstair.errors import VersionConflict
from wardstair.process.platform import PlatformClient
from wardstair.request import problem
from wardstair.request.call import (
    AnswerSink,
    BufferedBody,
    Call,
    CallEnd,
    Delivered,
    Refused,
)

CLAIM_KIND = 'claims'


class WallClock:
    """Wall clock time that never steps while the process runs."""

    def __init__(self) -> None:
        """Record the offset between the wall clock and the monotonic clock."""
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return time.monotonic() + self._offset


@dataclass(frozen=True)
class OwnedHere:
    """This incarnation owns the key.

    Attributes:
        issued_at: Wall clock time in seconds when the key was issued.
    """

    issued_at: float


@dataclass(frozen=True)
class OwnedElsewhere:
    """Another incarnation or host owns the key."""

    owner: Identity


@dataclass(frozen=True)
class OwnerUnknown:
    """Neither the owner of the key nor its earlier use is known."""

    reason: str


KeyOwner = OwnedHere | OwnedElsewhere | OwnerUnknown


class KeyRegistry:
    """The keys that this incarnation owns."""

    def __init__(
        self,
        me: Identity,
        capacity: int,
        platform: PlatformClient,
    ) -> None:
        """Create an empty registry.

        Args:
            me: This incarnation.
            capacity: Maximum number of recorded keys.
            platform: Stores the claims of keys that callers generated.
        """
        self.clock = WallClock()
        self._me = me
        self._table = KeyTable(capacity)
        self._platform = platform
        self._end_events: dict[str, asyncio.Event] = {}

    @property
    def size(self) -> int:
        """Number of recorded keys."""
        return len(self._table.records)

    def issue(self, owner: Identity) -> RequestKey:
        """Issue a key that the given live host owns."""
        issued_at = int(self.clock.now())
        return RequestKey(
            owner.name,
            owner.incarnation,
            issued_at,
            uuid4().hex,
        )

    async def find_owner(self, key: str) -> KeyOwner:
        """Return which incarnation owns a key; claim it if none does."""
        parsed = parse_key(key)
        if parsed is None:
            return await self._claim(key)
        owner = Identity(parsed.owner, parsed.incarnation)
        if owner == self._me:
            return OwnedHere(parsed.issued_at)
        return OwnedElsewhere(owner)

    async def run(
        self,
        call: Call,
        issued_at: float,
        forward: Callable[[], Awaitable[CallEnd]],
        sink: AnswerSink,
    ) -> CallEnd:
        """Run a call unless its key was used before.

        Args:
            call: The request, which has a key.
            issued_at: Wall clock time in seconds when the key was issued.
            forward: Sends the call; called at most once.
            sink: Receives the answer if a kept one is repeated.
        """
        key = call.key or ''
        while True:
            now = self.clock.now()
            admission = self._table.admit(
                key,
                fingerprint(call),
                issued_at,
                now,
            )
            match admission:
                case Run():
                    return await self._run_first(key, forward)
                case InProgress():
                    await self._end_events[key].wait()
                case Replay(answer=answer):
                    return await _replay(answer, sink)
                case AlreadyRun():
                    return Refused(problem.already_run())
                case Mismatch():
                    return Refused(problem.key_mismatch())
                case TableFull(retry_after=seconds):
                    return Refused(problem.key_table_full(seconds))
                case UnknownOutcome():
                    reason = 'an earlier attempt with this key got no answer'
                    return Refused(problem.outcome_unknown(reason))

    async def _run_first(
        self,
        key: str,
        forward: Callable[[], Awaitable[CallEnd]],
    ) -> CallEnd:
        self._end_events[key] = asyncio.Event()
        end: CallEnd | None = None
        try:
            end = await forward()
        finally:
            self._record_end(key, end)
            self._end_events.pop(key).set()
        return end

    def _record_end(self, key: str, end: CallEnd | None) -> None:
        now = self.clock.now()
        match end:
            case Refused(refusal=refusal) if refusal.not_run:
                self._table.release(key)
            case Delivered(head=head) if head.first('not-run') == 'false':
                # Another entry host forwarded the call and does not know
                # whether it ran.
                self._table.mark_unknown(key, now)
            case Delivered(head=head, body=bytes(body)):
                headers = tuple(head.headers)
                self._table.finish(
                    key,
                    KeptAnswer(head.status, headers, body),
                    now,
                )
            case Delivered(head=head):
                self._table.finish_without_answer(key, now)
            case _:
                self._table.mark_unknown(key, now)

    async def _claim(self, key: str) -> KeyOwner:
        name = hashlib.sha256(key.encode()).hexdigest()
        claim = {
            'home': self._me.name,
            'incarnation': self._me.incarnation,
            'made': int(self.clock.now()),
        }
        write_result = await self._platform.write_with_read_back(
            CLAIM_KIND,
            name,
            claim,
            0,
        )
        match write_result:
            case Ok():
                return OwnedHere(self.clock.now())
            case Err(VersionConflict()):
                return await self._read_claim(name)
            case Err():
                # Any host may have claimed the key and run the request before,
                # so the call must not be refused as not run.
                return await self._read_claim(name)

    async def _read_claim(self, name: str) -> KeyOwner:
        read_result = await self._platform.read(CLAIM_KIND, name)
        match read_result:
            case Ok(stored):
                claim = stored.value
                owner = Identity(claim['home'], claim['incarnation'])
                if owner == self._me:
                    return OwnedHere(claim['made'])
                return OwnedElsewhere(owner)
            case Err():
                return OwnerUnknown('the claim of its key cannot be read')


def fingerprint(call: Call) -> str:
    """Return a digest of the method, target and body of a request."""
    digest = hashlib.sha256(f'{call.method} {call.target}\n'.encode())
    match call.body:
        case BufferedBody(content=content):
            digest.update(content)
    return digest.hexdigest()


async def _replay(answer: KeptAnswer, sink: AnswerSink) -> CallEnd:
    head = IncomingHead(answer.status, '', list(answer.headers))
    sink.begin(head)
    await sink.write(answer.body)
    sink.end()
    return Delivered(head, answer.body)
