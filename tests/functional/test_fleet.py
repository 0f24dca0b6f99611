"""Several hosts: configuration, tokens and shifts during faults."""

import asyncio
from typing import Any

import pytest
from lib.documents import small_document
from lib.running import Trial, kind_of, record_versions, run_trial

from wardstair.decisions.ledger import LoanOffer
from wardstair.errors import ConfigurationError
from wardstair.process.configuration import HEAD_KIND, HEAD_NAME
from wardstair.process.messages import HeadGive, LoanGive
from wardstair.process.orders import (
    ApplyDocument,
    StartDrain,
    StartShift,
    StopDrain,
    find_changed_targets,
)
from wardstair.process.peers import Received
from wardstair.standins.upstream import Behaviour
from wardstair.version.document import DrainModel, ShiftModel

ZONES = ('east-a', 'west-a')
DRAIN = DrainModel(kind='upstream', name='views-west-a')
START = StartDrain(verb='drain-start', drain=DRAIN)
STOP = StopDrain(verb='drain-stop', drain=DRAIN)


def owned(trial: Trial, resource: str) -> dict[str, int]:
    """Return how many tokens of a resource each host owns."""
    return {
        name: len(host.capacity.ledgers[resource].owned)
        for name, host in trial.deployment.hosts.items()
        if resource in host.capacity.ledgers
    }


def test_a_version_reaches_hosts_that_the_platform_cannot() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        cut = deployment.hosts['west-a-2']
        cut.cut_platform()
        version = await deployment.order(START)
        await deployment.wait_version(version)
        assert cut.configuration.version == version

    run_trial(small_document(), test)


def test_an_older_head_changes_nothing() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        host = deployment.hosts['west-a-1']
        old = host.configuration.head
        assert old is not None
        version = await deployment.order(START)
        await deployment.wait_version(version)
        adopted = record_versions(host)
        late = HeadGive(1, old.base, old.blocks, old.command, old.operator)
        host.configuration.on_head_give('west-a-2', late)
        # Heads are adopted in order of arrival: the old one would come first.
        again = await deployment.order(STOP)
        await deployment.wait_version(again)
        assert adopted == [again]

    run_trial(small_document(), test)


@pytest.mark.parametrize(
    'faults',
    [
        {'duplicate_watch': True},
        {'forget_watch': True},
        {'lose_replies': 3},
        {'delay': 0.05},
    ],
)
def test_a_version_comes_into_force_through_faults(
    faults: dict[str, Any],
) -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        for name, setting in faults.items():
            setattr(deployment.platform.store.faults, name, setting)
        key = 'drain-in-bad-weather'
        version = await order_until_done(trial, key)
        await deployment.wait_version(version)
        heads = deployment.platform.store.entries[HEAD_KIND, HEAD_NAME]
        assert heads.version == version == 2

    run_trial(small_document(), test)


async def order_until_done(trial: Trial, key: str) -> int:
    """Repeat one order until its outcome is known."""
    while True:
        try:
            return await trial.deployment.order(START, key)
        except ConfigurationError:
            await asyncio.sleep(0)


def test_one_order_given_twice_makes_one_version() -> None:
    async def test(trial: Trial) -> None:
        first = await trial.deployment.order(START, 'the-same-order')
        await trial.deployment.order(STOP)
        again = await trial.deployment.order(START, 'the-same-order')
        assert again == first == 2

    run_trial(small_document(), test)


def test_orders_of_concurrent_operators_all_take_effect() -> None:
    async def test(trial: Trial) -> None:
        drains = [
            DrainModel(kind='upstream', name=f'{workload}-west-a')
            for workload in ('views', 'orders', 'uploads')
        ]
        versions = await asyncio.gather(
            *(
                trial.deployment.order(
                    StartDrain(verb='drain-start', drain=one)
                )
                for one in drains
            )
        )
        await trial.deployment.wait_version(max(versions))
        assert sorted(versions) == [2, 3, 4]
        topology = trial.deployment.hosts['west-a-1'].topology
        assert topology is not None
        assert topology.drained == frozenset(drains)

    run_trial(small_document(), test)


def test_an_order_that_is_not_valid_makes_no_version() -> None:
    async def test(trial: Trial) -> None:
        with pytest.raises(ConfigurationError, match='nowhere'):
            await trial.deployment.order(
                StartShift(
                    verb='shift-start',
                    shift=ShiftModel(
                        name='bad',
                        workload='views',
                        source='nowhere',
                        target='west',
                        cap=1,
                    ),
                ),
            )
        with pytest.raises(ConfigurationError):
            await trial.deployment.order(
                ApplyDocument(verb='apply', document={'regions': []}),
            )
        store = trial.deployment.platform.store
        assert store.entries[HEAD_KIND, HEAD_NAME].version == 1

    run_trial(small_document(), test)


def test_a_drained_upstream_gets_nothing_and_comes_back() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        await deployment.wait_version(await deployment.order(START))
        answer = await trial.send('west-a-1', 'GET', '/parts/1')
        assert kind_of(answer) == 'no-upstream'
        await deployment.wait_version(await deployment.order(STOP))
        answer = await trial.send('west-a-1', 'GET', '/parts/1')
        assert answer.code == 200

    run_trial(small_document(), test)


def test_a_busy_host_borrows_what_its_peer_leaves_idle() -> None:
    async def test(trial: Trial) -> None:
        upstream = trial.deployment.upstreams['views-west-a'].state
        upstream.behaviour = Behaviour(seconds=0.2)
        answers = await asyncio.gather(
            *(
                trial.send('west-a-1', 'GET', f'/parts/{number}')
                for number in range(6)
            )
        )
        assert [answer.code for answer in answers] == [200] * 6
        assert upstream.peak == 6

    run_trial(small_document(slots=6), test)


def test_a_restarted_host_owns_its_tokens_after_their_longest_use() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        before = owned(trial, 'views-west-a')
        model = deployment.document.hosts[0]
        await deployment.hosts[model.name].stop()
        host = await deployment.start_host(model)
        await deployment.wait_version(1)
        await deployment.wait_until(lambda: host.capacity.is_settled)
        ledger = host.capacity.ledgers['views-west-a']
        assert owned(trial, 'views-west-a') == before
        assert ledger.idle_owned == []
        answer = await trial.send(model.name, 'GET', '/parts/1')
        assert answer.code == 200

    run_trial(small_document(), test)


def test_a_restarted_host_asks_who_holds_its_upload_tokens() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        model = deployment.document.hosts[0]
        await deployment.hosts[model.name].stop()
        host = await deployment.start_host(model)
        await deployment.wait_version(1)
        await deployment.wait_until(
            lambda: (
                'uploads-west-a' in host.capacity.ledgers
                and bool(host.capacity.ledgers['uploads-west-a'].owned)
                and not host.capacity.ledgers['uploads-west-a'].unresolved
            ),
        )

    run_trial(small_document(), test)


def test_an_offer_for_a_withdrawn_loan_request_is_declined() -> None:
    async def test(trial: Trial) -> None:
        host = trial.deployment.hosts['west-a-2']
        lender = trial.deployment.hosts['west-a-1']
        offer = LoanOffer('late-loan', (0,), 5.0)
        late = LoanGive('withdrawn', 'uploads-west-a', offer)
        host.loans.on_give(Received(lender.me, late), late)
        ledger = host.capacity.ledgers['uploads-west-a']
        assert ledger.borrowed == {}

    run_trial(small_document(), test)


def test_tokens_of_a_host_that_is_gone_are_reassigned() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        gone = deployment.hosts.pop('west-a-2')
        await gone.stop()
        await deployment.hosts['west-a-1'].capacity.reassign_tokens_of(gone.me)
        assert owned(trial, 'views-west-a') == {'west-a-1': 3}

    run_trial(small_document(), test)


def test_a_zone_serves_without_platform_and_other_zones() -> None:
    async def test(trial: Trial) -> None:
        trial.deployment.platform.store.faults.down = True
        for name in ('east-a-1', 'east-a-2'):
            await trial.deployment.hosts.pop(name).stop()
        key = await trial.new_key('west-a-1')
        assert (await trial.order('west-a-2', key)).code == 200
        answer = await trial.send('west-a-1', 'GET', '/parts/1')
        assert answer.code == 200

    run_trial(small_document(zones=ZONES), test)


def test_a_key_chosen_by_a_caller_without_platform_has_unknown_outcome() -> (
    None
):
    async def test(trial: Trial) -> None:
        trial.deployment.platform.store.faults.down = True
        answer = await trial.order('west-a-1', 'own-key')
        assert kind_of(answer) == 'outcome-unknown'
        assert answer.headers['Not-Run'] == 'false'

    run_trial(small_document(), test)


def test_traffic_of_another_region_stays_under_the_cap() -> None:
    """Callers of the east are sent to the west by a shift with a cap of 2."""

    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        shift = ShiftModel(
            name='choir',
            workload='views',
            source='east',
            target='west',
            cap=2,
        )
        version = await deployment.order(
            StartShift(verb='shift-start', shift=shift),
        )
        await deployment.wait_version(version)
        west = [deployment.hosts[name] for name in ('west-a-1', 'west-a-2')]
        await deployment.wait_until(
            lambda: (
                sum(
                    len(host.capacity.ledgers['shift/choir'].idle_owned)
                    for host in west
                )
                == 2
            ),
        )
        state = deployment.upstreams['views-west-a'].state
        state.behaviour = Behaviour(seconds=0.2)
        answers = await asyncio.gather(
            *(
                trial.send(
                    f'west-a-{1 + number % 2}', 'GET', f'/parts/{number}'
                )
                for number in range(12)
            )
        )
        kinds = {kind_of(one) for one in answers if one.code != 200}
        assert kinds == {'cap-reached'}
        assert 1 <= state.peak <= 2

    blocks = [{'network': '127.0.0.0/8', 'site': 'east-site'}]
    document = small_document(zones=ZONES, slots=20, blocks=blocks)
    run_trial(document, test)


def test_a_host_that_starts_without_platform_learns_from_its_seeds() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        version = await deployment.order(START)
        await deployment.wait_version(version)
        deployment.platform.store.faults.down = True
        model = deployment.document.hosts[0]
        await deployment.hosts[model.name].stop()
        peer = deployment.hosts['west-a-2']
        seed = f'127.0.0.1:{peer.ports.peers}'
        host = await deployment.start_host(model, seeds=(seed,))
        await deployment.wait_version(version, [model.name])
        await deployment.wait_until(
            lambda: 'west-a-2' in host.fleet.live_names(),
        )
        # Without the platform it owns no tokens and borrows from its peer.
        answer = await trial.order(model.name, await trial.new_key('west-a-2'))
        assert answer.code == 200

    run_trial(small_document(), test)


def test_a_dead_host_leaves_the_lookups_of_other_zones() -> None:
    async def test(trial: Trial) -> None:
        deployment = trial.deployment
        await deployment.hosts.pop('west-a-2').stop()
        fleet = deployment.hosts['east-a-1'].fleet
        await deployment.wait_until(
            lambda: (
                [one.name for one in fleet.far_hosts('west-a')] == ['west-a-1']
            ),
        )

    run_trial(small_document(zones=ZONES), test)


def test_a_broken_link_makes_no_host_look_dead() -> None:
    """The third host passes heartbeats between two with no direct link."""

    async def test(trial: Trial) -> None:
        hosts = trial.deployment.hosts
        first, second = hosts['west-a-1'], hosts['west-a-2']
        first.links.block('west-a-2')
        second.links.block('west-a-1')
        before = first.fleet.members.members['west-a-2'].row.beat
        await trial.deployment.wait_until(
            lambda: (
                first.fleet.members.members['west-a-2'].row.beat > before + 5
            ),
        )
        assert 'west-a-2' not in first.links.linked
        assert 'west-a-2' in first.fleet.live_names()

    run_trial(small_document(hosts_a_zone=3), test)


@pytest.mark.parametrize(
    ('name', 'zones', 'faults'),
    [
        ('choir', ('east-a', 'west-a', 'west-b'), 1),
        ('choir', ('east-a', 'east-b', 'west-a'), 0),
        ('other', ('east-a', 'west-a', 'west-b'), 0),
    ],
)
def test_the_cap_of_a_running_shift_is_not_divided_again(
    name: str,
    zones: tuple[str, ...],
    faults: int,
) -> None:
    shift = {
        'workload': 'views',
        'source': 'east',
        'target': 'west',
        'cap': 2,
    }
    before = small_document(zones=ZONES, shifts=[{'name': 'choir', **shift}])
    after = small_document(zones=zones, shifts=[{'name': name, **shift}])
    assert len(find_changed_targets(before, after)) == faults
