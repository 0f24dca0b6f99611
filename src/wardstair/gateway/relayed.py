"""Requests that two entry hosts carry, as each of them sees them."""

import time

from wardstair.fleet.peer_requests import PeerAnswer, PeerRequest
from wardstair.gateway.course import Course
from wardstair.gateway.messages import Inbound, Reply
from wardstair.gateway.refusals import Ending


def inbound_of(relayed: PeerRequest) -> Inbound:
    """Return a request that another host has handed on as one of a caller."""
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


def relayed_of(course: Course) -> PeerRequest:
    """Return a request as it is handed on now."""
    inbound = course.inbound
    return PeerRequest(
        request_id=inbound.request_id,
        method=inbound.method,
        target=inbound.target,
        host=inbound.host,
        key=inbound.key,
        headers=inbound.headers,
        body=inbound.body,
        seconds=max(0.0, course.until - time.monotonic()),
        organisation=inbound.organisation,
        service=course.service,
        version=course.trail.version,
        sends=course.sends,
        tried=tuple(course.trail.upstreams),
    )


def answer_of(reply: Reply, lost: frozenset[str]) -> PeerAnswer:
    """Return a reply as it goes back to the host that handed its request on.

    Args:
        reply: The reply.
        lost: Groups of upstreams that this host does not reach.
    """
    return PeerAnswer(
        reply.status,
        reply.reason,
        reply.headers,
        reply.body,
        reply.is_own,
        tuple(lost) if reply.is_own else (),
    )


def reply_of(answer: PeerAnswer) -> Reply:
    """Return the reply to a caller whose request another host has answered."""
    return Reply(
        answer.status,
        answer.reason,
        answer.headers,
        answer.body,
        answer.is_own,
    )


def refusal_of(
    ending: Ending,
    relayed: PeerRequest,
    lost: frozenset[str] = frozenset(),
) -> PeerAnswer:
    """Return the answer to a request that this host refuses.

    Args:
        ending: How it ends.
        relayed: The request.
        lost: Groups of upstreams that this host does not reach.
    """
    return answer_of(ending.reply(relayed.request_id), lost)
