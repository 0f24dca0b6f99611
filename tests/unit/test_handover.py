"""Which host takes a request that another cannot send to an upstream."""

from collections import Counter
from random import Random

import pytest

from wardstair.decisions.handover import HelpAsk, Helper, choose_helper
from wardstair.decisions.reachability import ALL, service_group
from wardstair.fleet.relaying import (
    RelayedAnswer,
    RelayedRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
VIEWS = service_group('views')
NEAR = Helper('near', 'a2')
FAR = Helper('far', 'b1')


def ask(**fields: frozenset[str]) -> HelpAsk:
    return HelpAsk('a', frozenset((ALL, VIEWS)), **fields)


@pytest.mark.parametrize(
    ('helpers', 'wanted', 'chosen'),
    [
        ([NEAR, FAR], ask(), 'near'),
        ([FAR], ask(), 'far'),
        ([], ask(), None),
        # Who is cut off as well, from everything or from the service.
        ([Helper('near', 'a2', (ALL,)), FAR], ask(), 'far'),
        ([Helper('near', 'a2', (VIEWS,)), FAR], ask(), 'far'),
        ([Helper('near', 'a2', (service_group('other'),)), FAR], ask(), 'far'),
        ([Helper('near', 'a2', (service_group('other'),))], ask(), 'near'),
        ([Helper('near', 'a2', (ALL,))], ask(), None),
        # Whom nobody hears, only after all who are heard.
        ([Helper('near', 'a2', is_heard=False), FAR], ask(), 'far'),
        ([Helper('near', 'a2', is_heard=False)], ask(), 'near'),
        # Whoever is busy after whoever is not, but not after another region.
        ([Helper('near', 'a2', is_busy=True), Helper('x', 'a1')], ask(), 'x'),
        ([Helper('near', 'a2', is_busy=True), FAR], ask(), 'near'),
        # A body goes to no host outside the regions that may serve it.
        ([NEAR, FAR], ask(homes=frozenset('b')), 'far'),
        ([NEAR], ask(homes=frozenset('b')), None),
        ([NEAR, FAR], ask(tried=frozenset(('near',))), 'far'),
    ],
)
def test_the_nearest_host_that_reaches_upstreams_takes_it(
    helpers: list[Helper],
    wanted: HelpAsk,
    chosen: str | None,
) -> None:
    found = choose_helper(helpers, wanted, REGIONS, Random(1))
    assert (found and found.name) == chosen


@pytest.mark.parametrize('seed', range(5))
def test_help_is_spread_by_load(seed: int) -> None:
    random = Random(seed)
    loads = dict.fromkeys(('a', 'b', 'c', 'd'), 0.0)
    taken = Counter[str]()
    for _ in range(400):
        helpers = [
            Helper(name, 'a1', load=load) for name, load in loads.items()
        ]
        chosen = choose_helper(helpers, ask(), REGIONS, random)
        assert chosen is not None
        taken[chosen.name] += 1
        loads[chosen.name] += 1
    assert max(taken.values()) - min(taken.values()) <= 10


REQUEST = RelayedRequest(
    request_id='r1',
    method='POST',
    target='/order/x?y=%20',
    host='music.example',
    key=None,
    headers=(('Cookie', 'k=1'), ('X', 'é')),
    body=b'\x00\xff',
    seconds=1.25,
    organisation='choir',
    service='views',
    version=7,
    sends=1,
    tried=('i-1',),
)
ANSWER = RelayedAnswer(
    status=503,
    reason='Service Unavailable',
    headers=(('Retry-After', '0.10'),),
    body=b'{}',
    is_own=True,
    lost=(ALL,),
)


def test_what_two_hosts_tell_each_other_arrives_as_it_was() -> None:
    assert decode_request(encode_request(REQUEST)) == REQUEST
    assert decode_answer(encode_answer(ANSWER)) == ANSWER


@pytest.mark.parametrize(
    'document', [b'', b'\x00', b'\x80', b'\x81\x18\x63', encode_answer(ANSWER)]
)
def test_what_is_no_relayed_request_is_not_read(document: bytes) -> None:
    assert decode_request(document) is None
