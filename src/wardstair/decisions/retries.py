"""Retry budgets: retries as a fraction of first tries, by class of caller.

As in Finagle, first tries add to a budget and retries take from it, so that a
failing upstream does not receive a multiple of its usual load.
"""

from dataclasses import dataclass, field
from enum import StrEnum

RETRY_SHARE = 0.1
RETRY_RESERVE = 10.0


class RetryReason(StrEnum):
    """Why an attempt may be retried."""

    connect_refused = 'connect-refused'
    connect_timeout = 'connect-timeout'
    upstream_not_run = 'upstream-not-run'
    answer_lost = 'answer-lost'
    upstream_error = 'upstream-error'


class RetryVerdict(StrEnum):
    """Whether an attempt is retried, or why not."""

    retry = 'retry'
    not_repeatable = 'not-repeatable'
    budget_spent = 'budget-spent'
    deadline_near = 'deadline-near'
    body_consumed = 'body-consumed'


@dataclass
class RetryBudget:
    """Retry credits of one class of callers.

    Attributes:
        credits: Retries that are allowed now.
        share: Credits that each first try adds.
        reserve: Maximum number of credits.
    """

    credits: float = RETRY_RESERVE
    share: float = RETRY_SHARE
    reserve: float = RETRY_RESERVE

    def deposit(self) -> None:
        """Count one first try."""
        self.credits = min(self.credits + self.share, self.reserve)

    def withdraw(self) -> bool:
        """Use one retry; return False if none is left."""
        if self.credits < 1:
            return False
        self.credits -= 1
        return True


@dataclass
class RetryBudgets:
    """The budgets of all classes of callers; a class is a workload name."""

    budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def of(self, caller_class: str) -> RetryBudget:
        """Return the budget of a class; create it if there is none."""
        return self.budgets.setdefault(caller_class, RetryBudget())


@dataclass(frozen=True)
class FailedAttempt:
    """A failed attempt.

    Attributes:
        reason: Why the attempt failed.
        may_have_run: False only if the attempt provably did not run.
        is_repeatable: Whether requests of the route may be repeated.
        body_consumed: Whether body bytes were read that cannot be read again.
        time_left: Seconds until the caller's deadline.
        time_needed: Expected duration of another attempt in seconds.
    """

    reason: RetryReason
    may_have_run: bool
    is_repeatable: bool
    body_consumed: bool
    time_left: float
    time_needed: float


def judge_retry(attempt: FailedAttempt, budget: RetryBudget) -> RetryVerdict:
    """Decide whether a failed attempt is retried."""
    if attempt.may_have_run and not attempt.is_repeatable:
        return RetryVerdict.not_repeatable
    if attempt.body_consumed:
        return RetryVerdict.body_consumed
    if attempt.time_left <= attempt.time_needed:
        return RetryVerdict.deadline_near
    if not budget.withdraw():
        return RetryVerdict.budget_spent
    return RetryVerdict.retry
