"""Hosts that are cut off from all upstreams, and the service they provide."""

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak.proxy import CutWay

if TYPE_CHECKING:
    from soak.faults import Scene
    from soak.ledger import Try

# The documented time after the start of a cut by which callers must be served
# again, and how long the cut lasts after that.
CONTACT_SECONDS = 4.0
CHECKED_SECONDS = 3.0
# Minimum ratio of the success rate at hosts that are cut off to that at other
# hosts, and the failures that are tolerated. The documented rule is violated
# only if both are exceeded.
MIN_SHARE = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_SHARE = 1 / 50


@dataclass
class CutOff:
    """A period in which some hosts reach no upstream.

    Attributes:
        hosts: Names of the hosts.
        way: How their connections are cut.
        begin: Monotonic time from which their callers must be served.
        end: Monotonic time at which the cut ended.
    """

    hosts: frozenset[str]
    way: str
    begin: float = field(
        default_factory=lambda: time.monotonic() + CONTACT_SECONDS,
    )
    end: float = float('-inf')

    def check(self, tries: Iterable['Try']) -> list[str]:
        """Return a description of each violation.

        Args:
            tries: All requests of callers.
        """
        sent = [one for one in tries if self.begin <= one.sent_at < self.end]
        here = [one for one in sent if _host(one) in self.hosts]
        others = [one for one in sent if _host(one) not in self.hosts]
        failed = sum(one.status != 200 for one in here)
        is_tolerated = failed <= TOLERATED_FAILURES + TOLERATED_SHARE * len(
            sent
        )
        if is_tolerated or _share(here) >= MIN_SHARE * _share(others):
            return []
        return [
            f'hosts cut off by {self.way} served {len(here) - failed} of '
            f'{len(here)}, the others {_share(others):.2f} of {len(others)}',
        ]


async def cut_off(scene: 'Scene') -> None:
    """Cut off up to half of the hosts from all upstreams for a while."""
    async with scene.cutting:
        most = max(1, len(scene.gateways) // 2)
        amount = scene.random.randint(1, most)
        cut = scene.random.sample(scene.gateways, amount)
        way = scene.cut_way or scene.random.choice(list(CutWay))
        cut_period = CutOff(frozenset(one.place.name for one in cut), way)
        scene.ledger.cuts.append(cut_period)
        addresses = [one.place.address for one in cut]
        for upstream in scene.upstreams:
            upstream.proxy.cut(addresses, way)
        await asyncio.sleep(CONTACT_SECONDS + CHECKED_SECONDS)
        cut_period.end = time.monotonic()
        for upstream in scene.upstreams:
            upstream.proxy.mend(addresses)


def _host(one: 'Try') -> str:
    return one.gateway.partition('/')[0]


def _share(tries: list['Try']) -> float:
    if not tries:
        return 1.0
    return sum(one.status == 200 for one in tries) / len(tries)
