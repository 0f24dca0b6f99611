"""Outcomes of attempts at an upstream, and whether the request may have run.

A request counts as not run only if that is certain: no byte of it left this
host, or the upstream answered that it did not run it. Any other attempt that
ends without a complete answer may have run.
"""

from dataclasses import dataclass

from wardstair.decisions.retries import RetryReason


@dataclass(frozen=True)
class Answered:
    """The complete answer arrived."""

    status: int


@dataclass(frozen=True)
class DeclaredNotRun:
    """The upstream answered that it did not run the request."""

    status: int
    retry_after: int | None = None


@dataclass(frozen=True)
class NeverSent:
    """The attempt ended before a byte of the request left this host."""

    timed_out: bool = False


@dataclass(frozen=True)
class IncompleteAnswer:
    """Bytes of the request were sent, but no complete answer arrived.

    Attributes:
        answer_begun: Whether the answer's headers were sent to the caller.
        timed_out: Whether the attempt timed out; otherwise the connection
            broke.
    """

    answer_begun: bool = False
    timed_out: bool = False


@dataclass(frozen=True)
class MismatchedAnswer:
    """The request ID in the answer is not that of the request sent."""


@dataclass(frozen=True)
class Abandoned:
    """The caller disconnected before the answer was complete."""


AttemptOutcome = (
    Answered
    | DeclaredNotRun
    | NeverSent
    | IncompleteAnswer
    | MismatchedAnswer
    | Abandoned
)


def may_have_run(outcome: AttemptOutcome) -> bool:
    """Return False only if the request certainly did not run."""
    match outcome:
        case DeclaredNotRun() | NeverSent():
            return False
        case Answered() | IncompleteAnswer() | MismatchedAnswer() | Abandoned():
            return True


def retry_reason(outcome: AttemptOutcome) -> RetryReason | None:
    """Return the reason for a retry, or None if a retry cannot help."""
    match outcome:
        case NeverSent(timed_out=True):
            return RetryReason.connect_timeout
        case NeverSent():
            return RetryReason.connect_refused
        case DeclaredNotRun():
            return RetryReason.upstream_not_run
        case IncompleteAnswer(answer_begun=False, timed_out=False):
            return RetryReason.answer_lost
        case MismatchedAnswer():
            return RetryReason.upstream_error
        case Answered() | IncompleteAnswer() | Abandoned():
            return None
