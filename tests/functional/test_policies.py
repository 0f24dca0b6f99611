"""Policies replaced under load: slot limits hold, requests are answered."""

import asyncio

import pytest
from lib.documents import small_document
from lib.running import Trial, run_trial
from tornado.httpclient import HTTPResponse

from wardstair.process.orders import SetPolicy
from wardstair.standins.upstream import Behaviour
from wardstair.version.document import PolicyModel

ZONES = ('west-a', 'west-b')


# A host waits 2 s for a slot and 1 s for a connection. If this process itself
# is suspended for that long, all waiting requests are correctly refused and
# sent again (42 and 19 of them when it was suspended for 2.2 s). A fault would
# refuse them again.
MAX_TRIES = 4


async def ask(trial: Trial, host: str, number: int) -> HTTPResponse:
    """Send a request, and resend it while it has provably not run."""
    for _ in range(MAX_TRIES):
        answer = await trial.send(host, 'GET', f'/parts/{number}')
        if answer.code == 200 or answer.headers.get('Not-Run') != 'true':
            break
    return answer


@pytest.mark.parametrize(
    'policy',
    [
        PolicyModel(workload='views', kind='nearest', spill_at=0.01),
        PolicyModel(workload='views', kind='weighted', weights={'west-b': 1}),
        PolicyModel(workload='views', kind='weighted', weights={}),
        PolicyModel(workload='views', kind='least-in-flight'),
        PolicyModel(workload='views', kind='headroom-first'),
    ],
)
def test_requests_are_answered_while_a_policy_is_replaced_under_load(
    policy: PolicyModel,
) -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        states = [deployment.upstreams[f'views-{zone}'].state for zone in ZONES]
        for state in states:
            state.behaviour = Behaviour(seconds=0.02)
        answers = asyncio.gather(
            *(ask(trial, 'west-a-1', number) for number in range(60))
        )
        version = await deployment.order(
            SetPolicy(verb='policy-set', policy=policy),
        )
        await deployment.wait_version(version)
        more = asyncio.gather(
            *(ask(trial, 'west-a-2', number) for number in range(60, 90))
        )
        received = [*await answers, *await more]
        for number, answer in enumerate(received):
            assert answer.code == 200, answer.body
            assert f'"/parts/{number}"'.encode() in answer.body
        for state in states:
            assert state.peak <= state.slots

    run_trial(small_document(zones=ZONES), test)
