"""Resends of all hosts to a failing service stay within the limit."""

import pytest
from lib.resend_load import FailingService, Restarts, play

SEEDS = range(5)


@pytest.mark.parametrize(
    'service',
    [
        FailingService(),
        FailingService(share=0.3),
        FailingService(start=0.0),
        FailingService(requests_per_second=20),
    ],
)
def test_resends_stay_within_the_limit(service: FailingService) -> None:
    for seed in SEEDS:
        assert play(service, seed).excess() <= 0


@pytest.mark.parametrize(
    'service',
    [
        FailingService(restarts=[Restarts(10.8)]),
        FailingService(restarts=[Restarts(10.3), Restarts(14.3)]),
        FailingService(share=0.5, restarts=[Restarts(11.0)]),
        FailingService(requests_per_second=100, restarts=[Restarts(10.8)]),
        FailingService(
            requests_per_second=6,
            restarts=[Restarts(at) for at in (9.5, 11.5, 13.5, 15.5, 17.5)],
        ),
        FailingService(
            restarts=[Restarts(9.5 + 0.2 * n, share=0.1) for n in range(30)],
        ),
        FailingService(hosts=6, restarts=[Restarts(10.8)]),
        FailingService(
            hosts=1200,
            requests_per_second=2000,
            restarts=[Restarts(10.3), Restarts(14.3)],
            seconds=20,
        ),
        FailingService(
            hosts=88,
            requests_per_second=663,
            restarts=[Restarts(10.8), Restarts(12.8, share=0.5)],
        ),
    ],
)
def test_resends_of_hosts_that_forget_their_counts_stay_within_the_limit(
    service: FailingService,
) -> None:
    for seed in SEEDS:
        assert play(service, seed).excess() <= 0
