"""A short seeded soak of real processes, and breaks that it has to find."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from soak.broken import KIND_VARIABLE
from soak.ledger import Kind, Ledger, Run, Span
from soak.play import Plan, Verdict, play
from soak.processes import GatewayProcess, choose_places
from soak.seeds import FAILED_SEEDS

BROKEN = 'soak.broken'
SEED = 20261202
HERD_SEED = 2
SHORT = Plan(SEED, seconds=6, hosts=4, upstreams=5, callers=6, gap=0.6)
PLANS = [
    replace(SHORT, with_herds=False),
    # Kills all hosts twice; those greeted first start last.
    replace(SHORT, seed=HERD_SEED),
    *(
        replace(SHORT, seed=one.seed, with_herds=one.with_herds)
        for one in FAILED_SEEDS
    ),
]


def run(plan: Plan, folder: Path) -> Verdict:
    return asyncio.run(play(plan, folder))


@pytest.mark.parametrize('plan', PLANS, ids=lambda plan: str(plan.seed))
def test_promises_hold_under_drawn_faults(plan: Plan, tmp_path: Path) -> None:
    verdict = run(plan, tmp_path)
    assert verdict.broken == []
    assert verdict.statuses[200]
    assert verdict.faults


@pytest.mark.parametrize(
    ('kind', 'words'),
    [('lie', 'told that it has not run'), ('revert', 'went back')],
)
def test_a_break_that_was_put_in_is_found(
    kind: str,
    words: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(KIND_VARIABLE, kind)
    # Many lost answers, so that a busy machine with few requests has some.
    plan = replace(SHORT, module=BROKEN, lost_share=0.25, with_herds=False)
    verdict = run(plan, tmp_path)
    assert any(words in line for line in verdict.broken)


@pytest.mark.parametrize(
    ('kind', 'status', 'runs', 'body', 'words'),
    [
        (Kind.once, 200, 1, 'r up', None),
        (Kind.safe, 200, 2, 'r up', None),
        (Kind.safe, 503, 1, '', None),
        (Kind.once, 502, 1, '', None),
        (Kind.once, 503, 0, '', None),
        (Kind.once, 200, 2, 'r up', 'ran 2 times'),
        (Kind.once, 503, 1, '', 'told that it has not run'),
        (Kind.safe, 200, 1, 'other up', 'not its own'),
        (Kind.safe, 200, 0, 'r up', 'not its own'),
        (Kind.safe, 0, 1, '', 'cut by a planned stop'),
    ],
)
def test_the_ledger_finds_broken_promises(
    kind: Kind,
    status: int,
    runs: int,
    body: str,
    words: str | None,
) -> None:
    ledger = Ledger(stopped={'host/1'})
    made = ledger.begin('r', kind, 'host/1')
    made.status = status
    made.body = body
    made.ended_at = made.sent_at + 1
    made.runs = [Run('up', made.sent_at) for _ in range(runs)]
    found = ledger.check()
    assert len(found) == (words is not None)
    assert words is None or words in found[0]


def test_a_request_cut_beside_another_fault_is_no_fault_of_the_stop() -> None:
    ledger = Ledger(stopped={'host/1'})
    made = ledger.begin('r', Kind.safe, 'host/1')
    made.status = 0
    made.ended_at = made.sent_at + 1
    made.runs = [Run('up', made.sent_at)]
    ledger.spans.append(Span('kill', made.sent_at - 1, made.sent_at + 0.5))
    assert ledger.check() == []


def test_a_gateway_that_two_faults_start_again_runs_once(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        (place,) = choose_places({'a1': 'a'}, 1, [1], tmp_path)
        gateway = GatewayProcess(place, 'wardstair.cli.gateway')
        await asyncio.gather(gateway.start(), gateway.start())
        assert gateway.life == 1
        await gateway.end()

    asyncio.run(test())
