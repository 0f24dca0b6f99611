"""At-most-once execution and correct "not run" claims under random faults."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wardstair.decisions.at_most_once import (
    KEPT_ANSWER_BYTES,
    KEY_VALID_SECONDS,
    RETENTION_SECONDS,
    AlreadyRun,
    InProgress,
    KeptAnswer,
    KeyTable,
    Mismatch,
    Replay,
    RequestKey,
    Run,
    TableFull,
    UnknownOutcome,
    parse_key,
)
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
    RetryBudget,
    RetryVerdict,
    judge_retry,
)

OUTCOMES: list[tuple[AttemptOutcome, bool]] = [
    # The observed outcome, and whether the upstream may actually have run it.
    (Answered(200), True),
    (Answered(500), True),
    (DeclaredNotRun(503), False),
    (NeverSent(), False),
    (NeverSent(timed_out=True), False),
    (IncompleteAnswer(), True),
    (IncompleteAnswer(timed_out=True), True),
    (IncompleteAnswer(answer_begun=True), True),
    (MismatchedAnswer(), True),
    (Abandoned(), True),
]


class OnceMachine(RuleBasedStateMachine):
    """Callers that repeat keys at an owner whose attempts end in all ways.

    `ran` counts the runs at the upstream by key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.table = KeyTable(capacity=4)
        self.issued: dict[str, float] = {}
        self.running: dict[str, str] = {}
        self.ran: Counter[str] = Counter()

    @rule(key=st.sampled_from('abcdefgh'))
    def issue(self, key: str) -> None:
        self.issued.setdefault(key, self.now)

    @rule(
        key=st.sampled_from('abcdefgh'),
        body=st.sampled_from(['x', 'x', 'y']),
    )
    def request(self, key: str, body: str) -> None:
        if key not in self.issued:
            return
        admission = self.table.admit(key, body, self.issued[key], self.now)
        match admission:
            case Run():
                assert key not in self.running
                self.running[key] = body
            case InProgress():
                assert key in self.running
            case Replay() | AlreadyRun():
                assert self.ran[key] == 1
            case TableFull():
                assert key not in self.table.records
                assert len(self.table.records) == self.table.capacity

    @rule(
        key=st.sampled_from('abcdefgh'),
        outcome=st.sampled_from(OUTCOMES),
        has_run=st.booleans(),
        retry=st.booleans(),
        size=st.sampled_from([1, KEPT_ANSWER_BYTES + 1]),
    )
    def end(
        self,
        key: str,
        outcome: tuple[AttemptOutcome, bool],
        has_run: bool,
        retry: bool,
        size: int,
    ) -> None:
        """End an attempt; the upstream may have run it if that is possible."""
        if key not in self.running:
            return
        observed, can_run = outcome
        if can_run and (has_run or isinstance(observed, Answered)):
            self.ran[key] += 1
        reason = retry_reason(observed)
        if retry and reason is not None:
            failed = FailedAttempt(
                reason, may_have_run(observed), False, False, 9, 0
            )
            if judge_retry(failed, RetryBudget()) is RetryVerdict.retry:
                return
        self.running.pop(key)
        if isinstance(observed, Answered):
            answer = KeptAnswer(200, (), b'x' * size)
            self.table.finish(key, answer, self.now)
        elif may_have_run(observed):
            self.table.mark_unknown(key, self.now)
        else:
            self.table.release(key)
            assert self.ran[key] == 0

    @rule(seconds=st.sampled_from([1.0, 300.0, 700.0, 1000.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def nothing_runs_twice(self) -> None:
        assert all(count <= 1 for count in self.ran.values())

    @invariant()
    def table_is_bounded(self) -> None:
        assert len(self.table.records) <= self.table.capacity


TestOnce = OnceMachine.TestCase
TestOnce.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
)


@pytest.mark.parametrize(('outcome', 'can_run'), OUTCOMES)
def test_not_run_requires_proof(
    outcome: AttemptOutcome,
    can_run: bool,
) -> None:
    assert may_have_run(outcome) is can_run


@pytest.mark.parametrize(
    ('age', 'expected'),
    [
        (0, Run),
        (KEY_VALID_SECONDS - 1, Run),
        (KEY_VALID_SECONDS, UnknownOutcome),
        (-30, Run),
        (-61, UnknownOutcome),
    ],
)
def test_expired_key_does_not_count_as_new(
    age: float,
    expected: type,
) -> None:
    table = KeyTable(capacity=1)
    assert isinstance(table.admit('k', 'f', 1000.0 - age, 1000.0), expected)


def test_full_table_refuses_new_keys_and_drops_none() -> None:
    table = KeyTable(capacity=1)
    table.admit('a', 'f', 0, 0)
    table.mark_unknown('a', 0)
    assert isinstance(table.admit('b', 'f', 0, 1), TableFull)
    assert isinstance(table.admit('a', 'f', 0, 1), UnknownOutcome)
    later = RETENTION_SECONDS + 1
    assert isinstance(table.admit('b', 'f', later, later), Run)


def test_other_content_under_the_same_key_is_refused() -> None:
    table = KeyTable(capacity=1)
    table.admit('a', 'f', 0, 0)
    assert isinstance(table.admit('a', 'g', 0, 0), Mismatch)


@pytest.mark.parametrize(
    'text',
    ['', 'plain', 'a~b~c', 'a~b~x~c', '~b~1~c', 'a~b~1~', 'a~b~1~c~d'],
)
def test_other_texts_are_not_parsed_as_issued_keys(text: str) -> None:
    assert parse_key(text) is None


def test_issued_keys_are_parsed_back() -> None:
    key = RequestKey('home-1', '01ab', 17, 'ff')
    assert parse_key(str(key)) == key
