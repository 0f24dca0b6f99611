"""Decides when a connection of a caller reads and starts a further request.

A caller may send requests before earlier ones are answered. Those that may run
more than once run beside one another; one that may run only once runs alone, so
that a caller whose connection ends knows that nothing behind it has run.
"""

from dataclasses import dataclass
from enum import StrEnum

# Requests of a connection that may be open at a time.
MAX_PIPELINED = 16
# Bytes of bodies and of answers waiting for their turn at which a connection
# reads no further request.
MAX_HELD_BYTES = 262144


class Pause(StrEnum):
    """Why a connection reads no further request."""

    order = 'order'
    stopping = 'stopping'
    requests = 'requests'
    held_bytes = 'held-bytes'
    memory = 'memory'


# Pauses for what a connection holds, as opposed to its order.
BACK_PRESSURE = frozenset((Pause.requests, Pause.held_bytes, Pause.memory))


@dataclass(frozen=True, slots=True)
class PipelineState:
    """What a connection has under way.

    Attributes:
        open_requests: Requests started whose answers are not sent yet.
        runs_alone: Whether one of them may run only once.
        held_bytes: Bytes held for the connection: request bodies, and answers
            that wait for their turn.
        is_memory_short: Whether the host's capacity for bodies is used up.
        is_stopping: Whether the host is stopping.
        has_more: Whether bytes have come behind the requests started.
    """

    open_requests: int
    runs_alone: bool = False
    held_bytes: int = 0
    is_memory_short: bool = False
    is_stopping: bool = False
    has_more: bool = False


def reading_pause(state: PipelineState) -> Pause | None:
    """Return why no further bytes of requests are read; None to read on.

    A connection without an open request is always read: no answer of its own
    would end the pause.

    Args:
        state: What the connection has under way.
    """
    if not state.open_requests:
        return None
    if state.runs_alone:
        return Pause.order
    if state.is_stopping:
        return Pause.stopping
    if state.open_requests >= MAX_PIPELINED:
        return Pause.requests
    if state.held_bytes >= MAX_HELD_BYTES:
        return Pause.held_bytes
    return Pause.memory if state.is_memory_short else None


def may_start(state: PipelineState, *, is_repeatable: bool) -> bool:
    """Return whether the next request of a connection may start.

    Args:
        state: What the connection has under way.
        is_repeatable: Whether the next request may run more than once.
    """
    if not state.open_requests:
        return True
    return is_repeatable and reading_pause(state) is None


def closes(state: PipelineState, *, is_final: bool) -> bool:
    """Return whether the answer whose turn it is closes the connection.

    No request may have started behind such an answer. At a stop it is the
    answer to the last request that has come: one that is dropped unanswered
    counts as lost, although its caller can tell that it has not run.

    Args:
        state: What the connection has under way; the request that is being
            answered is one of the open requests.
        is_final: Whether nothing is read behind the request.
    """
    ends_here = is_final or (state.is_stopping and not state.has_more)
    return state.open_requests == 1 and ends_here
