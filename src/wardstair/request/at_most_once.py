"""Requests that may run at most once, at the host that remembers their key.

A key issued by a look-up names its home. Any other key is claimed in the
platform's store by conditional creation, which makes the claiming host its
home. Either way one incarnation of one host decides, from memory.
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
    """Wall clock time that never steps while the process lives."""

    def __init__(self) -> None:
        """Read both clocks once."""
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the time in seconds since the epoch."""
        return time.monotonic() + self._offset


@dataclass(frozen=True)
class OwnedHere:
    """This incarnation remembers the key; issued at that wall time."""

    issued_at: float


@dataclass(frozen=True)
class OwnedElsewhere:
    """Another host remembers it."""

    owner: Identity


@dataclass(frozen=True)
class OwnerUnknown:
    """Nobody can tell any more whether the key was used."""

    reason: str


KeyOwner = OwnedHere | OwnedElsewhere | OwnerUnknown


class KeyRegistry:
    """The keys that this incarnation is home of."""

    def __init__(
        self,
        me: Identity,
        capacity: int,
        platform: PlatformClient,
    ) -> None:
        """Make an empty table.

        Args:
            me: This incarnation.
            capacity: Most keys that are remembered.
            platform: Where keys of callers' own making are claimed.
        """
        self.clock = WallClock()
        self._me = me
        self._table = KeyTable(capacity)
        self._platform = platform
        self._ends: dict[str, asyncio.Event] = {}

    @property
    def size(self) -> int:
        """Keys that are remembered now."""
        return len(self._table.records)

    def issue(self, owner: Identity) -> RequestKey:
        """Make a key whose home is a live host."""
        issued_at = int(self.clock.now())
        return RequestKey(
            owner.name,
            owner.incarnation,
            issued_at,
            uuid4().hex,
        )

    async def find_owner(self, key: str) -> KeyOwner:
        """Find out which incarnation remembers a key."""
        issued = parse_key(key)
        if issued is None:
            return await self._claim(key)
        owner = Identity(issued.owner, issued.incarnation)
        if owner == self._me:
            return OwnedHere(issued.issued_at)
        return OwnedElsewhere(owner)

    async def run(
        self,
        call: Call,
        issued_at: float,
        forward: Callable[[], Awaitable[CallEnd]],
        sink: AnswerSink,
    ) -> CallEnd:
        """Run a call unless its key shows that it has run before.

        Args:
            call: The request; it carries a key.
            issued_at: Wall time of the key's issue.
            forward: Sends the call; used at most once.
            sink: Where a kept answer goes.
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
                    await self._ends[key].wait()
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
        self._ends[key] = asyncio.Event()
        end: CallEnd | None = None
        try:
            end = await forward()
        finally:
            self._note(key, end)
            self._ends.pop(key).set()
        return end

    def _note(self, key: str, end: CallEnd | None) -> None:
        now = self.clock.now()
        match end:
            case Refused(refusal=refusal) if refusal.not_run:
                self._table.release(key)
            case Delivered(head=head) if head.first('not-run') == 'false':
                # Another entry host on the way could not tell.
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
        written = await self._platform.write_surely(
            CLAIM_KIND,
            name,
            claim,
            0,
        )
        match written:
            case Ok():
                return OwnedHere(self.clock.now())
            case Err(VersionConflict()):
                return await self._claimed(name)
            case Err():
                # The key may have been claimed and run before by any host,
                # so "not run" would be a guess about earlier attempts.
                return await self._claimed(name)

    async def _claimed(self, name: str) -> KeyOwner:
        found = await self._platform.read(CLAIM_KIND, name)
        match found:
            case Ok(stored):
                claim = stored.value
                owner = Identity(claim['home'], claim['incarnation'])
                if owner == self._me:
                    return OwnedHere(claim['made'])
                return OwnedElsewhere(owner)
            case Err():
                return OwnerUnknown('the claim of its key cannot be read')


def fingerprint(call: Call) -> str:
    """Return a digest of what makes a request the same request."""
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
