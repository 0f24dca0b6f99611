"""What an attempt at an upstream proves about the request.

"Not run" is said only where it is proved: no byte of the request left this
host, or the upstream itself said so. Everything else that ends without a
whole answer may have run.
"""

from dataclasses import dataclass

from wardstair.decisions.retries import RetryReason


@dataclass(frozen=True)
class Answered:
    """The whole answer arrived."""

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
    """Bytes left, and no whole answer came.

    Attributes:
        answer_begun: Whether the answer's headers had gone to the caller.
        timed_out: Whether time ran out, as against a broken connection.
    """

    answer_begun: bool = False
    timed_out: bool = False


@dataclass(frozen=True)
class MismatchedAnswer:
    """The answer named another request than the one sent."""


@dataclass(frozen=True)
class Abandoned:
    """The caller left before the answer was whole."""


AttemptOutcome = (
    Answered
    | DeclaredNotRun
    | NeverSent
    | IncompleteAnswer
    | MismatchedAnswer
    | Abandoned
)


def may_have_run(outcome: AttemptOutcome) -> bool:
    """Return False only if the attempt provably did not run."""
    match outcome:
        case DeclaredNotRun() | NeverSent():
            return False
        case Answered() | IncompleteAnswer() | MismatchedAnswer() | Abandoned():
            return True


def retry_reason(outcome: AttemptOutcome) -> RetryReason | None:
    """Return why another attempt could help, or None if it cannot."""
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
