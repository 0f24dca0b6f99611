"""Tests of how messages about roll-outs travel between hosts."""

import asyncio
from collections import Counter
from random import Random

import pytest
from lib.beats import beat_of, peer_of
from lib.revisions import at

from wardstair.decisions.rollouts import RolloutStage
from wardstair.fleet import rollout_endpoint
from wardstair.fleet.members import Members
from wardstair.fleet.rollout_endpoint import RolloutEndpoint
from wardstair.fleet.rollout_messages import (
    ReportBundle,
    RolloutMessage,
    RolloutPlan,
    RolloutReport,
    decode_message,
    encode_message,
)

NEAR = ('z-1', 'z-2', 'z-3', 'z-4', 'z-5')
FAR = 'y-1'
SOURCE = ('127.0.0.1', 1)
REPORT = RolloutReport(
    sender='z-9',
    zone='z',
    run=1,
    number=1,
    service='views',
    version='v2',
    requests=5,
    sent=1,
    allowed=2,
    can_use_more=True,
)
PLAN = RolloutPlan('views', 'v2', at(3), 1, RolloutStage.testing, 0.1)


class Endpoint(RolloutEndpoint):
    """An endpoint that keeps what it would send."""

    def __init__(self, own: str, *, is_sentinel: bool = False) -> None:
        members = Members(peer_of(own), lambda: 1.0, lambda: True)
        for name in NEAR:
            if name != own:
                members.hear(beat_of(peer_of(name)))
        members.hear(beat_of(peer_of(FAR, 'y'), is_sentinel=True))
        members.is_sentinel = lambda: is_sentinel
        super().__init__(members, 1, Random(1))
        self.members = members
        self.out: list[tuple[str, RolloutMessage]] = []
        self.reports: list[RolloutReport] = []
        self.plans: list[RolloutPlan] = []
        self.on_report = self.reports.append
        self.on_plan = self.plans.append
        self.far_addresses = lambda: {FAR}

    def recipients(self) -> Counter[str]:
        return Counter(address for address, _ in self.out)

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        message = decode_message(datagram)
        assert message is not None
        self.out.append((address, message))


RELAYS = Endpoint(NEAR[0]).members.relays
RELAY = RELAYS[0]
OTHER = next(name for name in NEAR if name not in RELAYS)


def test_a_host_reports_to_the_relays_of_its_zone_only() -> None:
    endpoint = Endpoint(OTHER)
    endpoint.own_reports = lambda: [REPORT]
    endpoint.report()
    assert endpoint.recipients() == Counter(RELAYS)


def test_a_relay_passes_reports_on_to_the_sentinels() -> None:
    endpoint = Endpoint(RELAY)
    endpoint.datagram_received(encode_message(REPORT), SOURCE)
    endpoint.own_reports = lambda: [REPORT]
    endpoint.report()
    bundled = [
        message
        for address, message in endpoint.out
        if isinstance(message, ReportBundle) and address == FAR
    ]
    assert [len(bundle.reports) for bundle in bundled] == [2]
    endpoint.out.clear()
    endpoint.own_reports = list
    endpoint.report()
    assert not endpoint.out


def test_a_sentinel_takes_reports_of_its_zone_and_of_itself() -> None:
    endpoint = Endpoint(RELAY, is_sentinel=True)
    endpoint.datagram_received(encode_message(REPORT), SOURCE)
    endpoint.own_reports = lambda: [REPORT]
    endpoint.report()
    assert endpoint.reports == [REPORT, REPORT]


def test_a_bundle_is_taken_apart() -> None:
    endpoint = Endpoint(RELAY, is_sentinel=True)
    bundle = ReportBundle((encode_message(REPORT), b'broken'))
    endpoint.datagram_received(encode_message(bundle), SOURCE)
    assert endpoint.reports == [REPORT]


def test_a_report_that_both_relays_pass_on_is_taken_once() -> None:
    endpoint = Endpoint(RELAY, is_sentinel=True)
    bundle = encode_message(ReportBundle((encode_message(REPORT),)))
    endpoint.datagram_received(bundle, SOURCE)
    endpoint.datagram_received(bundle, SOURCE)
    assert endpoint.reports == [REPORT]


def test_a_plan_reaches_the_own_zone_and_a_relay_of_each_other() -> None:
    endpoint = Endpoint(RELAY, is_sentinel=True)
    zones: list[str] = []

    def plan_of(zone: str) -> RolloutPlan:
        zones.append(zone)
        return PLAN

    endpoint.send_plan(plan_of)
    assert endpoint.recipients() == Counter({*NEAR, FAR} - {RELAY})
    assert sorted(zones) == ['y', 'z']
    assert endpoint.plans == [PLAN]
    forwarded = {
        address: message.is_forwarded
        for address, message in endpoint.out
        if isinstance(message, RolloutPlan)
    }
    assert [name for name in forwarded if not forwarded[name]] == [FAR]


@pytest.mark.parametrize('is_forwarded', [True, False])
def test_a_plan_is_forwarded_to_the_zone_once(is_forwarded: bool) -> None:
    endpoint = Endpoint(RELAY)
    (plan,) = PLAN.parts(is_forwarded=is_forwarded)
    endpoint.datagram_received(encode_message(plan), SOURCE)
    assert endpoint.plans == [plan]
    expected = set() if is_forwarded else {*NEAR} - {RELAY}
    assert set(endpoint.recipients()) == expected


@pytest.mark.parametrize('is_active', [True, False])
def test_reports_are_sent_only_while_a_roll_out_is_in_progress(
    is_active: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rollout_endpoint, 'REPORT_SECONDS', 0.001)

    async def main() -> int:
        endpoint = Endpoint(OTHER)
        endpoint.is_active = lambda: is_active
        endpoint.own_reports = lambda: [REPORT]
        running = asyncio.ensure_future(endpoint.run())
        for _ in range(20):
            await asyncio.sleep(0.002)
            if endpoint.out:
                break
        running.cancel()
        return len(endpoint.out)

    assert bool(asyncio.run(main())) is is_active
