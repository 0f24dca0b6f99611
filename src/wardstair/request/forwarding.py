"""Forwards calls to upstreams and other entry hosts, with retries."""

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
from wardstair.process.slots import HeldSlot, SlotPool, SlotRequest
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

MAX_WAIT_SECONDS = 2.0
HOP_MARGIN_SECONDS = 0.01
NO_DEADLINE = float('inf')
DRAINING_HEADER = 'draining'
_MILLISECONDS = 1000


@dataclass(frozen=True)
class LocalUpstream:
    """An upstream of this zone with a slot held for the call."""

    held: HeldSlot


@dataclass(frozen=True)
class RemoteHost:
    """An entry host to which the call is forwarded."""

    host: HostModel
    purpose: HopPurpose = HopPurpose.serve


@dataclass(frozen=True)
class NoDestination:
    """No upstream or entry host can serve the call."""

    refusal: Refusal


Destination = LocalUpstream | RemoteHost | NoDestination


class RemoteFinder(Protocol):
    """Finds entry hosts of other zones."""

    def preferred_remote_host(self, call: Call) -> HostModel | None:
        """Return a host if the policy selects a zone other than this one."""

    def find(self, call: Call, tried: frozenset[str]) -> HostModel | None:
        """Return a host with free capacity, or None."""


@dataclass
class _Progress:
    """Progress of one call over all its attempts.

    Attributes:
        tried: Names of the upstreams and hosts tried.
        ran: Whether the request may have run.
        attempts: Number of attempts.
        last_failure: Why the last attempt failed.
    """

    tried: set[str] = field(default_factory=set)
    ran: bool = False
    attempts: int = 0
    last_failure: str = ''


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
        """Create a forwarder.

        Args:
            client: The process's curl client.
            pool: Slots of the zone's upstreams.
            metrics: Counts retries and withheld retries.
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
        """Forward a call, with retries, until it ends.

        Args:
            call: The request.
            sink: Receives the answer; it receives nothing unless the end is
                `Delivered` or `CutShort`.
            entry: Journal entry to which each step is added.
        """
        self._budgets.of(call.route.workload.name).deposit()
        progress = _Progress()
        while True:
            destination = await self._find_destination(call, progress)
            if isinstance(destination, NoDestination):
                return Refused(destination.refusal)
            progress.attempts += 1
            writer = _AnswerWriter(sink, _destination_name(destination))
            outcome = await self._attempt(call, destination, writer)
            entry.add_step(f'{writer.destination}: {outcome}')
            end = self._conclude(call, progress, outcome, writer)
            if end is not None:
                return end

    async def forward_to_owner(
        self,
        call: Call,
        host: HostModel,
        sink: AnswerSink,
    ) -> CallEnd:
        """Forward a call to the host that owns its key.

        If the attempt fails, the outcome of the request is unknown even if the
        call was never sent, since an earlier attempt may have run.
        """
        writer = _AnswerWriter(sink, host.name)
        destination = RemoteHost(host, HopPurpose.owner)
        outcome = await self._attempt(call, destination, writer)
        match outcome:
            case Answered():
                return writer.delivered()
            case DeclaredNotRun():
                return Refused(problem.overloaded(1, not_run=True))
            case Abandoned():
                return CallerLeft()
            case IncompleteAnswer(answer_begun=True):
                return CutShort()
            case _:
                reason = 'the host that remembers its key cannot be reached'
                return Refused(problem.outcome_unknown(reason))

    async def _find_destination(
        self, call: Call, progress: _Progress
    ) -> Destination:
        remaining = call.time_left
        if remaining is not None and remaining <= 0:
            return NoDestination(
                problem.deadline_passed(not_run=not progress.ran),
            )
        slot_request = SlotRequest(
            call.route.workload.name,
            call.route.workload.importance,
            NO_DEADLINE if call.deadline is None else call.deadline,
            frozenset(progress.tried),
        )
        if not call.is_zone_only and not progress.attempts:
            preferred = self._finder.preferred_remote_host(call)
            if preferred is not None:
                return RemoteHost(preferred)
        held = self._pool.take(slot_request)
        if held is not None:
            return LocalUpstream(held)
        if not call.is_zone_only:
            host = self._finder.find(call, slot_request.tried)
            if host is not None:
                return RemoteHost(host)
        return await self._wait(slot_request, progress)

    async def _wait(
        self, slot_request: SlotRequest, progress: _Progress
    ) -> Destination:
        not_run = not progress.ran
        if not self._pool.has_upstream(slot_request):
            return NoDestination(
                self._no_upstream_refusal(slot_request, progress)
            )
        held = await self._pool.wait(slot_request, MAX_WAIT_SECONDS)
        if held is not None:
            return LocalUpstream(held)
        return NoDestination(problem.overloaded(1, not_run=not_run))

    def _no_upstream_refusal(
        self, slot_request: SlotRequest, progress: _Progress
    ) -> Refusal:
        not_run = not progress.ran
        if progress.attempts:
            return problem.upstream_failed(
                progress.last_failure,
                not_run=not_run,
            )
        return problem.no_upstream(slot_request.workload, not_run=not_run)

    async def _attempt(
        self,
        call: Call,
        destination: LocalUpstream | RemoteHost,
        writer: '_AnswerWriter',
    ) -> AttemptOutcome:
        started = time.monotonic()
        pipe, length = _body_of(call)
        outgoing = self._outgoing(call, destination, length)
        exchange = Exchange(self._client, outgoing, pipe)
        self.open_exchanges.add(exchange)
        try:
            outcome = await _run_exchange(exchange, writer)
        finally:
            self.open_exchanges.discard(exchange)
            if isinstance(destination, LocalUpstream):
                self._pool.release(destination.held)
        if isinstance(destination, LocalUpstream):
            seconds = time.monotonic() - started
            self._record_outcome(
                destination.held.upstream.name, outcome, writer, seconds
            )
        return outcome

    def _outgoing(
        self,
        call: Call,
        destination: LocalUpstream | RemoteHost,
        length: int | None,
    ) -> Outgoing:
        remaining = call.time_left
        headers = [*call.headers, ('Request-Id', call.request_id)]
        match destination:
            case LocalUpstream(held=held):
                address = held.upstream.address
                send_by = held.slot.send_by
            case RemoteHost(host=host, purpose=purpose):
                address = host.forward
                send_by = None
                headers.append((InternalHeader.purpose, purpose))
                origin = call.origin or self._region
                headers.append((InternalHeader.origin_region, origin))
                if remaining is not None:
                    remaining = max(
                        remaining - HOP_MARGIN_SECONDS, HOP_MARGIN_SECONDS
                    )
        if remaining is not None:
            budget = str(max(int(remaining * _MILLISECONDS), 1))
            headers.append(('Deadline-Ms', budget))
        return Outgoing(
            url=f'http://{address}{call.target}',
            method=call.method,
            headers=tuple(headers),
            request_id=call.request_id,
            is_once=call.route.is_once,
            body_length=length,
            seconds=remaining,
            send_by=send_by,
            idle_seconds=call.route.workload.idle_seconds,
        )

    def _record_outcome(
        self,
        upstream: str,
        outcome: AttemptOutcome,
        writer: '_AnswerWriter',
        seconds: float,
    ) -> None:
        head = writer.head
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
        writer: '_AnswerWriter',
    ) -> CallEnd | None:
        """Return the end of the call, or None to make another attempt."""
        progress.ran = progress.ran or may_have_run(outcome)
        progress.tried.add(writer.destination)
        match outcome:
            case Answered():
                return writer.delivered()
            case Abandoned():
                return CallerLeft()
            case IncompleteAnswer(answer_begun=True):
                return CutShort()
        reason = retry_reason(outcome)
        if reason is None:
            return Refused(_timeout_refusal(call))
        progress.last_failure = reason.replace('-', ' ')
        if self._may_retry(call, outcome, reason):
            return None
        return Refused(
            self._failure_refusal(call, progress, progress.last_failure)
        )

    def _may_retry(
        self,
        call: Call,
        outcome: AttemptOutcome,
        reason: RetryReason,
    ) -> bool:
        remaining = call.time_left
        workload = call.route.workload.name
        verdict = judge_retry(
            FailedAttempt(
                reason=reason,
                may_have_run=may_have_run(outcome),
                is_repeatable=not call.route.is_once,
                body_consumed=call.is_body_consumed,
                time_left=NO_DEADLINE if remaining is None else remaining,
                time_needed=HOP_MARGIN_SECONDS,
            ),
            self._budgets.of(workload),
        )
        if verdict is RetryVerdict.retry:
            self._metrics.retries.add(str(reason), workload)
            return True
        self._metrics.retries_withheld.add(str(verdict), workload)
        return False

    def _failure_refusal(
        self, call: Call, progress: _Progress, failure_reason: str
    ) -> Refusal:
        if progress.ran and call.route.is_once:
            return problem.outcome_unknown(failure_reason)
        return problem.upstream_failed(failure_reason, not_run=not progress.ran)


class _AnswerWriter:
    """Forwards one answer to the caller and keeps a copy if it is small."""

    def __init__(self, sink: AnswerSink, destination: str) -> None:
        self.head: IncomingHead | None = None
        self.destination = destination
        self._sink = sink
        self._copy: list[bytes] = []
        self._size = 0

    def begin(self, head: IncomingHead) -> None:
        forwarded = IncomingHead(head.status, head.reason)
        forwarded.headers.extend(forwarded_answer_headers(head))
        self.head = head
        self._forwarded_head = forwarded
        self._sink.begin(forwarded)

    async def write(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size <= KEPT_ANSWER_BYTES:
            self._copy.append(chunk)
        await self._sink.write(chunk)

    def end(self) -> None:
        self._sink.end()

    def disconnect(self) -> None:
        self._sink.disconnect()

    def delivered(self) -> Delivered:
        is_small = self._size <= KEPT_ANSWER_BYTES
        body = b''.join(self._copy) if is_small else None
        return Delivered(self._forwarded_head, body)


def forwarded_answer_headers(head: IncomingHead) -> list[tuple[str, str]]:
    """Return the headers of an answer that are forwarded to the caller."""
    kept = list(forwarded_headers(head.headers))
    length = head.first('content-length')
    if length is not None:
        kept.append(('Content-Length', length))
    return kept


async def _run_exchange(
    exchange: Exchange, writer: _AnswerWriter
) -> AttemptOutcome:
    exchange.start()
    try:
        head = await exchange.head()
        if head is not None and not _is_declared_not_run(head):
            await _forward_answer(exchange, writer, head)
        outcome = await exchange.outcome()
    except asyncio.CancelledError:
        exchange.abort()
        await exchange.outcome()
        raise
    match outcome:
        case Answered() if writer.head is not None:
            writer.end()
        case IncompleteAnswer(answer_begun=True) if writer.head is not None:
            writer.disconnect()
    return outcome


async def _forward_answer(
    exchange: Exchange, writer: _AnswerWriter, head: IncomingHead
) -> None:
    writer.begin(head)
    while True:
        try:
            chunk = await exchange.answer.get()
        except PipeBroken:
            return
        if not chunk:
            return
        await writer.write(chunk)


def _destination_name(destination: LocalUpstream | RemoteHost) -> str:
    match destination:
        case LocalUpstream(held=held):
            return held.upstream.name
        case RemoteHost(host=host):
            return host.name


def _timeout_refusal(call: Call) -> Refusal:
    if call.route.is_once:
        return problem.outcome_unknown('no answer came in time')
    if call.deadline is None:
        return problem.upstream_failed('no progress', not_run=False)
    return problem.deadline_passed(not_run=False)


def _is_declared_not_run(head: IncomingHead) -> bool:
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
