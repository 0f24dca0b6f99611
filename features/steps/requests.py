"""Steps of the scenarios about requests."""

import asyncio
from typing import Any

from behave import given, then, when
from lib.documents import small_document
from lib.running import Trial, kind_of

from wardstair.standins.deployment import Deployment
from wardstair.standins.upstream import Behaviour

ORDERS_UPSTREAM = 'orders-west-a'


def run(context: Any, work: Any) -> Any:
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(work)


@given('a zone with {count:d} entry hosts')
def start_zone(context: Any, count: int) -> None:
    async def start() -> Trial:
        deployment = Deployment(small_document(hosts_a_zone=count))
        trial = Trial(deployment)
        await deployment.start()
        return trial

    context.trial = run(context, start())
    context.hosts = sorted(context.trial.deployment.hosts)


@given('the orders upstream loses its answers')
def lose_answers(context: Any) -> None:
    upstream = context.trial.deployment.upstreams[ORDERS_UPSTREAM]
    upstream.state.behaviour = Behaviour(reset_before=True)


@given('the orders upstream sheds its load')
def shed_load(context: Any) -> None:
    upstream = context.trial.deployment.upstreams[ORDERS_UPSTREAM]
    upstream.state.behaviour = Behaviour(shed=True)


@when('a print order is sent {count:d} times through different hosts')
def send_order(context: Any, count: int) -> None:
    async def send() -> list[Any]:
        trial = context.trial
        context.key = await trial.new_key(context.hosts[0])
        return [
            await trial.order(
                context.hosts[turn % len(context.hosts)],
                context.key,
            )
            for turn in range(count)
        ]

    context.answers = run(context, send())


@when('a host is drained during an upload')
def drain_during_upload(context: Any) -> None:
    async def upload() -> Any:
        deployment = context.trial.deployment
        host = deployment.hosts[context.hosts[0]]
        state = deployment.upstreams['uploads-west-a'].state

        async def produce(write: Any) -> None:
            await write(b'first')
            await state.started.wait()
            context.drain = asyncio.ensure_future(host.drain())
            await deployment.wait_until(lambda: host.is_stopping)
            await write(b'last')

        answer = await context.trial.send(
            context.hosts[0],
            'PUT',
            '/uploads/scan-1',
            body_producer=produce,
        )
        await context.drain
        return answer

    context.answers = [run(context, upload())]


@when('{count:d} views are requested at once through all hosts')
def request_views(context: Any, count: int) -> None:
    async def request() -> list[Any]:
        upstream = context.trial.deployment.upstreams['views-west-a']
        upstream.state.behaviour = Behaviour(seconds=0.01)
        return await asyncio.gather(
            *(
                context.trial.send(
                    context.hosts[number % len(context.hosts)],
                    'GET',
                    f'/parts/{number}',
                )
                for number in range(count)
            )
        )

    context.answers = run(context, request())


@then('all answers are the same')
def check_same(context: Any) -> None:
    assert len({answer.body for answer in context.answers}) == 1
    assert all(answer.code == 200 for answer in context.answers)


@then('the order ran {count:d} time')
@then('the order ran {count:d} times')
def check_runs(context: Any, count: int) -> None:
    state = context.trial.deployment.upstreams[ORDERS_UPSTREAM].state
    assert state.runs[context.key] == count


@then('the answer is "{kind}"')
def check_answer_kind(context: Any, kind: str) -> None:
    assert kind_of(context.answers[0]) == kind


@then('the answer says that it did not run')
def check_not_run(context: Any) -> None:
    assert context.answers[0].headers['Not-Run'] == 'true'


@then('the upload is answered')
def check_upload(context: Any) -> None:
    assert context.answers[0].code == 200


@then('no upstream served more requests at once than it has slots')
def check_slots(context: Any) -> None:
    assert all(answer.code == 200 for answer in context.answers)
    for upstream in context.trial.deployment.upstreams.values():
        assert upstream.state.peak <= upstream.state.slots
