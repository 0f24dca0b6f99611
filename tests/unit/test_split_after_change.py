"""The weights of a split route after a change of them.

What users saw: for more than half a minute after a new version of the
configuration one part of a split route got none of 570 requests, and its
weight said a quarter. Nothing was refused, nothing was at fault, all hosts
behaved alike.

The order of events: the route was divided three quarters to one; a version
later the first part had it alone; two versions later, on all hosts within
0.03 s, it was divided one quarter to three.

The cause: each host keeps what it has sent to each part and gives the next
request to the part that is furthest behind its weight. It kept that by the
route's name, over versions: what had been sent by the old weights counted
against the new ones.

The evidence: by the hosts' logs the first part got 63 of 81 requests by the
first weights and 0 of 353 by the last ones, though every host had taken the
version over; with some 90 requests of each host by the first weights the
first part counts as half of all requests ahead, which takes some 150 further
requests of that host to wear off, 50 s at 3 a second. The first requests came
back to it after 22 s, on single hosts.
"""

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

import pytest
from lib.routes import route_of

from wardstair.gateway.splitting import TrafficSplitter

HOSTS = 12
KEYS = 27
NEXT_REQUESTS = 570
# How far a part may be off; users bear 0.2.
TOLERANCE = 0.06


@dataclass(frozen=True)
class Span:
    """A version of a split route and the requests of a host by it."""

    weights: dict[str, float]
    requests: int


def share_after(spans: list[Span], last: dict[str, float], name: str) -> float:
    """Return a part's share of a fleet's requests by the last weights."""
    sent = Counter[str]()
    for number in range(HOSTS):
        random = Random(number)
        splits = TrafficSplitter()
        spans_of_host = [*spans, Span(last, NEXT_REQUESTS // HOSTS)]
        for span in spans_of_host:
            route = route_of(span.weights)
            chosen = Counter(
                splits.service_of(route, f'key {random.randrange(KEYS)}')
                for _ in range(span.requests)
            )
        sent += chosen
    return sent[name] / sent.total()


@pytest.mark.parametrize(
    'spans',
    [
        # As users met it.
        [Span({'bind': 3, 'quote': 1}, 90), Span({'bind': 1}, 84)],
        # Turned round at once, and in steps.
        [Span({'bind': 3, 'quote': 1}, 90)],
        [
            Span({'bind': 9, 'quote': 1}, 400),
            Span({'bind': 6, 'quote': 4}, 20),
        ],
        # A part that was away, and one that has another beside it now.
        [Span({'bind': 1, 'other': 1}, 400)],
        [Span({'bind': 0, 'quote': 1}, 400)],
    ],
)
def test_parts_follow_the_weights_after_a_change(spans: list[Span]) -> None:
    share = share_after(spans, {'bind': 1, 'quote': 3}, 'bind')
    assert share == pytest.approx(0.25, abs=TOLERANCE)


def test_a_version_with_the_same_weights_changes_nothing() -> None:
    """Other fields of a route change, and its keys stay where they are."""
    route = route_of({'bind': 1, 'quote': 3})
    random = Random(1)
    keys = [f'key {random.randrange(KEYS)}' for _ in range(400)]
    chosen = []
    for after in (route, replace(route, timeout=route.timeout * 2)):
        splits = TrafficSplitter()
        for key in keys[:200]:
            splits.service_of(route, key)
        splits.drop_unsplit([after])
        chosen.append([splits.service_of(after, key) for key in keys[200:]])
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize('weights', [{'bind': 1}, None])
def test_nothing_is_kept_for_routes_that_are_not_split_any_more(
    weights: dict[str, float] | None,
) -> None:
    splits = TrafficSplitter()
    splits.service_of(route_of({'bind': 3, 'quote': 1}), 'key')
    assert splits.routes == {'read'}
    splits.drop_unsplit([] if weights is None else [route_of(weights)])
    assert splits.routes == set()
