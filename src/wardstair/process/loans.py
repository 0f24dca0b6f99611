"""Loans of tokens between the hosts of a zone, without the platform."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wardstair.decisions.ledger import (
    Holding,
    Identity,
    Ledger,
    LoanOffer,
    LoanReturn,
    PendingLoanRequest,
    choose_loan_request,
)
from wardstair.decisions.membership import HostRow, HostState
from wardstair.process.fleet import Fleet
from wardstair.process.messages import (
    HoldingsAsk,
    HoldingsGive,
    LoanAsk,
    LoanBack,
    LoanGive,
)
from wardstair.process.peers import PeerLinks, Received
from wardstair.process.tokens import TokenBook

ASK_SECONDS = 1.0
ASK_AGAIN_SECONDS = 0.05
PATIENT_LENDERS = 3
QUESTION_SECONDS = 2.0
QUESTIONS_KEPT = 1000


@dataclass(frozen=True)
class _Answer:
    lender: Identity
    offer: LoanOffer | None


class Loans:
    """Lends idle tokens of this host and borrows those of others."""

    def __init__(
        self,
        me: Identity,
        book: TokenBook,
        links: PeerLinks,
        fleet: Fleet,
        random: Random,
    ) -> None:
        """Start without loans.

        Args:
            me: This incarnation.
            book: The tokens of this host.
            links: Links to the zone's hosts.
            fleet: Who is alive and has tokens to lend.
            random: Source of the choice of lenders.
        """
        self.on_gain: Callable[[], None] = lambda: None
        self.demand: Callable[[str], int] = lambda workload: 0
        self._me = me
        self._book = book
        self._links = links
        self._fleet = fleet
        self._random = random
        self._asks: dict[str, asyncio.Future[_Answer | None]] = {}
        self._asked: dict[str, str] = {}
        self._patient: dict[str, dict[str, PendingLoanRequest]] = {}
        self._questions: dict[str, float] = {}
        self._questioned: dict[tuple[Identity, str], float] = {}
        self._holdings: dict[str, dict[Identity, tuple[Holding, ...]]] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)

    async def stop(self) -> None:
        """End the borrowing that is under way."""
        borrowing = list(self._borrowing.values())
        for task in borrowing:
            task.cancel()
        await asyncio.gather(*borrowing, return_exceptions=True)

    def start_borrowing(self, name: str) -> None:
        """Borrow tokens of a resource in the background."""
        if name in self._borrowing or name not in self._book.ledgers:
            return
        task = asyncio.ensure_future(self._borrow(name))
        self._borrowing[name] = task
        task.add_done_callback(lambda _task: self._borrowing.pop(name, None))

    def give_back(self, name: str, loan: LoanReturn) -> None:
        """Send a returned loan to its lender."""
        message = LoanBack(name, loan.loan, loan.tokens)
        self._links.send(loan.lender.name, message)

    def expire(self) -> None:
        """Apply the passing of time to all ledgers."""
        now = time.monotonic()
        for name, ledger in self._book.ledgers.items():
            for loan in ledger.expire(now):
                self.give_back(name, loan)

    def on_ask(self, sender: Identity, message: LoanAsk) -> None:
        """Lend what is idle; a patient question waits for a release."""
        offer = None
        if not self._is_waited_for(message.resource):
            offer = self._offer(sender, message.resource, message.wanted)
        if offer is None and message.is_patient:
            asks = self._patient.setdefault(message.resource, {})
            until = time.monotonic() + ASK_SECONDS
            asks[sender.name] = PendingLoanRequest(
                sender,
                message.ask,
                message.wanted,
                until,
            )
            return
        answer = LoanGive(message.ask, message.resource, offer)
        self._links.send(sender.name, answer)

    def on_release(self, name: str) -> None:
        """Give a token that came free to a longer queue elsewhere."""
        asks = self._patient.get(name)
        if not asks or name not in self._book.resources:
            return
        now = time.monotonic()
        own = self.demand(self._book.resources[name].workload)
        chosen = choose_loan_request(asks.values(), own, now)
        if chosen is None:
            return
        offer = self._offer(chosen.borrower, name, 1)
        if offer is None:
            return
        asks.pop(chosen.borrower.name)
        answer = LoanGive(chosen.ask, name, offer)
        self._links.send(chosen.borrower.name, answer)

    def on_give(self, received: Received, message: LoanGive) -> None:
        """Take the answer to a question of ours, once."""
        self._asked.pop(message.ask, None)
        waiting = self._asks.pop(message.ask, None)
        if waiting is None or waiting.done():
            self._decline(received.sender, message)
            return
        waiting.set_result(_Answer(received.sender, message.offer))

    def on_back(self, message: LoanBack) -> None:
        """Take returned tokens back."""
        ledger = self._book.ledgers.get(message.resource)
        if ledger is not None:
            ledger.reclaim(message.loan, message.tokens)
            self.on_release(message.resource)
            self.on_gain()

    def query_holdings(self) -> None:
        """Ask the zone who still uses tokens that no time brings back."""
        others = self._book.registered - {self._me}
        now = time.monotonic()
        for name, ledger in self._book.ledgers.items():
            doubtful = ledger.borrowers_to_query(now)
            if ledger.unresolved:
                doubtful |= others - self._holdings.get(name, {}).keys()
            for other in doubtful:
                self._ask_holdings_of(other, name)
            if ledger.unresolved:
                self._resolve(name, ledger, others)

    def on_holdings_ask(self, sender: str, message: HoldingsAsk) -> None:
        """Say what is held here, after giving up open questions.

        An offer of the earlier owner may still be on its way: with the
        question withdrawn it will be declined, so the answer stays true.
        """
        ledger = self._book.ledgers.get(message.resource)
        for ask, resource in list(self._asked.items()):
            if resource == message.resource:
                self._withdraw(ask)
        holdings = () if ledger is None else ledger.holdings()
        answer = HoldingsGive(message.ask, message.resource, holdings)
        self._links.send(sender, answer)

    def on_holdings_give(
        self,
        sender: Identity,
        message: HoldingsGive,
    ) -> None:
        """Note what a host of the zone holds."""
        asked_at = self._questions.pop(message.ask, None)
        ledger = self._book.ledgers.get(message.resource)
        if asked_at is None or ledger is None:
            return
        ledger.reconcile(sender, message.holdings, asked_at)
        if ledger.unresolved:
            answers = self._holdings.setdefault(message.resource, {})
            answers[sender] = message.holdings
            self.query_holdings()
        self.on_gain()

    def on_new_incarnation(self, row: HostRow, previous: str) -> None:
        """Reclaim what the previous incarnation of a host had borrowed."""
        now = time.monotonic()
        dead = Identity(row.name, previous)
        for name, ledger in self._book.ledgers.items():
            settle = self._book.resources[name].cut_seconds
            ledger.forget_borrower(dead, now, settle)

    def return_all(self) -> None:
        """Give all unused loans back, as a host that leaves does."""
        for name, ledger in self._book.ledgers.items():
            for loan in ledger.return_idle_loans():
                self.give_back(name, loan)

    def _offer(
        self,
        borrower: Identity,
        name: str,
        wanted: int,
    ) -> LoanOffer | None:
        ledger = self._book.ledgers.get(name)
        if ledger is None or self._book.is_fenced:
            return None
        loan = f'{self._me.incarnation}-{next(self._numbers)}'
        return ledger.lend(borrower, wanted, loan, time.monotonic())

    async def _borrow(self, name: str) -> None:
        while name in self._book.ledgers and not self._book.is_fenced:
            lenders = self._lenders(name)
            has_gained = await self._borrow_idle(name, lenders)
            if not self._is_waited_for(name):
                return
            if has_gained:
                continue
            patient = [
                self._ask(peer, name, is_patient=True)
                for peer in lenders[:PATIENT_LENDERS]
            ]
            if not patient:
                await asyncio.sleep(ASK_AGAIN_SECONDS)
            for answered in asyncio.as_completed(patient):
                if await answered:
                    self.on_gain()

    async def _borrow_idle(self, name: str, lenders: list[str]) -> bool:
        for peer in lenders:
            if await self._ask(peer, name, is_patient=False):
                self.on_gain()
                return True
        return False

    async def _ask(self, peer: str, name: str, *, is_patient: bool) -> bool:
        workload = self._book.resources[name].workload
        ask = f'{self._me.incarnation}-{next(self._numbers)}'
        waiting: asyncio.Future[_Answer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._asks[ask] = waiting
        self._asked[ask] = name
        asked_at = time.monotonic()
        wanted = max(self.demand(workload), 1)
        if not self._links.send(peer, LoanAsk(ask, name, wanted, is_patient)):
            self._withdraw(ask)
            return False
        try:
            async with asyncio.timeout(ASK_SECONDS):
                answer = await waiting
        except TimeoutError:
            self._withdraw(ask)
            return False
        ledger = self._book.ledgers.get(name)
        if answer is None or ledger is None:
            return False
        if answer.offer is None:
            return False
        ledger.accept(answer.lender, answer.offer, asked_at)
        return True

    def _ask_holdings_of(self, other: Identity, name: str) -> None:
        now = time.monotonic()
        last = self._questioned.get((other, name), float('-inf'))
        if now - last < QUESTION_SECONDS:
            return
        ask = f'{self._me.incarnation}-{next(self._numbers)}'
        self._questions[ask] = now
        while len(self._questions) > QUESTIONS_KEPT:
            self._questions.pop(next(iter(self._questions)))
        if self._links.send(other.name, HoldingsAsk(ask, name)):
            self._questioned[other, name] = now

    def _resolve(
        self,
        name: str,
        ledger: Ledger,
        others: frozenset[Identity],
    ) -> None:
        answers = self._holdings.get(name, {})
        if others - answers.keys():
            return
        held = {other: answers[other] for other in others}
        now = time.monotonic()
        ledger.resolve(held, now, self._book.resources[name].cut_seconds)
        self._holdings.pop(name, None)

    def _withdraw(self, ask: str) -> None:
        self._asked.pop(ask, None)
        waiting = self._asks.pop(ask, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def _decline(self, lender: Identity, message: LoanGive) -> None:
        # An offer that comes too late, or twice: its tokens go back unused
        # unless the same loan is in use here.
        ledger = self._book.ledgers.get(message.resource)
        if message.offer is None or ledger is None:
            return
        held = {loan.loan for loan in ledger.borrowed.values()}
        if message.offer.loan in held:
            return
        loan = LoanReturn(lender, message.offer.loan, message.offer.tokens)
        self.give_back(message.resource, loan)

    def _lenders(self, name: str) -> list[str]:
        now = time.monotonic()
        rows = self._fleet.members.in_state(now, HostState.live)
        names = [row.name for row in rows if row.name in self._links.linked]
        self._random.shuffle(names)
        free = {row.name: sum(row.free) for row in rows}
        return sorted(names, key=lambda peer: -free[peer])

    def _is_waited_for(self, name: str) -> bool:
        resource = self._book.resources.get(name)
        return resource is not None and self.demand(resource.workload) > 0
