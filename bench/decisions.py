"""Measures the time of decisions at the planned size, and token grants.

Prints tables and asserts nothing. The comparison of grants simulates requests
on the real ledgers, with exponential times between arrivals and exponential
service times. A request that finds no token waits up to two seconds, as on an
entry host.
"""

import gc
import heapq
import sys
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'tests'))

from lib.documents import small_document  # noqa: E402

from wardstair.decisions.choice import Candidate, choose  # noqa: E402
from wardstair.decisions.ledger import (  # noqa: E402
    Identity,
    Ledger,
    LoanReturn,
    PendingLoanRequest,
    choose_loan_request,
)
from wardstair.decisions.policies import (  # noqa: E402
    HeadroomFirst,
    LeastInFlight,
    Nearest,
    Policy,
    Weighted,
    ZoneView,
    draw,
    weigh,
)
from wardstair.version.document import UpstreamModel  # noqa: E402
from wardstair.version.parts import pack, unpack  # noqa: E402
from wardstair.version.resources import zone_resources  # noqa: E402
from wardstair.version.topology import build_topology  # noqa: E402

ZONES = 62
HOSTS = 20
UPSTREAMS_PER_ZONE = 80
HOLD_SECONDS = 6.0
WAIT_SECONDS = 2.0
LOAN_DELAY = 0.002
RUN_SECONDS = 100.0
MEAN_SECONDS = 0.1


def timed(work: Callable[[], object], repetitions: int) -> float:
    """Return the mean time of a call, in microseconds."""
    started = time.perf_counter()
    for _ in range(repetitions):
        work()
    return (time.perf_counter() - started) / repetitions * 1e6


def time_choice() -> None:
    """Time the choice of an upstream."""
    print('choice of an upstream: candidates, us')
    for count in (4, 24, 180, 1200):
        candidates = [
            Candidate(str(number), 3, number % 5, 0.01)
            for number in range(count)
        ]
        random = Random(1)
        micros = timed(
            partial(choose, candidates, frozenset(), random),
            2000,
        )
        print(f'  {count:5}  {micros:8.1f}')


def time_policies() -> None:
    """Time each policy.

    An entry host computes weights twice a second and draws once a request.
    """
    policies: dict[str, Policy] = {
        'nearest': Nearest(),
        'weighted': Weighted({f'z{number}': 1.0 for number in range(1200)}),
        'least-in-flight': LeastInFlight(),
        'headroom-first': HeadroomFirst(),
    }
    print('policies: zones, us to weigh, us to draw')
    for name, policy in policies.items():
        for count in (24, 180, 1200):
            zones = [
                ZoneView(f'z{number}', number % 50, 90, 1 + number % 80)
                for number in range(count)
            ]
            weights = weigh(policy, zones)
            random = Random(1)
            weighing = timed(partial(weigh, policy, zones), 200)
            drawing = timed(partial(draw, weights, random), 500)
            print(f'  {name:16} {count:5} {weighing:9.1f} {drawing:8.1f}')


def time_document() -> None:
    """Time the adoption of a configuration version of the planned size."""
    zones = tuple(f'r{zone // 3}-{zone}' for zone in range(ZONES))
    document = small_document(zones=zones, hosts_a_zone=HOSTS)
    upstreams = tuple(
        UpstreamModel(
            name=f'up-{zone}-{number}',
            zone=zone,
            workload=('views', 'orders', 'uploads')[number % 3],
            address='127.0.0.1:8080',
            slots=9,
        )
        for zone in zones
        for number in range(UPSTREAMS_PER_ZONE)
    )
    document = document.model_copy(update={'upstreams': upstreams})
    package = pack(document, 'key', 'bench')
    size = len(package.parts[package.head.base])
    del document, upstreams
    gc.collect()
    started = time.perf_counter()
    unpacked = unpack(package.head, package.parts).unwrap()
    unpacking = time.perf_counter() - started
    started = time.perf_counter()
    topology = build_topology(1, unpacked.document, unpacked.table)
    resources = zone_resources(topology, zones[0])
    indexing = time.perf_counter() - started
    del unpacked, topology
    gc.collect()
    tracemalloc.start()
    unpacked = unpack(package.head, package.parts).unwrap()
    topology = build_topology(1, unpacked.document, unpacked.table)
    assert topology.version == 1
    kept = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(
        f'a version with {ZONES * HOSTS} hosts and '
        f'{ZONES * UPSTREAMS_PER_ZONE} upstreams: part {size / 1000:.0f} KB, '
        f'unpacked in {unpacking * 1000:.0f} ms, indexed in '
        f'{indexing * 1000:.0f} ms, {kept:.1f} MB kept, '
        f'{len(resources)} resources a zone',
    )


@dataclass
class Sender:
    """An entry host in the comparison of grants."""

    name: Identity
    ledger: Ledger
    rate: float
    waiting: deque[float] = field(default_factory=deque)


@dataclass
class Outcome:
    """Results of a scheme.

    Attributes:
        served: Requests served.
        late: Requests dropped after the longest wait.
        waited: Total wait of the served requests, in seconds.
        peak: Largest number of requests in service at once.
    """

    served: int = 0
    late: int = 0
    waited: float = 0.0
    peak: int = 0


def simulate(
    scheme: str,
    slots: int,
    hosts: int,
    load: float,
    skew: float,
    seed: int,
) -> Outcome:
    """Simulate requests under an allocation scheme.

    Args:
        scheme: `perfect`, `static` or `ledger`.
        slots: Slots of the upstream.
        hosts: Hosts that send to it.
        load: Offered load as a fraction of the slots.
        skew: Ratio of the arrival rate of the first host to that of the
            last.
        seed: Seed of arrival and service times.
    """
    random = Random(seed)
    shares = [
        1 + (skew - 1) * (hosts - 1 - n) / max(hosts - 1, 1)
        for n in range(hosts)
    ]
    total = slots * load / MEAN_SECONDS
    senders = [
        Sender(
            Identity(str(n), '1'),
            Ledger(HOLD_SECONDS),
            total * share / sum(shares),
        )
        for n, share in enumerate(shares)
    ]
    if scheme == 'perfect':
        senders[0].ledger = Ledger(HOLD_SECONDS)
        for sender in senders:
            sender.ledger = senders[0].ledger
    for token in range(slots):
        senders[token % hosts].ledger.adopt(token, 0.0, 0.0)
    return _Simulation(scheme, senders, random).run()


class _Simulation:
    """Discrete-event simulation of one scheme."""

    def __init__(
        self,
        scheme: str,
        senders: list[Sender],
        random: Random,
    ) -> None:
        self.scheme = scheme
        self.senders = senders
        self.random = random
        self.outcome = Outcome()
        self.events: list[tuple[float, int, str, int, int]] = []
        self.number = 0
        self.busy = 0
        self.loans = 0
        self.pending_requests: dict[
            int,
            dict[Identity, PendingLoanRequest],
        ] = {}
        self.next_borrow: dict[int, float] = {}

    def run(self) -> Outcome:
        """Process the events until the end of the simulated time."""
        for index, sender in enumerate(self.senders):
            self.push(self.random.expovariate(sender.rate), 'arrive', index)
        while self.events:
            now, _, kind, index, token = heapq.heappop(self.events)
            if now > RUN_SECONDS:
                return self.outcome
            getattr(self, kind)(now, index, token)
        return self.outcome

    def push(self, at: float, kind: str, index: int, token: int = 0) -> None:
        """Schedule an event."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, index, token))

    def arrive(self, now: float, index: int, _token: int) -> None:
        """Handle the arrival of a request at a host."""
        sender = self.senders[index]
        self.push(now + self.random.expovariate(sender.rate), 'arrive', index)
        sender.waiting.append(now)
        self.serve(now, index)

    def serve(self, now: float, index: int) -> None:
        """Start waiting requests while tokens last; borrow for the rest."""
        sender = self.senders[index]
        while sender.waiting:
            if now - sender.waiting[0] > WAIT_SECONDS:
                sender.waiting.popleft()
                self.outcome.late += 1
                continue
            slot = sender.ledger.take(now)
            if slot is None:
                break
            self.outcome.waited += now - sender.waiting.popleft()
            self.outcome.served += 1
            self.busy += 1
            self.outcome.peak = max(self.outcome.peak, self.busy)
            ends = now + self.random.expovariate(1 / MEAN_SECONDS)
            self.push(ends, 'finish', index, slot.token)
        is_borrow_pending = self.next_borrow.get(index, 0) > now
        if sender.waiting and self.scheme == 'ledger' and not is_borrow_pending:
            self.next_borrow[index] = now + 0.05
            self.push(now + LOAN_DELAY, 'borrow', index)

    def finish(self, now: float, index: int, token: int) -> None:
        """Handle the end of a request and put its token back."""
        self.busy -= 1
        sender = self.senders[index]
        keeps_loans = bool(sender.waiting)
        back = sender.ledger.put_back(token, now, keeps_loans=keeps_loans)
        if back is not None:
            self.process_return(now, back)
        self.lend_freed_token(now, index)
        indices = range(len(self.senders))
        for host in indices if self.scheme == 'perfect' else (index,):
            self.serve(now, host)

    def process_return(self, now: float, back: LoanReturn) -> None:
        """Return tokens to their owner, which lends or uses them."""
        lender = int(back.lender.name)
        self.senders[lender].ledger.reclaim(back.loan, back.tokens)
        self.lend_freed_token(now, lender)
        self.serve(now, lender)

    def lend_freed_token(self, now: float, index: int) -> None:
        """Lend a freed token to the longest queue with a pending request."""
        owner = self.senders[index]
        requests = self.pending_requests.get(index, {})
        chosen = choose_loan_request(requests.values(), len(owner.waiting), now)
        if chosen is None:
            return
        self.loans += 1
        offer = owner.ledger.lend(chosen.borrower, 1, str(self.loans), now)
        if offer is None:
            return
        requests.pop(chosen.borrower)
        borrower = int(chosen.borrower.name)
        self.senders[borrower].ledger.accept(
            owner.name,
            offer,
            now - LOAN_DELAY,
        )
        self.push(now + LOAN_DELAY / 2, 'retry', borrower)

    def retry(self, now: float, index: int, _token: int) -> None:
        """Use a token lent in answer to a pending loan request."""
        self.serve(now, index)

    def borrow(self, now: float, index: int, _token: int) -> None:
        """Request tokens from the others, most idle tokens first."""
        sender = self.senders[index]
        if not sender.waiting:
            return
        for returned in sender.ledger.expire(now):
            self.process_return(now, returned)
        others = sorted(
            (one for one in self.senders if one is not sender),
            key=lambda one: -len(one.ledger.idle_owned),
        )
        for other in others:
            if other.waiting:
                continue
            self.loans += 1
            wanted = len(sender.waiting)
            offer = other.ledger.lend(
                sender.name,
                wanted,
                str(self.loans),
                now,
            )
            if offer is not None:
                sender.ledger.accept(other.name, offer, now - LOAN_DELAY)
                break
        self.serve_or_request_loans(now, index)

    def leave_loan_requests(self, now: float, index: int) -> None:
        """Leave a loan request with three others, as an entry host does."""
        sender = self.senders[index]
        others = [peer for peer, _ in enumerate(self.senders) if peer != index]
        for other in self.random.sample(others, min(3, len(others))):
            self.pending_requests.setdefault(other, {})[sender.name] = (
                PendingLoanRequest(
                    sender.name,
                    '',
                    len(sender.waiting),
                    now + 1.0,
                )
            )
        self.push(now + 1.0, 'borrow', index)

    def serve_or_request_loans(self, now: float, index: int) -> None:
        """Use the borrowed tokens, or leave loan requests if they run out.

        An entry host requests loans again after 50 ms.
        """
        sender = self.senders[index]
        while sender.waiting:
            slot = sender.ledger.take(now)
            if slot is None:
                self.leave_loan_requests(now, index)
                return
            self.outcome.waited += now - sender.waiting.popleft()
            self.outcome.served += 1
            self.busy += 1
            self.outcome.peak = max(self.outcome.peak, self.busy)
            ends = now + self.random.expovariate(1 / MEAN_SECONDS)
            self.push(ends, 'finish', index, slot.token)


def compare_grants() -> None:
    """Compare the grants with a perfect allocator and a static split."""
    print(
        'grants: slots, hosts, load, skew; served as a share of a perfect '
        "allocator's, mean wait in ms, peak",
    )
    cases = [
        (3, 2, 0.9, 1.0),
        (3, 2, 0.9, 4.0),
        (6, 2, 0.9, 4.0),
        (9, 2, 0.9, 4.0),
        (9, 2, 1.2, 4.0),
        (36, 2, 0.9, 4.0),
        (3, 20, 0.9, 4.0),
        (9, 20, 0.9, 4.0),
        (180, 20, 0.9, 4.0),
    ]
    for slots, hosts, load, skew in cases:
        row = f'  {slots:4} {hosts:3} {load:4} {skew:3}'
        perfect = 0
        for scheme in ('perfect', 'static', 'ledger'):
            outcomes = [
                simulate(scheme, slots, hosts, load, skew, seed)
                for seed in (1, 2)
            ]
            served = sum(one.served for one in outcomes)
            perfect = perfect or served
            wait = sum(one.waited for one in outcomes) / max(served, 1) * 1000
            peak = max(one.peak for one in outcomes)
            row += f'  {scheme} {served / perfect:6.1%} {wait:6.0f} {peak:3}'
        print(row, flush=True)


if __name__ == '__main__':
    time_choice()
    time_policies()
    time_document()
    compare_grants()
