"""Steps of the scenarios that involve several hosts."""

import asyncio
from typing import Any

from behave import given, then, when
from lib.documents import small_document
from lib.running import Trial, record_versions

from wardstair.process.messages import HeadGive
from wardstair.process.orders import StartDrain, StartShift
from wardstair.standins.deployment import Deployment
from wardstair.standins.upstream import Behaviour
from wardstair.version.document import DrainModel, ShiftModel

DRAIN = DrainModel(kind='upstream', name='orders-west-a')


def run(context: Any, work: Any) -> Any:
    """Run a coroutine on the scenario's event loop."""
    return context.loop.run_until_complete(work)


@given('two regions with callers in the east')
def start_regions(context: Any) -> None:
    async def start() -> Trial:
        document = small_document(
            zones=('east-a', 'west-a'),
            slots=20,
            blocks=[{'network': '127.0.0.0/8', 'site': 'east-site'}],
        )
        trial = Trial(Deployment(document))
        await trial.deployment.start()
        return trial

    context.trial = run(context, start())


@given('a shift of views from east to west with cap {cap:d}')
def start_shift(context: Any, cap: int) -> None:
    async def start() -> None:
        deployment = context.trial.deployment
        shift = ShiftModel(
            name='choir',
            workload='views',
            source='east',
            target='west',
            cap=cap,
        )
        order = StartShift(verb='shift-start', shift=shift)
        await deployment.wait_version(await deployment.order(order))
        west = [deployment.hosts[f'west-a-{number}'] for number in (1, 2)]
        await deployment.wait_until(
            lambda: (
                sum(
                    len(host.capacity.ledgers['shift/choir'].idle_owned)
                    for host in west
                )
                == cap
            ),
        )

    run(context, start())


@given('one host that cannot reach the platform')
def cut_host_from_platform(context: Any) -> None:
    context.trial.deployment.hosts['west-a-2'].cut_platform()


@given('a platform that is down')
def stop_platform(context: Any) -> None:
    context.trial.deployment.platform.store.faults.down = True


@when('{count:d} views are requested at once in the west')
def request_views_in_west(context: Any, count: int) -> None:
    async def request() -> list[Any]:
        upstream = context.trial.deployment.upstreams['views-west-a']
        upstream.state.behaviour = Behaviour(seconds=0.1)
        return await asyncio.gather(
            *(
                context.trial.send(
                    f'west-a-{1 + number % 2}',
                    'GET',
                    f'/parts/{number}',
                )
                for number in range(count)
            )
        )

    context.answers = run(context, request())


@when('the orders upstream is drained')
def drain_upstream(context: Any) -> None:
    deployment = context.trial.deployment
    context.old = deployment.hosts['west-a-1'].configuration.head
    order = StartDrain(verb='drain-start', drain=DRAIN)
    context.version = run(context, deployment.order(order))
    run(context, deployment.wait_version(context.version))


@when('an old version is announced again')
def announce_old_version(context: Any) -> None:
    """Announce the old version, then order a newer one.

    Hosts adopt announced versions in order, so once the newer one is in
    force, the old one has been handled.
    """
    deployment = context.trial.deployment
    old = context.old
    outdated = HeadGive(1, old.base, old.blocks, old.command, old.operator)
    context.adopted = [
        record_versions(host) for host in deployment.hosts.values()
    ]
    for host in deployment.hosts.values():
        host.configuration.on_head_give('west-a-1', outdated)
    other = DrainModel(kind='upstream', name='views-west-a')
    order = StartDrain(verb='drain-start', drain=other)
    context.version = run(context, deployment.order(order))
    run(context, deployment.wait_version(context.version))


@then('no older version was adopted')
def check_no_older_adopted(context: Any) -> None:
    assert context.adopted == [[context.version]] * 2


@when('one host is replaced by a new incarnation')
def replace_host(context: Any) -> None:
    async def replace() -> None:
        deployment = context.trial.deployment
        model = deployment.document.hosts[0]
        await deployment.hosts[model.name].stop()
        await deployment.start_host(model)
        await deployment.wait_version(1)

    run(context, replace())


@then('at most {cap:d} were in flight there')
def check_in_flight(context: Any, cap: int) -> None:
    state = context.trial.deployment.upstreams['views-west-a'].state
    assert 1 <= state.peak <= cap


@then('refused requests did not run')
def check_refused(context: Any) -> None:
    refused = [answer for answer in context.answers if answer.code != 200]
    assert refused
    assert all(answer.headers['Not-Run'] == 'true' for answer in refused)
    state = context.trial.deployment.upstreams['views-west-a'].state
    assert state.received == len(context.answers) - len(refused)


@then('the drain is in force on all hosts')
def check_drain(context: Any) -> None:
    for host in context.trial.deployment.hosts.values():
        assert host.topology.version == context.version
        assert DRAIN in host.topology.drained


@then('both hosts have the same version')
def check_versions(context: Any) -> None:
    hosts = context.trial.deployment.hosts.values()
    assert {host.configuration.version for host in hosts} == {1}
