"""One send of a request to one upstream."""

import time
from dataclasses import dataclass
from itertools import count

from wardstair.connection.pool import (
    CONNECTION_LIMIT,
    MIN_DROPPED_IDLE_SECONDS,
    ConnectFailed,
    UpstreamPool,
)
from wardstair.connection.upstream import (
    BreakReason,
    BrokenExchange,
    Pairs,
    RawAnswer,
    UpstreamConnection,
)
from wardstair.decisions.notices import Standing
from wardstair.gateway.choosing import Placement
from wardstair.gateway.distances import Distances
from wardstair.gateway.messages import Inbound
from wardstair.platform.headers import (
    ToldLoad,
    UpstreamFields,
    decode_upstream,
    encode_upstream,
)
from wardstair.process.log import log_event
from wardstair.state.belief import Belief
from wardstair.state.upstream import RunningSend, Upstream

_MISDIRECTED = 421
_SUCCESS = range(200, 300)
# Shorter estimates than this are taken as this when lateness is judged.
_LEAST_EXPECTED_SECONDS = 0.05
# How an exchange ends on a connection that its upstream has forgotten.
_FORGOTTEN = frozenset((BreakReason.reset, BreakReason.closed))
_TAKE_NOTHING = frozenset((Standing.paused, Standing.closed))
# Statuses with which an upstream may ask for a pause.
_PAUSING = frozenset((429, 503))
# Statuses by which a caller takes a request for not run.
_PROMISES = frozenset((408, 429, 503))


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this host.

    Attributes:
        reason: Why.
        is_dead: Whether nothing seems to be left of the upstream.
    """

    reason: str
    is_dead: bool = False


@dataclass(frozen=True, slots=True)
class Withheld:
    """The upstream wanted no more before the request left this host."""


@dataclass(frozen=True, slots=True)
class Barred:
    """No connection was open, and new ones fail: nothing left this host."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The upstream said that it has not run the request.

    Attributes:
        status: Its status.
        is_other: Whether another upstream has the address now.
        load: The load that it told, if any.
    """

    status: int
    is_other: bool
    load: ToldLoad | None = None


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and may have run; no usable answer came.

    Attributes:
        reason: How the exchange ended.
        is_forgotten: Whether it broke on a connection that had rested, which
            tells of the connection rather than of the upstream.
    """

    reason: BreakReason
    is_forgotten: bool = False


@dataclass(frozen=True, slots=True)
class Delivered:
    """A whole, usable answer came.

    Attributes:
        answer: As it came.
        fields: What its headers say.
        seconds: Time from sending to the whole answer.
    """

    answer: RawAnswer
    fields: UpstreamFields
    seconds: float


SendOutcome = NotSent | Withheld | Barred | TurnedAway | Lost | Delivered


class Sender:
    """Sends requests to upstreams and notes what it learns of them."""

    def __init__(
        self,
        pool: UpstreamPool,
        distances: Distances,
        belief: Belief,
    ) -> None:
        """Prepare without connections.

        Args:
            pool: The connections.
            distances: Told how long connections take to open.
            belief: Asked what upstreams take, and told what they say in their
                answers, which of them answer and which do not.
        """
        self._belief = belief
        self._pool = pool
        self._distances = distances
        self._numbers = count()

    def has_way(self, upstream: Upstream, *, is_once: bool) -> bool:
        """Return whether a request needs no new connection that may fail.

        Args:
            upstream: Where to.
            is_once: Whether the request may run only once.
        """
        return self._belief.reach.may_open(
            upstream.entry,
        ) or self._pool.has_idle(upstream.name, is_once=is_once)

    async def send(
        self,
        inbound: Inbound,
        placement: Placement,
        *,
        is_once: bool,
        is_fresh: bool,
        until: float,
    ) -> SendOutcome:
        """Send a request and wait for its outcome.

        Cancelling the call closes the connection, which ends the work.

        Args:
            inbound: The request.
            placement: Where to.
            is_once: Whether it may run only once.
            is_fresh: Whether to open a connection for it: an earlier send may
                have failed since an upstream had forgotten a resting one.
            until: Monotonic time at which the upstream should stop.
        """
        upstream = placement.upstream
        number = next(self._numbers)
        started = time.monotonic()
        upstream.running[number] = RunningSend(
            started,
            max(placement.choice.seconds, _LEAST_EXPECTED_SECONDS),
            placement.longest,
        )
        try:
            connection = await self._connection(
                upstream,
                is_once=is_once,
                is_fresh=is_fresh,
            )
            match connection:
                case ConnectFailed(reason=reason, is_dead=is_dead):
                    return NotSent(reason, is_dead)
                case None:
                    return Barred()
            return await self._send(inbound, upstream, connection, until)
        finally:
            upstream.running.pop(number, None)

    async def _send(
        self,
        inbound: Inbound,
        upstream: Upstream,
        connection: UpstreamConnection,
        until: float,
    ) -> SendOutcome:
        if self._has_left(upstream):
            # Kept, it might carry requests for the next life of that name.
            connection.close()
            return Withheld()
        started = time.monotonic()
        rested = started - connection.idle_since
        is_new = not connection.has_served
        if started >= until:
            self._pool.give_back(upstream.name, connection)
            return NotSent('time is up')
        # An answer may have said so while the connection was opened.
        if self._belief.notices.standing(upstream) in _TAKE_NOTHING:
            self._pool.give_back(upstream.name, connection)
            return Withheld()
        head = _encode_head(inbound, upstream, until - started)
        sent = connection.send(
            head,
            inbound.body,
            is_own=lambda pairs: _is_own(pairs, inbound.request_id),
            is_head_only=inbound.method == 'HEAD',
        )
        try:
            ended = await sent
        except BaseException:
            connection.close()
            raise
        match ended:
            case BrokenExchange(reason=reason):
                connection.close()
                if reason in _FORGOTTEN:
                    self._note_broken(upstream, is_new=is_new)
                log_event(
                    'exchange-broken',
                    request=inbound.request_id,
                    content=inbound.identity,
                    upstream=upstream.name,
                    reason=reason,
                    seconds=round(time.monotonic() - started, 3),
                    rested=round(rested, 3) if connection.has_served else 0.0,
                )
                is_forgotten = (
                    reason in _FORGOTTEN
                    and connection.has_served
                    and rested >= MIN_DROPPED_IDLE_SECONDS
                )
                if is_forgotten:
                    idle_drops = self._pool.idle_drops
                    idle_drops.note(upstream.name, rested, started)
                return Lost(reason, is_forgotten)
            case RawAnswer() as answer:
                self._note_answered(upstream, is_new=is_new)
                seconds = time.monotonic() - started
                fields = decode_upstream(answer.headers)
                if fields.keep_seconds is not None:
                    connection.keep_alive_seconds = fields.keep_seconds
                self._pool.give_back(upstream.name, connection)
                outcome = _judge(answer, fields, seconds)
                if _is_of(upstream, outcome):
                    self._note_told(upstream, answer.status, fields)
                return outcome

    def _has_left(self, upstream: Upstream) -> bool:
        """Return whether the choice would leave an upstream out by now.

        It may have gone, or its zone may be emptied, since it was chosen:
        opening a connection takes its time.
        """
        is_emptied = upstream.entry.zone in self._belief.evacuated
        return is_emptied or not upstream.takes_work

    def _note_answered(self, upstream: Upstream, *, is_new: bool) -> None:
        """Note an answer that came on a connection."""
        self._belief.reach.note_reached(upstream.entry)
        if is_new:
            self._belief.reach.note_opened(upstream.entry)

    def _note_broken(self, upstream: Upstream, *, is_new: bool) -> None:
        """Note a connection that ended during an exchange."""
        self._belief.reach.note_failed(upstream.entry)
        if is_new:
            self._belief.reach.note_unopened(upstream.entry)

    def _note_told(
        self,
        upstream: Upstream,
        status: int,
        fields: UpstreamFields,
    ) -> None:
        """Note what an upstream says of itself in an answer."""
        self._belief.limits.note(upstream, fields.limit)
        if fields.is_leaving:
            self._belief.notices.note_leaving(upstream)
        if status in _PAUSING and fields.retry_after is not None:
            self._belief.notices.note_pause(upstream, fields.retry_after)

    async def _connection(
        self,
        upstream: Upstream,
        *,
        is_once: bool,
        is_fresh: bool,
    ) -> UpstreamConnection | ConnectFailed | None:
        """Return a connection; None if new ones fail and none is open."""
        entry = upstream.entry
        may_open = self._belief.reach.may_open(entry)
        if not (is_fresh and may_open):
            connection = self._pool.borrow(upstream.name, is_once=is_once)
            if connection is not None:
                return connection
        if not may_open:
            return None
        started = time.monotonic()
        made = await self._pool.connect(entry.name, entry.host, entry.port)
        if not isinstance(made, ConnectFailed):
            self._distances.note(entry.zone, time.monotonic() - started)
        elif made.reason != CONNECTION_LIMIT:
            self._note_broken(upstream, is_new=True)
        return made


def _judge(
    answer: RawAnswer,
    fields: UpstreamFields,
    seconds: float,
) -> SendOutcome:
    if fields.is_not_run or answer.status == _MISDIRECTED:
        is_other = answer.status == _MISDIRECTED
        return TurnedAway(answer.status, is_other, fields.load)
    if answer.status in _SUCCESS and not fields.is_proven:
        return Lost(BreakReason.malformed)
    if answer.status in _PROMISES:
        # Handed on, it would tell the caller what the upstream did not say.
        return Lost(BreakReason.unsaid)
    return Delivered(answer, fields, seconds)


def _is_of(upstream: Upstream, outcome: SendOutcome) -> bool:
    """Return whether an answer is one of the upstream that was meant."""
    match outcome:
        case TurnedAway(is_other=is_other):
            return not is_other
        case Lost(reason=BreakReason.malformed):
            return False
    return not upstream.has_ended


def _is_own(pairs: Pairs, request_id: str) -> bool:
    return decode_upstream(pairs).request_id == request_id


def _encode_head(
    inbound: Inbound,
    upstream: Upstream,
    seconds_left: float,
) -> bytes:
    headers = encode_upstream(
        inbound.headers,
        seconds_left,
        upstream.name,
        inbound.organisation,
    )
    if inbound.body or inbound.method not in {'GET', 'HEAD', 'DELETE'}:
        headers.append(('Content-Length', str(len(inbound.body))))
    lines = [f'{inbound.method} {inbound.target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
