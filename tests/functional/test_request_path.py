"""Requests end to end, with upstreams that shed, stall, exit or misbehave."""

import asyncio
from typing import Any

import pytest
from lib.documents import small_document
from lib.running import Trial, kind_of, run_trial
from tornado.simple_httpclient import HTTPStreamClosedError

from wardstair.standins.upstream import Behaviour

HOST = 'west-a-1'
OTHER = 'west-a-2'


def behave(trial: Trial, upstream: str, **changes: Any) -> None:
    """Set the behaviour of an upstream."""
    state = trial.deployment.upstreams[upstream].state
    state.behaviour = Behaviour(**changes)


def test_each_view_receives_its_own_answer() -> None:
    async def test(trial: Trial) -> None:
        answers = await asyncio.gather(
            *(
                trial.send(HOST, 'GET', f'/parts/{number}')
                for number in range(30)
            )
        )
        for number, answer in enumerate(answers):
            assert answer.code == 200
            assert f'"/parts/{number}"'.encode() in answer.body
        peak = trial.deployment.upstreams['views-west-a'].state.peak
        assert peak <= 3

    run_trial(small_document(), test)


def test_an_order_sent_again_runs_once_through_any_host() -> None:
    async def test(trial: Trial) -> None:
        key = await trial.new_key(HOST)
        hosts = [HOST, OTHER, HOST, OTHER]
        answers = await asyncio.gather(
            *(trial.order(host, key) for host in hosts)
        )
        bodies = {answer.body for answer in answers}
        assert [answer.code for answer in answers] == [200] * 4
        assert len(bodies) == 1
        state = trial.deployment.upstreams['orders-west-a'].state
        assert state.runs == {key: 1}

    run_trial(small_document(), test)


def test_a_key_of_the_callers_own_is_claimed_once() -> None:
    async def test(trial: Trial) -> None:
        answers = await asyncio.gather(
            *(trial.order(host, 'band-concert-7') for host in (HOST, OTHER))
        )
        assert [answer.code for answer in answers] == [200, 200]
        state = trial.deployment.upstreams['orders-west-a'].state
        assert state.runs == {'band-concert-7': 1}

    run_trial(small_document(), test)


@pytest.mark.parametrize(
    ('behaviour', 'status', 'kind', 'not_run', 'runs'),
    [
        ({'reset_before': True}, 502, 'outcome-unknown', 'false', 1),
        ({'foreign': True}, 502, 'outcome-unknown', 'false', 1),
        ({'shed': True}, 502, 'upstream-failed', 'true', 0),
    ],
)
def test_a_failed_order_reports_whether_it_ran(
    behaviour: dict[str, Any],
    status: int,
    kind: str,
    not_run: str,
    runs: int,
) -> None:
    async def test(trial: Trial) -> None:
        behave(trial, 'orders-west-a', **behaviour)
        key = await trial.new_key(HOST)
        answer = await trial.order(HOST, key)
        assert (answer.code, kind_of(answer)) == (status, kind)
        assert answer.headers['Not-Run'] == not_run
        state = trial.deployment.upstreams['orders-west-a'].state
        assert state.runs[key] == runs
        behave(trial, 'orders-west-a')
        again = await trial.order(OTHER, key)
        assert again.code == (200 if not_run == 'true' else 502)
        assert state.runs[key] == 1

    run_trial(small_document(), test)


def test_an_order_to_a_stopped_upstream_is_reported_as_not_run() -> None:
    async def test(trial: Trial) -> None:
        await trial.deployment.upstreams['orders-west-a'].stop()
        answer = await trial.order(HOST, await trial.new_key(HOST))
        assert answer.headers['Not-Run'] == 'true'

    run_trial(small_document(), test)


def test_the_outcome_is_unknown_after_the_owner_was_restarted() -> None:
    async def test(trial: Trial) -> None:
        key = await trial.new_key(HOST)
        owner = key.split('~')[0]
        assert (await trial.order(owner, key)).code == 200
        deployment = trial.deployment
        await deployment.hosts[owner].stop()
        model = next(
            host for host in deployment.document.hosts if host.name == owner
        )
        await deployment.start_host(model)
        await deployment.wait_version(1)
        for host in (HOST, OTHER):
            answer = await trial.order(host, key)
            assert kind_of(answer) == 'outcome-unknown'
        state = deployment.upstreams['orders-west-a'].state
        assert state.runs == {key: 1}

    run_trial(small_document(), test)


def test_a_view_is_retried_elsewhere_after_a_lost_answer() -> None:
    async def test(trial: Trial) -> None:
        behave(trial, 'views-west-a', reset_before=True)
        answer = await trial.send(HOST, 'GET', '/parts/1')
        assert answer.code == 200
        assert b'views-west-b' in answer.body
        metrics = trial.deployment.hosts[HOST].render_metrics().decode()
        assert 'reason="answer-lost"' in metrics

    run_trial(small_document(zones=('west-a', 'west-b')), test)


def test_a_request_to_a_stalled_upstream_ends_at_its_deadline() -> None:
    async def test(trial: Trial) -> None:
        behave(trial, 'views-west-a', stall=True)
        answer = await trial.send(
            HOST,
            'GET',
            '/parts/1',
            headers={'Deadline-Ms': '200'},
        )
        assert (answer.code, kind_of(answer)) == (504, 'deadline-passed')
        state = trial.deployment.upstreams['views-west-a'].state
        await trial.deployment.wait_until(lambda: state.in_flight == 0)

    run_trial(small_document(), test)


def test_an_incomplete_answer_closes_the_connection() -> None:
    async def test(trial: Trial) -> None:
        behave(trial, 'views-west-a', reset_after=True)
        with pytest.raises(HTTPStreamClosedError):
            await trial.send(HOST, 'GET', '/parts/1')

    run_trial(small_document(), test)


def test_a_request_is_cancelled_upstream_when_its_caller_disconnects() -> None:
    # Uploads have no deadline that could end the request instead.
    async def test(trial: Trial) -> None:
        behave(trial, 'uploads-west-a', stall=True)
        state = trial.deployment.upstreams['uploads-west-a'].state
        port = trial.deployment.hosts[HOST].ports.callers
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'PUT /uploads/1 HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 2\r\n\r\nab',
        )
        await state.started.wait()
        writer.close()
        await trial.deployment.wait_until(lambda: state.cancelled == 1)
        host = trial.deployment.hosts[HOST]
        await trial.deployment.wait_until(
            lambda: host.capacity.ledgers['uploads-west-a'].in_use == 0,
        )

    run_trial(small_document(), test)


def test_an_idle_upstream_ends_the_request_with_an_error() -> None:
    # Uploads have no deadline: only the idle timeout ends them, and the caller
    # has to receive an error.
    async def test(trial: Trial) -> None:
        behave(trial, 'uploads-west-a', stall=True)
        answer = await trial.send(HOST, 'PUT', '/uploads/1', body=b'scan')
        assert (answer.code, kind_of(answer)) == (502, 'upstream-failed')
        assert answer.headers['Not-Run'] == 'false'

    run_trial(small_document(idle_seconds=0.5), test)


def test_a_large_answer_goes_through_in_bounded_memory() -> None:
    async def test(trial: Trial) -> None:
        size = 8 * 1024 * 1024
        behave(trial, 'views-west-a', answer_bytes=size)
        answer = await trial.send(HOST, 'GET', '/parts/1')
        assert len(answer.body) == size

    run_trial(small_document(), test)


@pytest.mark.parametrize(
    ('lines', 'status'),
    [
        (b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n', b'400'),
        (b'Content-Length: 4\r\nContent-Length: 5\r\n', b'400'),
        (b'Content-Length: -4\r\n', b'400'),
        (b'X-Wardstair-Purpose: serve\r\n', b'400'),
        (b'Deadline-Ms: soon\r\n', b'400'),
    ],
)
def test_malformed_requests_are_refused(lines: bytes, status: bytes) -> None:
    async def test(trial: Trial) -> None:
        port = trial.deployment.hosts[HOST].ports.callers
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'PUT /uploads/1 HTTP/1.1\r\nHost: x\r\n' + lines + b'\r\nabcd',
        )
        assert status in await reader.readline()
        writer.close()
        assert trial.deployment.upstreams['uploads-west-a'].state.received == 0

    run_trial(small_document(), test)


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'kind'),
    [
        ('GET', '/nothing', 404, 'no-route'),
        ('POST', '/orders', 428, 'key-required'),
        ('GET', '/v1/lookup?workload=none', 404, 'no-route'),
    ],
)
def test_refusals_state_their_kind(
    method: str,
    path: str,
    status: int,
    kind: str,
) -> None:
    async def test(trial: Trial) -> None:
        body = b'x' if method == 'POST' else None
        answer = await trial.send(HOST, method, path, body=body)
        assert (answer.code, kind_of(answer)) == (status, kind)

    run_trial(small_document(), test)


def test_a_streamed_upload_completes_during_a_planned_stop() -> None:
    async def test(trial: Trial) -> None:
        host = trial.deployment.hosts[HOST]
        state = trial.deployment.upstreams['uploads-west-a'].state
        leaving = asyncio.Event()
        drained: list[asyncio.Task[float]] = []

        async def produce(write: Any) -> None:
            await write(b'a' * 1000)
            await state.started.wait()
            drained.append(asyncio.ensure_future(host.drain()))
            await trial.deployment.wait_until(lambda: host.is_stopping)
            leaving.set()
            await write(b'b' * 1000)

        answer = await trial.send(
            HOST,
            'PUT',
            '/uploads/1',
            body_producer=produce,
        )
        assert leaving.is_set()
        assert answer.code == 200
        assert state.body_bytes == 2000
        await drained[0]

    run_trial(small_document(), test)


def test_a_leaving_host_is_in_no_lookup() -> None:
    async def test(trial: Trial) -> None:
        host = trial.deployment.hosts[HOST]
        drain = asyncio.ensure_future(host.drain())
        other = trial.deployment.hosts[OTHER]
        await trial.deployment.wait_until(
            lambda: other.fleet.members.members[HOST].row.leaving,
        )
        found = await trial.lookup(OTHER, 'views')
        assert [one['name'] for one in found['hosts']] == [OTHER]
        await drain

    run_trial(small_document(), test)


def test_a_leaving_upstream_gets_no_new_work() -> None:
    async def test(trial: Trial) -> None:
        behave(trial, 'views-west-a', leaving=True)
        await trial.send(HOST, 'GET', '/parts/1')
        state = trial.deployment.upstreams['views-west-a'].state
        host = trial.deployment.hosts[HOST]
        view = host.pool.views['views-west-a']
        await trial.deployment.wait_until(
            lambda: view.health.leaving_until > 0,
        )
        before = state.received
        answer = await trial.send(HOST, 'GET', '/parts/2')
        assert b'views-west-b' in answer.body
        assert state.received == before

    run_trial(small_document(zones=('west-a', 'west-b')), test)
