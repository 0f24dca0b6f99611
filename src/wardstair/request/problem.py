"""Refusals as RFC 9457 problem documents."""

import json

from wardstair.errors import Refusal, RefusalKind

PROBLEM_TYPE = 'application/problem+json'
_TYPE_PREFIX = 'urn:wardstair:refusal:'


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body that describes a refusal to the caller."""
    return json.dumps(
        {
            'type': _TYPE_PREFIX + refusal.kind,
            'title': refusal.kind.replace('-', ' '),
            'status': refusal.status,
            'detail': refusal.message,
            'remedy': refusal.hint,
            'not_run': refusal.not_run,
            'retry_after': refusal.retry_after,
            'request_id': request_id,
        }
    ).encode()


def no_route(method: str, path: str) -> Refusal:
    """Refuse a request that matches no route."""
    return Refusal(
        RefusalKind.no_route,
        404,
        f'no workload has a route for {method} {path}',
        'check the method and path, or add a route to the configuration',
        not_run=True,
    )


def key_required() -> Refusal:
    """Refuse a request without a key that may run at most once."""
    return Refusal(
        RefusalKind.key_required,
        428,
        'this request may run at most once and carries no Idempotency-Key',
        'ask /v1/lookup for a key, or send a unique one of your own',
        not_run=True,
    )


def key_mismatch() -> Refusal:
    """Refuse a key that was used for another request."""
    return Refusal(
        RefusalKind.key_mismatch,
        422,
        'the Idempotency-Key was used for a request with other content',
        'use a new key for a new request',
        not_run=False,
    )


def already_run() -> Refusal:
    """Report that the request has run and its answer was not kept."""
    return Refusal(
        RefusalKind.already_run,
        409,
        'the request of this Idempotency-Key has run already',
        'ask the service for its result; do not send it again',
        not_run=False,
    )


def outcome_unknown(reason: str) -> Refusal:
    """Report that it is unknown whether the request has run."""
    return Refusal(
        RefusalKind.outcome_unknown,
        502,
        f'the request may have run: {reason}',
        'ask the service whether it ran before sending it with a new key',
        not_run=False,
    )


def key_table_full(retry_after: float) -> Refusal:
    """Refuse a new key, since no recorded key may be dropped yet."""
    return Refusal(
        RefusalKind.key_table_full,
        503,
        'this host remembers as many keys as it may',
        'ask /v1/lookup for a key of another host, or come back later',
        not_run=True,
        retry_after=max(int(retry_after), 1),
    )


def overloaded(retry_after: int, *, not_run: bool) -> Refusal:
    """Refuse a request for which no slot became free in time."""
    return Refusal(
        RefusalKind.overloaded,
        503,
        'no upstream had a free slot in time',
        'come back after the stated seconds',
        not_run=not_run,
        retry_after=retry_after,
    )


def no_upstream(workload: str, *, not_run: bool) -> Refusal:
    """Refuse a request whose workload has no usable upstream."""
    return Refusal(
        RefusalKind.no_upstream,
        503,
        f'no upstream of {workload} can be reached',
        'come back after the stated seconds',
        not_run=not_run,
        retry_after=5,
    )


def cap_reached(name: str) -> Refusal:
    """Refuse traffic from other regions that exceeds its cap."""
    return Refusal(
        RefusalKind.cap_reached,
        503,
        f'the limit {name} for traffic from other regions is used up',
        'come back after the stated seconds or use your own region',
        not_run=True,
        retry_after=1,
    )


def deadline_passed(*, not_run: bool) -> Refusal:
    """Refuse a request whose deadline cannot be met."""
    return Refusal(
        RefusalKind.deadline_passed,
        504,
        'the deadline of the request has passed',
        'send it again with a later deadline',
        not_run=not_run,
    )


def upstream_failed(reason: str, *, not_run: bool) -> Refusal:
    """Report that the attempts at a repeatable request failed."""
    return Refusal(
        RefusalKind.upstream_failed,
        502,
        f'the upstream gave no whole answer: {reason}',
        'the request may be repeated: send it again',
        not_run=not_run,
        retry_after=1,
    )


def body_too_large(limit: int) -> Refusal:
    """Refuse a body that is too large for its route."""
    return Refusal(
        RefusalKind.body_too_large,
        413,
        f'requests that may not be repeated carry at most {limit} bytes',
        'upload large content first and name it in the request',
        not_run=True,
    )


def bad_header(message: str, hint: str) -> Refusal:
    """Refuse a request with an invalid or forbidden header."""
    return Refusal(RefusalKind.bad_header, 400, message, hint, not_run=True)


def bad_framing(message: str) -> Refusal:
    """Refuse a request whose target or body length is malformed."""
    return Refusal(
        RefusalKind.bad_framing,
        400,
        message,
        'send exactly one of Content-Length and Transfer-Encoding',
        not_run=True,
    )


def stopping() -> Refusal:
    """Refuse new requests on a host that is stopping."""
    return Refusal(
        RefusalKind.stopping,
        503,
        'this entry host is leaving',
        'ask /v1/lookup of another host',
        not_run=True,
        retry_after=1,
    )


def not_authorised() -> Refusal:
    """Refuse an operator without a valid token."""
    return Refusal(
        RefusalKind.not_authorised,
        401,
        'the operator token is missing or not known',
        'send Authorization: Bearer with a token from the settings',
        not_run=True,
    )
