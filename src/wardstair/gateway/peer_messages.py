"""Conversions between requests of callers and those forwarded by peers."""

import time
from collections.abc import Iterable

from wardstair.fleet.peer_requests import PeerAnswer, PeerNotice, PeerRequest
from wardstair.gateway.bodies import MemoryLease
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.refusals import GatewayRefusal
from wardstair.gateway.request_progress import RequestProgress


def inbound_of(relayed: PeerRequest) -> Inbound:
    """Return the inbound request for one that a peer has forwarded."""
    return Inbound(
        request_id=relayed.request_id,
        method=relayed.method,
        target=relayed.target,
        path=relayed.target.partition('?')[0],
        host=relayed.host,
        key=relayed.key,
        headers=relayed.headers,
        body=relayed.body,
        received_at=time.monotonic(),
        seconds=relayed.seconds,
        organisation=relayed.organisation,
    )


def peer_request_of(
    progress: RequestProgress,
    unavailable: Iterable[str],
) -> PeerRequest:
    """Return a request as it is forwarded to a peer now.

    Args:
        progress: The request.
        unavailable: Names of upstreams that asked this host for no more
            requests.
    """
    inbound = progress.inbound
    return PeerRequest(
        request_id=inbound.request_id,
        method=inbound.method,
        target=inbound.target,
        host=inbound.host,
        key=inbound.key,
        headers=inbound.headers,
        body=inbound.body,
        seconds=max(0.0, progress.until - time.monotonic()),
        organisation=inbound.organisation,
        service=progress.service,
        version=progress.history.version,
        sends=progress.sends,
        tried=tuple(progress.history.upstreams),
        unavailable=tuple(unavailable),
    )


def peer_answer_of(
    reply: Reply,
    lost: frozenset[str],
    notices: tuple[PeerNotice, ...] = (),
    sends: int = 0,
) -> PeerAnswer:
    """Return the answer to the peer that forwarded the request.

    Args:
        reply: The reply.
        lost: Groups of upstreams that this host cannot reach.
        notices: Notices of the upstreams that this host tried.
        sends: Number of upstreams that this host sent the request to.
    """
    return PeerAnswer(
        reply.status,
        reply.reason,
        reply.headers,
        reply.body,
        reply.is_own,
        tuple(lost) if reply.is_own else (),
        notices,
        sends,
    )


def reply_of(answer: PeerAnswer, lease: MemoryLease | None) -> Reply:
    """Return the reply to a caller whose request a peer has answered.

    Args:
        answer: The answer of the peer.
        lease: Capacity that it takes up, if any.
    """
    return Reply(
        answer.status,
        answer.reason,
        answer.headers,
        answer.body,
        answer.is_own,
        lease,
    )


def peer_refusal(
    refusal: GatewayRefusal,
    request_id: str,
    lost: frozenset[str] = frozenset(),
) -> PeerAnswer:
    """Return the answer that refuses a request of a peer.

    Args:
        refusal: The refusal.
        request_id: The caller's id of the request.
        lost: Groups of upstreams that this host cannot reach.
    """
    return peer_answer_of(refusal.reply(request_id), lost)
