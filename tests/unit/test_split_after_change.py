"""Tests of the shares of a split route after its weights change.

Guards against a service that gets no requests after a change of the weights.
A host sends the next request to the service that is furthest behind its weight,
by a tally of what it has sent. If the tally outlives a change, requests sent
under the old weights count against the new ones.

In the failure a route was split three to one, then sent to its first service
alone, and two versions later split one to three on all hosts within 0.03 s. The
first service then got none of 570 requests for more than half a minute, though
its share was a quarter. After about 90 requests under the first weights, a host
needs about 150 more to make up for the difference: 50 s at 3 a second. On
single hosts the first requests were sent to it again after 22 s.
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
# Permitted error of a share; users tolerate 0.2.
TOLERANCE = 0.06


@dataclass(frozen=True)
class Phase:
    """A version of a split route, and the requests a host sends under it."""

    weights: dict[str, float]
    requests: int


def share_after(
    phases: list[Phase], last: dict[str, float], name: str
) -> float:
    """Return the share of a service in the requests under the last weights."""
    sent = Counter[str]()
    for number in range(HOSTS):
        random = Random(number)
        splitter = TrafficSplitter()
        all_phases = [*phases, Phase(last, NEXT_REQUESTS // HOSTS)]
        for phase in all_phases:
            route = route_of(phase.weights)
            chosen = Counter(
                splitter.service_of(route, f'key {random.randrange(KEYS)}')
                for _ in range(phase.requests)
            )
        sent += chosen
    return sent[name] / sent.total()


@pytest.mark.parametrize(
    'phases',
    [
        # The weights of the failure.
        [Phase({'bind': 3, 'quote': 1}, 90), Phase({'bind': 1}, 84)],
        # Weights swapped directly, and in two steps.
        [Phase({'bind': 3, 'quote': 1}, 90)],
        [
            Phase({'bind': 9, 'quote': 1}, 400),
            Phase({'bind': 6, 'quote': 4}, 20),
        ],
        # A service that is new, and one whose weight was 0.
        [Phase({'bind': 1, 'other': 1}, 400)],
        [Phase({'bind': 0, 'quote': 1}, 400)],
    ],
)
def test_shares_follow_the_weights_after_a_change(phases: list[Phase]) -> None:
    share = share_after(phases, {'bind': 1, 'quote': 3}, 'bind')
    assert share == pytest.approx(0.25, abs=TOLERANCE)


def test_a_version_with_the_same_weights_keeps_the_tally() -> None:
    """Keys keep their services if only other fields of the route change."""
    route = route_of({'bind': 1, 'quote': 3})
    random = Random(1)
    keys = [f'key {random.randrange(KEYS)}' for _ in range(400)]
    chosen = []
    for after in (route, replace(route, timeout=route.timeout * 2)):
        splitter = TrafficSplitter()
        for key in keys[:200]:
            splitter.service_of(route, key)
        splitter.drop_unsplit([after])
        chosen.append([splitter.service_of(after, key) for key in keys[200:]])
    assert chosen[0] == chosen[1]


@pytest.mark.parametrize('weights', [{'bind': 1}, None])
def test_tallies_of_routes_that_are_no_longer_split_are_dropped(
    weights: dict[str, float] | None,
) -> None:
    splitter = TrafficSplitter()
    splitter.service_of(route_of({'bind': 3, 'quote': 1}), 'key')
    assert splitter.routes == {'read'}
    splitter.drop_unsplit([] if weights is None else [route_of(weights)])
    assert splitter.routes == set()
