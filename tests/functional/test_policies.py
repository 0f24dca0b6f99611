"""Whatever the policy, slots hold and requests are answered."""

import asyncio

import pytest
from lib.documents import small_document
from lib.running import Trial, run_trial

from wardstair.process.orders import SetPolicy
from wardstair.standins.upstream import Behaviour
from wardstair.version.document import PolicyModel

ZONES = ('west-a', 'west-b')


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
def test_a_policy_swapped_under_load_breaks_nothing(
    policy: PolicyModel,
) -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        states = [deployment.upstreams[f'views-{zone}'].state for zone in ZONES]
        for state in states:
            state.behaviour = Behaviour(seconds=0.02)
        answers = asyncio.gather(
            *(
                trial.send('west-a-1', 'GET', f'/parts/{number}')
                for number in range(60)
            )
        )
        version = await deployment.order(
            SetPolicy(verb='policy-set', policy=policy),
        )
        await deployment.wait_version(version)
        more = asyncio.gather(
            *(
                trial.send('west-a-2', 'GET', f'/parts/{number}')
                for number in range(60, 90)
            )
        )
        found = [*await answers, *await more]
        for number, answer in enumerate(found):
            assert answer.code == 200, answer.body
            assert f'"/parts/{number}"'.encode() in answer.body
        for state in states:
            assert state.peak <= state.slots

    run_trial(small_document(zones=ZONES), test)
