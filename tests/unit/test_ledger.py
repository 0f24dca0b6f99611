"""The ledger never lets two pieces of work use the same token.

A state machine simulates several hosts with delayed, lost and duplicated
messages, pauses, crashes and restarts, and counts the work on each token
independently of the ledgers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from wardstair.decisions.ledger import (
    LOAN_SECONDS,
    Holding,
    Identity,
    Ledger,
    LoanOffer,
    LoanReturn,
    PendingLoanRequest,
    Slot,
    choose_loan_request,
    settle_seconds,
)

TOKENS = 3
HOSTS = 3
HOLD = 4.0


@dataclass
class Work:
    """Work that an upstream runs for one incarnation of a host."""

    token: int
    ends_by: float | None


@dataclass
class Host:
    """A host with its ledger and the slots that it has taken."""

    identity: Identity
    ledger: Ledger
    slots: list[Slot] = field(default_factory=list)
    asked: dict[str, float] = field(default_factory=dict)
    is_paused: bool = False


@dataclass
class LoanRequest:
    """A loan request in transit."""

    borrower: Identity
    lender: str
    number: str


@dataclass
class OfferMessage:
    """A loan offer in transit."""

    lender: Identity
    borrower: str
    number: str
    offer: LoanOffer


@dataclass
class ReturnMessage:
    """A loan return in transit."""

    loan: LoanReturn


class LedgerMachine(RuleBasedStateMachine):
    """Simulation of the hosts of a zone."""

    hold: float | None = HOLD

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.numbers = 0
        self.hosts: dict[str, Host] = {}
        self.work: dict[tuple[str, int], list[Work]] = {}
        self.messages: list[Any] = []

    @initialize()
    def start(self) -> None:
        for index in range(HOSTS):
            name = f'h{index}'
            host = Host(Identity(name, '1'), Ledger(self.hold))
            host.ledger.adopt(index, 0.0, 0.0)
            self.hosts[name] = host

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def take(self, name: str) -> None:
        host = self.hosts[name]
        if host.is_paused:
            return
        slot = host.ledger.take(self.now)
        if slot is None:
            return
        host.slots.append(slot)
        ends_by = None if self.hold is None else self.now + self.hold
        self.work.setdefault((name, slot.token), []).append(
            Work(slot.token, ends_by),
        )

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def finish(self, name: str) -> None:
        host = self.hosts[name]
        if host.slots and not host.is_paused:
            self.end_slot(host, host.slots[0])

    def end_slot(self, host: Host, slot: Slot) -> None:
        host.slots.remove(slot)
        self.work[host.identity.name, slot.token].pop()
        self.numbers += 1
        loan = host.ledger.put_back(
            slot.token,
            self.now,
            keeps_loans=self.numbers % 2 == 0,
        )
        if loan is not None:
            self.messages.append(ReturnMessage(loan))

    @rule(
        borrower=st.sampled_from(['h0', 'h1', 'h2']),
        lender=st.sampled_from(['h0', 'h1', 'h2']),
    )
    def ask(self, borrower: str, lender: str) -> None:
        host = self.hosts[borrower]
        if borrower == lender or host.is_paused:
            return
        self.numbers += 1
        number = str(self.numbers)
        host.asked[number] = self.now
        self.messages.append(LoanRequest(host.identity, lender, number))

    @rule(
        index=st.integers(0, 5),
        again=st.booleans(),
        lost=st.sampled_from([False, False, True]),
    )
    def deliver(self, index: int, again: bool, lost: bool) -> None:
        if index >= len(self.messages):
            return
        message = self.messages[index]
        if not again:
            self.messages.pop(index)
        if not lost:
            self.receive(message)

    def receive(self, message: Any) -> None:
        match message:
            case LoanRequest():
                self.on_loan_request(message)
            case OfferMessage():
                self.on_offer(message)
            case ReturnMessage(loan=loan):
                lender = self.hosts[loan.lender.name]
                if lender.identity == loan.lender and not lender.is_paused:
                    lender.ledger.reclaim(loan.loan, loan.tokens)

    def on_loan_request(self, message: LoanRequest) -> None:
        lender = self.hosts[message.lender]
        if lender.is_paused:
            return
        self.numbers += 1
        loan = f'{lender.identity.incarnation}-{self.numbers}'
        offer = lender.ledger.lend(message.borrower, 2, loan, self.now)
        if offer is not None:
            self.messages.append(
                OfferMessage(
                    lender.identity,
                    message.borrower.name,
                    message.number,
                    offer,
                ),
            )

    def on_offer(self, message: OfferMessage) -> None:
        host = self.hosts[message.borrower]
        asked_at = host.asked.get(message.number)
        if asked_at is None or host.is_paused:
            return
        host.asked.pop(message.number)
        host.ledger.accept(message.lender, message.offer, asked_at)

    @rule(seconds=st.sampled_from([0.5, 2.0, LOAN_SECONDS, 12.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock, and end work that exceeds its hold time."""
        self.now += seconds
        for host in self.hosts.values():
            for slot in list(host.slots):
                works = self.work[host.identity.name, slot.token]
                if works[0].ends_by is not None and (
                    works[0].ends_by <= self.now
                ):
                    self.end_slot(host, slot)
            if not host.is_paused:
                self.messages.extend(
                    ReturnMessage(loan) for loan in host.ledger.expire(self.now)
                )

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def pause_or_resume(self, name: str) -> None:
        self.hosts[name].is_paused = not self.hosts[name].is_paused

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def restart(self, name: str) -> None:
        """Restart a host without state, while upstreams still run its work.

        The new incarnation may use the tokens of the host after the longest
        time that work of the previous incarnation can last.
        """
        old = self.hosts[name]
        settle = self.hold or 0.0
        if self.hold is None:
            # Uploads end with their connections.
            for key in list(self.work):
                if key[0] == name:
                    self.work.pop(key)
        else:
            for slot in old.slots:
                self.work.setdefault(('gone', slot.token), []).extend(
                    self.work[name, slot.token],
                )
                self.work[name, slot.token] = []
        number = str(int(old.identity.incarnation) + 1)
        new = Host(Identity(name, number), Ledger(self.hold))
        longest = 0.0 if self.hold is None else settle_seconds(self.hold)
        for token in old.ledger.owned:
            new.ledger.adopt(token, self.now, longest)
        self.hosts[name] = new
        for other in self.hosts.values():
            other.ledger.forget_borrower(old.identity, self.now, settle)

    @invariant()
    def no_token_is_used_twice(self) -> None:
        used: dict[int, int] = {}
        for (name, token), works in self.work.items():
            live = [
                work
                for work in works
                if name != 'gone'
                or (work.ends_by is not None and work.ends_by > self.now)
            ]
            used[token] = used.get(token, 0) + len(live)
        assert all(count <= 1 for count in used.values()), used


@dataclass
class HoldingsQuery:
    """A query of a new owner in transit."""

    owner: Identity
    asked: str
    asked_at: float


@dataclass
class HoldingsAnswer:
    """An answer to such a query in transit."""

    owner: Identity
    asked_at: float
    holder: Identity
    holdings: tuple[Holding, ...]


class UnboundedLedgerMachine(LedgerMachine):
    """Simulation with work of unlimited duration, such as uploads.

    Loans end only by return, and a new incarnation may use its tokens only
    after every other host has reported which tokens it holds.
    """

    hold = None

    def __init__(self) -> None:
        super().__init__()
        self.answers: dict[str, dict[Identity, tuple[Holding, ...]]] = {
            'h0': {},
            'h1': {},
            'h2': {},
        }

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def restart(self, name: str) -> None:
        """Restart a host without state; uploads end with their connections."""
        old = self.hosts[name]
        for key in list(self.work):
            if key[0] == name:
                self.work.pop(key)
        number = str(int(old.identity.incarnation) + 1)
        new = Host(Identity(name, number), Ledger(self.hold))
        for token in old.ledger.owned:
            new.ledger.adopt(token, self.now, float('inf'))
        self.hosts[name] = new
        self.answers[name] = {}
        for other in self.hosts.values():
            other.ledger.forget_borrower(old.identity, self.now, 0.0)

    @rule(name=st.sampled_from(['h0', 'h1', 'h2']))
    def ask_holdings(self, name: str) -> None:
        host = self.hosts[name]
        to_query = {
            one.name for one in host.ledger.borrowers_to_query(self.now)
        }
        if host.ledger.unresolved:
            to_query |= self.hosts.keys() - {name}
        waiting = {
            message.asked
            for message in self.messages
            if isinstance(message, HoldingsQuery)
            and message.owner == host.identity
        }
        self.messages.extend(
            HoldingsQuery(host.identity, other, self.now)
            for other in sorted(to_query - waiting)
        )
        self.resolve(host)

    def resolve(self, host: Host) -> None:
        """Resolve the tokens if all current incarnations have answered."""
        answers = self.answers.get(host.identity.name, {})
        others = {
            other.identity for other in self.hosts.values() if other is not host
        }
        if others <= answers.keys() and not host.is_paused:
            held = {other: answers[other] for other in others}
            host.ledger.resolve(held, self.now, 0.0)

    def receive(self, message: Any) -> None:
        match message:
            case HoldingsQuery(owner=owner, asked=asked, asked_at=asked_at):
                host = self.hosts[asked]
                if host.is_paused:
                    return
                host.asked.clear()
                self.messages.append(
                    HoldingsAnswer(
                        owner,
                        asked_at,
                        host.identity,
                        host.ledger.holdings(),
                    ),
                )
            case HoldingsAnswer():
                self.on_holdings(message)
            case _:
                super().receive(message)

    def on_holdings(self, message: HoldingsAnswer) -> None:
        owner = self.hosts[message.owner.name]
        if owner.identity != message.owner or owner.is_paused:
            return
        self.answers[owner.identity.name][message.holder] = message.holdings
        owner.ledger.reconcile(
            message.holder,
            message.holdings,
            message.asked_at,
        )


TestBounded = LedgerMachine.TestCase
TestBounded.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestUnbounded = UnboundedLedgerMachine.TestCase
TestUnbounded.settings = TestBounded.settings


def walk(machine: LedgerMachine, random: Random, steps: int) -> None:
    """Take random steps, many more than the state machine test can run."""
    machine.start()
    name = ['h0', 'h1', 'h2']
    moves: list[tuple[float, Callable[[], None]]] = [
        (6, lambda: machine.take(random.choice(name))),
        (2, lambda: machine.finish(random.choice(name))),
        (4, lambda: machine.ask(*random.sample(name, 2))),
        (
            12,
            lambda: machine.deliver(
                random.choice([0, 0, 0, 1, 2]),
                random.random() < 0.1,
                random.random() < 0.05,
            ),
        ),
        (4, lambda: machine.pass_time(random.choice([0.5, 0.5, 2.0, 4.0]))),
        (0.3, lambda: machine.restart(random.choice(name))),
    ]
    if isinstance(machine, UnboundedLedgerMachine):
        moves.append((4, lambda: machine.ask_holdings(random.choice(name))))
    weights = [weight for weight, _ in moves]
    for _ in range(steps):
        _, move = random.choices(moves, weights)[0]
        move()
        toggled = random.choice(name)
        chance = 0.2 if machine.hosts[toggled].is_paused else 0.01
        if random.random() < chance:
            machine.pause_or_resume(toggled)
        machine.no_token_is_used_twice()


@pytest.mark.parametrize('kind', [LedgerMachine, UnboundedLedgerMachine])
@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32))
def test_long_walks_use_no_token_twice(
    kind: type[LedgerMachine],
    seed: int,
) -> None:
    walk(kind(), Random(seed), 600)


def make_ledger(tokens: int, hold: float | None = HOLD) -> Ledger:
    """Return a ledger that owns a number of idle tokens."""
    ledger = Ledger(hold)
    for token in range(tokens):
        ledger.adopt(token, 0.0, 0.0)
    return ledger


OWNER = Identity('me', '1')
PEER = Identity('peer', '1')


@pytest.mark.parametrize(
    ('idle', 'wanted', 'lent'),
    [(0, 1, 0), (1, 1, 1), (2, 5, 1), (3, 5, 2), (9, 2, 2), (9, 9, 5)],
)
def test_lends_half_of_the_idle_tokens_but_at_least_one(
    idle: int,
    wanted: int,
    lent: int,
) -> None:
    offer = make_ledger(idle).lend(PEER, wanted, 'a', 0.0)
    assert (0 if offer is None else len(offer.tokens)) == lent


def test_a_loan_without_waiting_work_is_returned_immediately() -> None:
    lender, borrower = make_ledger(2), Ledger(HOLD)
    offer = lender.lend(PEER, 1, 'a', 0.0)
    assert offer is not None
    borrower.accept(OWNER, offer, asked_at=0.0)
    assert borrower.take(1.0) is not None
    assert borrower.put_back(0, 1.5) == LoanReturn(OWNER, 'a', (0,))


@pytest.mark.parametrize(
    ('waiting', 'own', 'until', 'chosen'),
    [
        ((3, 5), 2, 9.0, 5),
        ((3, 5), 5, 9.0, None),
        ((3, 5), 2, 1.0, None),
        ((), 0, 9.0, None),
    ],
)
def test_the_longest_queue_gets_a_token_that_becomes_idle(
    waiting: tuple[int, ...],
    own: int,
    until: float,
    chosen: int | None,
) -> None:
    loan_requests = [
        PendingLoanRequest(PEER, str(one), one, until) for one in waiting
    ]
    found = choose_loan_request(loan_requests, own, 1.0)
    assert (None if found is None else found.waiting) == chosen


def test_a_borrower_starts_no_work_on_an_expired_loan() -> None:
    lender, borrower = make_ledger(1), Ledger(HOLD)
    offer = lender.lend(PEER, 1, 'a', 10.0)
    assert offer is not None
    borrower.accept(OWNER, offer, asked_at=9.5)
    assert borrower.take(9.5 + LOAN_SECONDS) is None


def test_a_slot_states_the_latest_time_to_start() -> None:
    lender, borrower = make_ledger(1), Ledger(HOLD)
    offer = lender.lend(PEER, 1, 'a', 10.0)
    assert offer is not None
    borrower.accept(OWNER, offer, asked_at=9.5)
    assert borrower.take(10.0) == Slot(0, 9.5 + LOAN_SECONDS)


def test_a_late_return_of_an_earlier_loan_is_ignored() -> None:
    lender = make_ledger(1)
    first = lender.lend(PEER, 1, 'a', 0.0)
    assert first is not None
    lender.reclaim('a', first.tokens)
    second = lender.lend(PEER, 1, 'b', 0.0)
    assert second is not None
    lender.reclaim('a', first.tokens)
    assert lender.available(0.0) == 0


def test_a_lent_token_is_not_duplicated_when_reinstated() -> None:
    lender = make_ledger(1)
    lender.lend(PEER, 1, 'a', 0.0)
    lender.retire(0)
    lender.adopt(0, 0.0, 0.0)
    assert lender.take(0.0) is None
