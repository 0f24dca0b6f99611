"""The way of one call: place, attempt, judge, and perhaps attempt again."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Protocol

from tornado.curl_httpclient import CurlAsyncHTTPClient

from wardstair.connection.exchange import (
    Exchange,
    IncomingHead,
    Outgoing,
)
from wardstair.connection.pipe import Pipe, PipeBroken
from wardstair.decisions.at_most_once import KEPT_ANSWER_BYTES
from wardstair.decisions.attempts import (
    Abandoned,
    Answered,
    AttemptOutcome,
    DeclaredNotRun,
    IncompleteAnswer,
    MismatchedAnswer,
    NeverSent,
    may_have_run,
    retry_reason,
)
from wardstair.decisions.retries import (
    FailedAttempt,
    RetryBudgets,
    RetryReason,
    RetryVerdict,
    judge_retry,
)
from wardstair.errors import Refusal
from wardstair.process.journal import JournalEntry
from wardstair.process.metrics import Metrics
from wardstair.process.slots import HeldSlot, SlotPool, SlotWish
from wardstair.request import problem
from wardstair.request.call import (
    AnswerSink,
    BufferedBody,
    Call,
    CallEnd,
    CallerLeft,
    CutShort,
    Delivered,
    Refused,
    StreamedBody,
)
from wardstair.request.headers import (
    HopPurpose,
    InternalHeader,
    forwarded_headers,
)
from wardstair.version.document import HostModel

WAIT_SECONDS = 2.0
HOP_MARGIN_SECONDS = 0.01
NO_DEADLINE = float('inf')
DRAINING_HEADER = 'draining'
_MILLISECONDS = 1000


@dataclass(frozen=True)
class LocalPlace:
    """An upstream of this zone, with a slot."""

    held: HeldSlot


@dataclass(frozen=True)
class RemotePlace:
    """An entry host of another zone that has room."""

    host: HostModel
    purpose: HopPurpose = HopPurpose.serve


@dataclass(frozen=True)
class NoPlace:
    """Nothing can serve the call."""

    refusal: Refusal


Place = LocalPlace | RemotePlace | NoPlace


class RemoteFinder(Protocol):
    """Finds entry hosts of other zones."""

    def prefers_elsewhere(self, call: Call) -> HostModel | None:
        """Return a host if the policy draws another zone than this one."""

    def find(self, call: Call, tried: frozenset[str]) -> HostModel | None:
        """Return a host with room, or None."""


@dataclass
class _Progress:
    """What has happened to a call so far."""

    tried: set[str] = field(default_factory=set)
    ran: bool = False
    attempts: int = 0
    last_reason: str = ''


class Forwarder:
    """Forwards calls to upstreams of this zone or to other entry hosts."""

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        pool: SlotPool,
        metrics: Metrics,
        finder: RemoteFinder,
        region: str,
    ) -> None:
        """Prepare a forwarder.

        Args:
            client: The process's curl client.
            pool: Slots of the zone's upstreams.
            metrics: Where refusals and retries are counted.
            finder: Finds entry hosts of other zones.
            region: Region of this host.
        """
        self.open_exchanges: set[Exchange] = set()
        self._client = client
        self._pool = pool
        self._metrics = metrics
        self._finder = finder
        self._region = region
        self._budgets = RetryBudgets()

    async def forward(
        self,
        call: Call,
        sink: AnswerSink,
        entry: JournalEntry,
    ) -> CallEnd:
        """Carry a call to its end.

        Args:
            call: The request.
            sink: Where its answer goes; nothing is sent there unless the
                end is `Delivered` or `CutShort`.
            entry: Where each step is noted.
        """
        self._budgets.of(call.route.workload.name).deposit()
        progress = _Progress()
        while True:
            place = await self._find_place(call, progress)
            if isinstance(place, NoPlace):
                return Refused(place.refusal)
            progress.attempts += 1
            relay = _Relay(sink, _name_of(place))
            outcome = await self._attempt(call, place, relay)
            entry.add_step(f'{relay.place}: {outcome}')
            end = self._conclude(call, progress, outcome, relay)
            if end is not None:
                return end

    async def forward_to_owner(
        self,
        call: Call,
        host: HostModel,
        sink: AnswerSink,
    ) -> CallEnd:
        """Send a call to the host that remembers its key.

        An attempt that fails says nothing about earlier ones, so the
        outcome is unknown then, even if this attempt never left.
        """
        relay = _Relay(sink, host.name)
        place = RemotePlace(host, HopPurpose.owner)
        outcome = await self._attempt(call, place, relay)
        match outcome:
            case Answered():
                return relay.delivered()
            case DeclaredNotRun():
                return Refused(problem.overloaded(1, not_run=True))
            case Abandoned():
                return CallerLeft()
            case IncompleteAnswer(answer_begun=True):
                return CutShort()
            case _:
                reason = 'the host that remembers its key cannot be reached'
                return Refused(problem.outcome_unknown(reason))

    async def _find_place(self, call: Call, progress: _Progress) -> Place:
        left = call.time_left
        if left is not None and left <= 0:
            return NoPlace(
                problem.deadline_passed(not_run=not progress.ran),
            )
        wish = SlotWish(
            call.route.workload.name,
            call.route.workload.importance,
            NO_DEADLINE if call.deadline is None else call.deadline,
            frozenset(progress.tried),
        )
        if not call.is_zone_only and not progress.attempts:
            preferred = self._finder.prefers_elsewhere(call)
            if preferred is not None:
                return RemotePlace(preferred)
        held = self._pool.take(wish)
        if held is not None:
            return LocalPlace(held)
        if not call.is_zone_only:
            host = self._finder.find(call, wish.tried)
            if host is not None:
                return RemotePlace(host)
        return await self._wait(wish, progress)

    async def _wait(self, wish: SlotWish, progress: _Progress) -> Place:
        not_run = not progress.ran
        if not self._pool.has_upstream(wish):
            return NoPlace(self._exhausted(wish, progress))
        held = await self._pool.wait(wish, WAIT_SECONDS)
        if held is not None:
            return LocalPlace(held)
        return NoPlace(problem.overloaded(1, not_run=not_run))

    def _exhausted(self, wish: SlotWish, progress: _Progress) -> Refusal:
        not_run = not progress.ran
        if progress.attempts:
            return problem.upstream_failed(
                progress.last_reason,
                not_run=not_run,
            )
        return problem.no_upstream(wish.workload, not_run=not_run)

    async def _attempt(
        self,
        call: Call,
        place: LocalPlace | RemotePlace,
        relay: '_Relay',
    ) -> AttemptOutcome:
        started = time.monotonic()
        pipe, length = _body_of(call)
        outgoing = self._outgoing(call, place, length)
        exchange = Exchange(self._client, outgoing, pipe)
        self.open_exchanges.add(exchange)
        try:
            outcome = await _carry(exchange, relay)
        finally:
            self.open_exchanges.discard(exchange)
            if isinstance(place, LocalPlace):
                self._pool.give_back(place.held)
        if isinstance(place, LocalPlace):
            seconds = time.monotonic() - started
            self._note(place.held.upstream.name, outcome, relay, seconds)
        return outcome

    def _outgoing(
        self,
        call: Call,
        place: LocalPlace | RemotePlace,
        length: int | None,
    ) -> Outgoing:
        left = call.time_left
        headers = [*call.headers, ('Request-Id', call.request_id)]
        match place:
            case LocalPlace(held=held):
                address = held.upstream.address
                send_by = held.slot.send_by
            case RemotePlace(host=host, purpose=purpose):
                address = host.forward
                send_by = None
                headers.append((InternalHeader.purpose, purpose))
                origin = call.origin or self._region
                headers.append((InternalHeader.origin_region, origin))
                if left is not None:
                    left = max(left - HOP_MARGIN_SECONDS, HOP_MARGIN_SECONDS)
        if left is not None:
            budget = str(max(int(left * _MILLISECONDS), 1))
            headers.append(('Deadline-Ms', budget))
        return Outgoing(
            url=f'http://{address}{call.target}',
            method=call.method,
            headers=tuple(headers),
            request_id=call.request_id,
            is_once=call.route.is_once,
            body_length=length,
            seconds=left,
            send_by=send_by,
            idle_seconds=call.route.workload.idle_seconds,
        )

    def _note(
        self,
        upstream: str,
        outcome: AttemptOutcome,
        relay: '_Relay',
        seconds: float,
    ) -> None:
        head = relay.head
        if head is not None and head.first(DRAINING_HEADER) == 'true':
            self._pool.note_leaving(upstream)
        match outcome:
            case Answered():
                self._pool.note_answer(upstream, seconds)
            case IncompleteAnswer() | MismatchedAnswer() | NeverSent():
                self._pool.note_failure(upstream)

    def _conclude(
        self,
        call: Call,
        progress: _Progress,
        outcome: AttemptOutcome,
        relay: '_Relay',
    ) -> CallEnd | None:
        """Return the end of the call, or None for another attempt."""
        progress.ran = progress.ran or may_have_run(outcome)
        progress.tried.add(relay.place)
        match outcome:
            case Answered():
                return relay.delivered()
            case Abandoned():
                return CallerLeft()
            case IncompleteAnswer(answer_begun=True):
                return CutShort()
        reason = retry_reason(outcome)
        if reason is None:
            return Refused(_late(call))
        progress.last_reason = reason.replace('-', ' ')
        if self._may_retry(call, outcome, reason):
            return None
        return Refused(self._failure(call, progress, progress.last_reason))

    def _may_retry(
        self,
        call: Call,
        outcome: AttemptOutcome,
        reason: RetryReason,
    ) -> bool:
        left = call.time_left
        workload = call.route.workload.name
        verdict = judge_retry(
            FailedAttempt(
                reason=reason,
                may_have_run=may_have_run(outcome),
                is_repeatable=not call.route.is_once,
                body_consumed=call.is_body_consumed,
                time_left=NO_DEADLINE if left is None else left,
                time_needed=HOP_MARGIN_SECONDS,
            ),
            self._budgets.of(workload),
        )
        if verdict is RetryVerdict.retry:
            self._metrics.retries.add(str(reason), workload)
            return True
        self._metrics.retries_withheld.add(str(verdict), workload)
        return False

    def _failure(self, call: Call, progress: _Progress, why: str) -> Refusal:
        if progress.ran and call.route.is_once:
            return problem.outcome_unknown(why)
        return problem.upstream_failed(why, not_run=not progress.ran)


class _Relay:
    """Hands one answer on to the caller and keeps a copy while small."""

    def __init__(self, sink: AnswerSink, place: str) -> None:
        self.head: IncomingHead | None = None
        self.place = place
        self._sink = sink
        self._copy: list[bytes] = []
        self._size = 0

    def begin(self, head: IncomingHead) -> None:
        clean = IncomingHead(head.status, head.reason)
        clean.headers.extend(forwarded_answer_headers(head))
        self.head = head
        self._clean = clean
        self._sink.begin(clean)

    async def write(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size <= KEPT_ANSWER_BYTES:
            self._copy.append(chunk)
        await self._sink.write(chunk)

    def end(self) -> None:
        self._sink.end()

    def cut(self) -> None:
        self._sink.cut()

    def delivered(self) -> Delivered:
        is_small = self._size <= KEPT_ANSWER_BYTES
        body = b''.join(self._copy) if is_small else None
        return Delivered(self._clean, body)


def forwarded_answer_headers(head: IncomingHead) -> list[tuple[str, str]]:
    """Return the answer's headers that go on to the caller."""
    kept = list(forwarded_headers(head.headers))
    length = head.first('content-length')
    if length is not None:
        kept.append(('Content-Length', length))
    return kept


async def _carry(exchange: Exchange, relay: _Relay) -> AttemptOutcome:
    exchange.start()
    try:
        head = await exchange.head()
        if head is not None and not _is_not_run(head):
            await _pump(exchange, relay, head)
        outcome = await exchange.outcome()
    except asyncio.CancelledError:
        exchange.abort()
        await exchange.outcome()
        raise
    match outcome:
        case Answered() if relay.head is not None:
            relay.end()
        case IncompleteAnswer(answer_begun=True) if relay.head is not None:
            relay.cut()
    return outcome


async def _pump(exchange: Exchange, relay: _Relay, head: IncomingHead) -> None:
    relay.begin(head)
    while True:
        try:
            chunk = await exchange.answer.get()
        except PipeBroken:
            return
        if not chunk:
            return
        await relay.write(chunk)


def _name_of(place: LocalPlace | RemotePlace) -> str:
    match place:
        case LocalPlace(held=held):
            return held.upstream.name
        case RemotePlace(host=host):
            return host.name


def _late(call: Call) -> Refusal:
    if call.route.is_once:
        return problem.outcome_unknown('no answer came in time')
    if call.deadline is None:
        return problem.upstream_failed('no progress', not_run=False)
    return problem.deadline_passed(not_run=False)


def _is_not_run(head: IncomingHead) -> bool:
    return head.status >= 400 and head.first('not-run') == 'true'


def _body_of(call: Call) -> tuple[Pipe | None, int | None]:
    match call.body:
        case BufferedBody(content=content):
            pipe = Pipe()
            pipe.offer(content)
            pipe.end()
            return pipe, len(content)
        case StreamedBody(pipe=pipe, length=length):
            return pipe, length
        case None:
            return None, None
