"""Stages of a roll-out: bounded exposure, completion in time, the ends."""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.rollout_exposure import max_exposure
from wardstair.decisions.rollout_plan import (
    ENOUGH_CAPACITY_LATE,
    MAX_MOVE_SECONDS,
    MAX_RISE,
    STEP_SECONDS,
    RolloutProgress,
    RolloutStep,
    next_step,
)
from wardstair.decisions.rollout_verdict import Judgement, Verdict
from wardstair.decisions.rollouts import (
    RolloutBounds,
    RolloutStage,
    RolloutState,
)

BOUNDS = RolloutBounds(0.1, 50, 5)
GOOD = Judgement(Verdict.good, evidence=-9, answers=1000)
BAD = Judgement(Verdict.bad, route=1, evidence=9, answers=30, bad=20)
LEANS_GOOD = Judgement(Verdict.undecided, evidence=-3, answers=1000)
LEANS_BAD = Judgement(Verdict.undecided, evidence=2, answers=1000)
PROGRESS = RolloutProgress(
    stage=RolloutStage.testing,
    share=0.05,
    seconds=14,
    age=5,
    stage_age=5,
    judgement=LEANS_GOOD,
    requests=3300,
    sent=165,
    rate=660,
    bounds=BOUNDS,
    capacity=1.2,
    new_upstreams=10,
    old_upstreams=10,
    waiting_hosts=0,
    has_contact=True,
)


@dataclass
class Player:
    """Plays the steps of a roll-out; tests change the progress meanwhile.

    Attributes:
        progress: What the coordinator knows.
        uneven: Ratio of the requests to the share of the keys that draw them.
    """

    progress: RolloutProgress
    uneven: float = 1.0
    steps: list[tuple[RolloutProgress, RolloutStep]] = field(
        default_factory=list
    )
    _sent: float = 0.0
    _requests: float = 0.0

    def step(self) -> RolloutStep:
        """Take one step; return it."""
        now = self.progress
        step = next_step(now)
        self.steps.append((now, step))
        requests = now.rate * STEP_SECONDS
        share = step.share
        if share < 1:
            share = min(share * self.uneven, 1.0)
        sent = requests * share
        self._requests += requests
        if step.stage is RolloutStage.testing:
            allowed = max_exposure(BOUNDS, int(self._requests))
            sent = min(sent, max(allowed - self._sent, 0))
        self._sent += sent
        stage_age = now.stage_age + STEP_SECONDS
        self.progress = replace(
            now,
            stage=step.stage,
            share=step.share,
            age=now.age + STEP_SECONDS,
            stage_age=stage_age if step.stage is now.stage else STEP_SECONDS,
            requests=int(self._requests),
            sent=int(self._sent),
        )
        return step

    def run(self, until: float) -> RolloutStep:
        """Take steps until an age or the end; return the last step."""
        step = self.step()
        while step.end is None and self.progress.age < until:
            step = self.step()
        return step


def player_of(
    seconds: float = 14, rate: float = 660, **changes: object
) -> Player:
    progress = replace(
        PROGRESS,
        seconds=seconds,
        rate=rate,
        share=0,
        age=0,
        stage_age=0,
        requests=0,
        sent=0,
    )
    return Player(replace(progress, **changes))  # type: ignore[arg-type]


@pytest.mark.parametrize('rate', [3, 40, 660, 3000])
@pytest.mark.parametrize('seconds', [6, 12, 14, 16, 60, 600])
@pytest.mark.parametrize('judgement', [GOOD, LEANS_GOOD])
def test_good_version_is_complete_before_the_deadline(
    seconds: float,
    rate: float,
    judgement: Judgement,
) -> None:
    player = player_of(seconds, rate, judgement=judgement)
    step = player.run(seconds)
    assert step.end is RolloutState.complete
    # The parts of the test and of the move, and a step for each stage.
    expected = seconds * (0.55 + 1 / 7) + 3 * STEP_SECONDS
    assert player.progress.age <= expected


@pytest.mark.parametrize('seconds', [6, 14, 60])
@pytest.mark.parametrize('uneven', [0.3, 3.0])
def test_version_of_keys_of_uneven_weight_is_complete_before_the_deadline(
    seconds: float,
    uneven: float,
) -> None:
    player = player_of(seconds, judgement=GOOD)
    player.uneven = uneven
    assert player.run(seconds).end is RolloutState.complete


def test_stages_follow_each_other_and_the_share_only_rises() -> None:
    player = player_of(judgement=GOOD)
    player.run(14)
    moving = [
        step.share
        for _, step in player.steps
        if step.stage is RolloutStage.moving
    ]
    assert moving == sorted(moving)
    assert len(moving) > 4
    stages = [step.stage for _, step in player.steps]
    assert stages == sorted(stages)
    tested = sum(stage is RolloutStage.testing for stage in stages)
    assert 0.5 < tested * STEP_SECONDS / 14 < 0.65


def test_test_has_answers_enough_for_a_verdict() -> None:
    player = player_of(judgement=GOOD)
    while player.step().stage is RolloutStage.testing:
        pass
    # A route with a tenth of the requests needs 31 answers without a bad one.
    assert player.progress.sent >= 310


def check_exposure(player: Player) -> None:
    bound = max_exposure(BOUNDS, player.progress.requests)
    for now, step in player.steps:
        if step.share >= 1:
            break
        assert now.sent <= bound, (now, step)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    seconds=st.sampled_from([6.0, 12.0, 14.0, 16.0, 60.0]),
    rates=st.lists(st.floats(450, 2000), min_size=1, max_size=12),
    capacities=st.lists(st.floats(0, 1.5), min_size=1, max_size=12),
    verdicts=st.lists(
        st.sampled_from([GOOD, LEANS_GOOD, LEANS_BAD]),
        min_size=1,
        max_size=8,
    ),
    uneven=st.floats(0.3, 2),
)
def test_exposure_stays_under_the_bound_while_the_share_is_below_1(
    seconds: float,
    rates: list[float],
    capacities: list[float],
    verdicts: list[Judgement],
    uneven: float,
) -> None:
    player = player_of(seconds, rates[0])
    player.uneven = uneven
    while player.progress.age < seconds:
        part = player.progress.age / seconds
        player.progress = replace(
            player.progress,
            rate=rates[int(part * len(rates))],
            capacity=capacities[int(part * len(capacities))],
            judgement=verdicts[int(part * len(verdicts))],
        )
        player.step()
    check_exposure(player)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    stage=st.sampled_from(list(RolloutStage)),
    share=st.floats(0, 1),
    age=st.floats(0, 30),
    judgement=st.sampled_from([GOOD, BAD, LEANS_GOOD, LEANS_BAD]),
    requests=st.integers(0, 20000),
    sent_part=st.floats(0, 1),
    rate=st.floats(0, 3000),
    capacity=st.floats(0, 2),
    new_upstreams=st.integers(0, 3),
    old_upstreams=st.integers(0, 3),
    waiting_hosts=st.integers(0, 2),
    has_contact=st.booleans(),
)
def test_every_step_is_one_that_hosts_can_follow(
    sent_part: float, requests: int, **values: object
) -> None:
    now = replace(
        PROGRESS,
        requests=requests,
        sent=int(requests * sent_part),
        **values,  # type: ignore[arg-type]
    )
    step = next_step(now)
    assert 0 <= step.share <= 1
    if step.stage is RolloutStage.stopped:
        assert step.share == 0
    if not now.new_upstreams and now.old_upstreams:
        assert step.share == 0
    if now.judgement is BAD:
        assert step.stage is RolloutStage.stopped
    if step.stage is RolloutStage.switched:
        assert step.share == 1
    if not now.has_contact:
        assert step.end is None
        assert step.stage <= now.stage or now.judgement is BAD
    if step.end is RolloutState.complete:
        assert now.stage is RolloutStage.switched
        assert not now.waiting_hosts
    is_full = now.capacity >= ENOUGH_CAPACITY_LATE
    if now.old_upstreams and not is_full and now.stage < RolloutStage.stopped:
        is_known = now.has_contact or now.stage < RolloutStage.switched
        assert not is_known or step.share <= now.capacity


@pytest.mark.parametrize('stage', list(RolloutStage))
@pytest.mark.parametrize('has_contact', [True, False])
def test_bad_version_is_stopped_at_once_and_recorded_with_contact(
    stage: RolloutStage,
    has_contact: bool,
) -> None:
    step = next_step(
        replace(PROGRESS, stage=stage, judgement=BAD, has_contact=has_contact)
    )
    assert (step.stage, step.share) == (RolloutStage.stopped, 0)
    assert step.end is (RolloutState.rolled_back if has_contact else None)


def test_stop_outlasts_the_loss_of_the_store_and_of_the_answers() -> None:
    player = player_of(judgement=GOOD)
    player.run(9)
    player.progress = replace(player.progress, judgement=BAD, has_contact=False)
    player.run(10)
    player.progress = replace(
        player.progress, judgement=LEANS_GOOD, has_contact=True
    )
    assert player.step().end is RolloutState.rolled_back


@pytest.mark.parametrize(
    ('changes', 'stage', 'end', 'reason'),
    [
        # The test is over.
        ({}, RolloutStage.moving, None, 'moving'),
        ({'judgement': GOOD}, RolloutStage.moving, None, 'moving'),
        (
            {'judgement': LEANS_BAD},
            RolloutStage.testing,
            None,
            'open-verdict',
        ),
        (
            {'judgement': LEANS_BAD, 'age': 14.5},
            RolloutStage.stopped,
            RolloutState.rolled_back,
            'open-verdict',
        ),
        # Answers of a slow version have not come yet.
        (
            {'judgement': replace(LEANS_GOOD, answers=9)},
            RolloutStage.testing,
            None,
            'open-verdict',
        ),
        (
            {'judgement': replace(LEANS_GOOD, answers=9), 'age': 11},
            RolloutStage.moving,
            None,
            'moving',
        ),
        (
            {'judgement': GOOD, 'age': 14.5},
            RolloutStage.moving,
            None,
            'overdue',
        ),
        # No later stage without the store.
        ({'has_contact': False}, RolloutStage.testing, None, 'no-contact'),
        # Nothing to test, or nothing to compare with.
        (
            {'new_upstreams': 0},
            RolloutStage.testing,
            None,
            'no-new-upstreams',
        ),
        (
            {'new_upstreams': 0, 'age': 14},
            RolloutStage.stopped,
            RolloutState.rolled_back,
            'no-new-upstreams',
        ),
        (
            {'old_upstreams': 0},
            RolloutStage.switched,
            None,
            'no-old-upstreams',
        ),
    ],
)
def test_end_of_the_test(
    changes: dict[str, object],
    stage: RolloutStage,
    end: RolloutState | None,
    reason: str,
) -> None:
    now = replace(PROGRESS, age=8)
    step = next_step(replace(now, **changes))  # type: ignore[arg-type]
    assert (step.stage, step.end, step.reason) == (stage, end, reason)


@pytest.mark.parametrize(
    ('changes', 'stage', 'share', 'end', 'reason'),
    [
        ({}, RolloutStage.switched, 1, RolloutState.complete, 'moved'),
        # Requests are under way at old upstreams.
        ({'waiting_hosts': 1}, RolloutStage.switched, 1, None, 'draining'),
        ({'has_contact': False}, RolloutStage.switched, 1, None, 'no-contact'),
        # Upstreams of the new version were lost with a zone, or all of them.
        ({'capacity': 0.4}, RolloutStage.moving, 0.4, None, 'capacity'),
        (
            {'new_upstreams': 0},
            RolloutStage.moving,
            0,
            None,
            'no-new-upstreams',
        ),
        # The old upstreams are gone: there is nothing else.
        (
            {'old_upstreams': 0, 'capacity': 0.4},
            RolloutStage.switched,
            1,
            RolloutState.complete,
            'moved',
        ),
        (
            {'judgement': LEANS_BAD},
            RolloutStage.switched,
            1,
            None,
            'open-verdict',
        ),
        (
            {'judgement': LEANS_BAD, 'age': 15},
            RolloutStage.stopped,
            0,
            RolloutState.rolled_back,
            'open-verdict',
        ),
        (
            {'age': 15},
            RolloutStage.switched,
            1,
            RolloutState.complete,
            'moved',
        ),
    ],
)
def test_end_of_the_roll_out(
    changes: dict[str, object],
    stage: RolloutStage,
    share: float,
    end: RolloutState | None,
    reason: str,
) -> None:
    now = replace(
        PROGRESS,
        stage=RolloutStage.switched,
        share=1.0,
        age=10,
        judgement=GOOD,
    )
    step = next_step(replace(now, **changes))  # type: ignore[arg-type]
    found = (step.stage, step.share, step.end, step.reason)
    assert found == (stage, share, end, reason)


def test_share_follows_a_falling_capacity_and_rises_gradually_again() -> None:
    player = player_of(judgement=GOOD)
    player.run(9)
    assert player.progress.share > 0.3
    player.progress = replace(player.progress, capacity=0.2)
    assert player.step().share <= 0.2
    player.progress = replace(player.progress, capacity=1.2)
    before = player.progress.share
    while player.progress.share < 1:
        player.step()
        assert player.progress.share <= before + MAX_RISE
        before = player.progress.share
    player.progress = replace(player.progress, judgement=GOOD)
    assert player.run(14).end is RolloutState.complete


def test_version_that_lacks_capacity_is_complete_after_the_deadline() -> None:
    player = player_of(judgement=GOOD, capacity=0.4)
    assert player.run(14).end is None
    assert player.progress.share <= 0.4
    player.progress = replace(player.progress, capacity=0.9)
    assert player.run(17).end is RolloutState.complete


def test_upstreams_that_come_late_are_tested_and_complete() -> None:
    player = player_of(judgement=LEANS_GOOD, new_upstreams=0)
    player.run(10)
    player.progress = replace(player.progress, new_upstreams=3)
    assert player.run(14).end is RolloutState.complete


@pytest.mark.parametrize('stage', [RolloutStage.testing, RolloutStage.moving])
def test_share_does_not_jump_while_the_rate_is_not_measured(
    stage: RolloutStage,
) -> None:
    """A new coordinator sent a third of the requests without backing."""
    progress = replace(
        PROGRESS,
        stage=stage,
        share=0.05,
        age=9,
        stage_age=0,
        requests=5940,
        sent=610,
        judgement=GOOD,
    )
    known = next_step(progress)
    unknown = next_step(replace(progress, rate=0))
    assert unknown.share <= known.share


def test_rise_of_a_roll_out_of_weeks_takes_a_bounded_number_of_steps() -> None:
    """Each step computed all later ones, which stopped the host for seconds."""
    weeks = 4 * 7 * 86400.0
    progress = replace(
        PROGRESS,
        stage=RolloutStage.moving,
        share=0.9,
        seconds=weeks,
        age=weeks * 0.7,
        stage_age=MAX_MOVE_SECONDS,
        judgement=GOOD,
        requests=int(660 * weeks * 0.7),
    )
    assert next_step(progress).stage is RolloutStage.switched
