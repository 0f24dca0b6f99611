"""Loans of tokens between the hosts of a zone, without platform calls."""

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

REQUEST_TIMEOUT_SECONDS = 1.0
NO_LENDER_RETRY_SECONDS = 0.05
# Lenders at which a request waits at the same time until a token is released.
MAX_PENDING_LENDERS = 3
QUERY_INTERVAL_SECONDS = 2.0
MAX_OPEN_QUERIES = 1000


@dataclass(frozen=True)
class _LoanAnswer:
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
            fleet: The live hosts and their free capacity.
            random: Shuffles the lenders that have equal free capacity.
        """
        self.on_gain: Callable[[], None] = lambda: None
        self.demand: Callable[[str], int] = lambda workload: 0
        self._me = me
        self._book = book
        self._links = links
        self._fleet = fleet
        self._random = random
        self._sent_requests: dict[str, asyncio.Future[_LoanAnswer | None]] = {}
        self._requested_resources: dict[str, str] = {}
        self._pending_requests: dict[str, dict[str, PendingLoanRequest]] = {}
        self._open_queries: dict[str, float] = {}
        self._last_queries: dict[tuple[Identity, str], float] = {}
        self._reported_holdings: dict[
            str, dict[Identity, tuple[Holding, ...]]
        ] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)

    async def stop(self) -> None:
        """Cancel the borrowing that is in progress."""
        borrowing = list(self._borrowing.values())
        for task in borrowing:
            task.cancel()
        await asyncio.gather(*borrowing, return_exceptions=True)

    def start_borrowing(self, name: str) -> None:
        """Borrow tokens in the background while requests wait for them."""
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
        """End settling periods and loans whose time has passed."""
        now = time.monotonic()
        for name, ledger in self._book.ledgers.items():
            for loan in ledger.expire(now):
                self.give_back(name, loan)

    def on_ask(self, sender: Identity, message: LoanAsk) -> None:
        """Lend idle tokens; a patient request waits until one is released."""
        offer = None
        if not self._has_demand(message.resource):
            offer = self._offer(sender, message.resource, message.wanted)
        if offer is None and message.is_patient:
            pending = self._pending_requests.setdefault(message.resource, {})
            until = time.monotonic() + REQUEST_TIMEOUT_SECONDS
            pending[sender.name] = PendingLoanRequest(
                sender,
                message.ask,
                message.wanted,
                until,
            )
            return
        answer = LoanGive(message.ask, message.resource, offer)
        self._links.send(sender.name, answer)

    def on_release(self, name: str) -> None:
        """Lend a released token to the host with a longer queue, if any."""
        pending = self._pending_requests.get(name)
        if not pending or name not in self._book.resources:
            return
        now = time.monotonic()
        own_demand = self.demand(self._book.resources[name].workload)
        chosen = choose_loan_request(pending.values(), own_demand, now)
        if chosen is None:
            return
        offer = self._offer(chosen.borrower, name, 1)
        if offer is None:
            return
        pending.pop(chosen.borrower.name)
        answer = LoanGive(chosen.ask, name, offer)
        self._links.send(chosen.borrower.name, answer)

    def on_give(self, received: Received, message: LoanGive) -> None:
        """Accept the answer to an open loan request, or return its offer."""
        self._requested_resources.pop(message.ask, None)
        waiting = self._sent_requests.pop(message.ask, None)
        if waiting is None or waiting.done():
            self._decline(received.sender, message)
            return
        waiting.set_result(_LoanAnswer(received.sender, message.offer))

    def on_back(self, message: LoanBack) -> None:
        """Reclaim tokens that a borrower returns."""
        ledger = self._book.ledgers.get(message.resource)
        if ledger is not None:
            ledger.reclaim(message.loan, message.tokens)
            self.on_release(message.resource)
            self.on_gain()

    def query_holdings(self) -> None:
        """Query the hosts that may hold tokens which no expiry reclaims."""
        others = self._book.registered - {self._me}
        now = time.monotonic()
        for name, ledger in self._book.ledgers.items():
            hosts_to_query = ledger.borrowers_to_query(now)
            if ledger.unresolved:
                hosts_to_query |= (
                    others - self._reported_holdings.get(name, {}).keys()
                )
            for other in hosts_to_query:
                self._query_holdings_of(other, name)
            if ledger.unresolved:
                self._resolve(name, ledger, others)

    def on_holdings_ask(self, sender: str, message: HoldingsAsk) -> None:
        """Report the tokens held here, after withdrawing open loan requests.

        An offer of the earlier owner may still be in transit. Because the
        request is withdrawn, the offer will be declined and the report remains
        correct.
        """
        ledger = self._book.ledgers.get(message.resource)
        for request_id, resource in list(self._requested_resources.items()):
            if resource == message.resource:
                self._withdraw(request_id)
        holdings = () if ledger is None else ledger.holdings()
        answer = HoldingsGive(message.ask, message.resource, holdings)
        self._links.send(sender, answer)

    def on_holdings_give(
        self,
        sender: Identity,
        message: HoldingsGive,
    ) -> None:
        """Process a host's report of the tokens that it holds."""
        queried_at = self._open_queries.pop(message.ask, None)
        ledger = self._book.ledgers.get(message.resource)
        if queried_at is None or ledger is None:
            return
        ledger.reconcile(sender, message.holdings, queried_at)
        if ledger.unresolved:
            answers = self._reported_holdings.setdefault(message.resource, {})
            answers[sender] = message.holdings
            self.query_holdings()
        self.on_gain()

    def on_new_incarnation(self, row: HostRow, previous: str) -> None:
        """Reclaim the tokens that a host's previous incarnation borrowed."""
        now = time.monotonic()
        dead = Identity(row.name, previous)
        for name, ledger in self._book.ledgers.items():
            settle = self._book.resources[name].orphaned_work_seconds
            ledger.forget_borrower(dead, now, settle)

    def return_all(self) -> None:
        """Return all unused loans before this host leaves."""
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
            if not self._has_demand(name):
                return
            if has_gained:
                continue
            requests = [
                self._request_loan(peer, name, is_patient=True)
                for peer in lenders[:MAX_PENDING_LENDERS]
            ]
            if not requests:
                await asyncio.sleep(NO_LENDER_RETRY_SECONDS)
            for answered in asyncio.as_completed(requests):
                if await answered:
                    self.on_gain()

    async def _borrow_idle(self, name: str, lenders: list[str]) -> bool:
        for peer in lenders:
            if await self._request_loan(peer, name, is_patient=False):
                self.on_gain()
                return True
        return False

    async def _request_loan(
        self, peer: str, name: str, *, is_patient: bool
    ) -> bool:
        workload = self._book.resources[name].workload
        request_id = f'{self._me.incarnation}-{next(self._numbers)}'
        waiting: asyncio.Future[_LoanAnswer | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._sent_requests[request_id] = waiting
        self._requested_resources[request_id] = name
        requested_at = time.monotonic()
        wanted = max(self.demand(workload), 1)
        if not self._links.send(
            peer, LoanAsk(request_id, name, wanted, is_patient)
        ):
            self._withdraw(request_id)
            return False
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                answer = await waiting
        except TimeoutError:
            self._withdraw(request_id)
            return False
        ledger = self._book.ledgers.get(name)
        if answer is None or ledger is None:
            return False
        if answer.offer is None:
            return False
        ledger.accept(answer.lender, answer.offer, requested_at)
        return True

    def _query_holdings_of(self, other: Identity, name: str) -> None:
        now = time.monotonic()
        last = self._last_queries.get((other, name), float('-inf'))
        if now - last < QUERY_INTERVAL_SECONDS:
            return
        query_id = f'{self._me.incarnation}-{next(self._numbers)}'
        self._open_queries[query_id] = now
        while len(self._open_queries) > MAX_OPEN_QUERIES:
            self._open_queries.pop(next(iter(self._open_queries)))
        if self._links.send(other.name, HoldingsAsk(query_id, name)):
            self._last_queries[other, name] = now

    def _resolve(
        self,
        name: str,
        ledger: Ledger,
        others: frozenset[Identity],
    ) -> None:
        answers = self._reported_holdings.get(name, {})
        if others - answers.keys():
            return
        held = {other: answers[other] for other in others}
        now = time.monotonic()
        ledger.resolve(
            held, now, self._book.resources[name].orphaned_work_seconds
        )
        self._reported_holdings.pop(name, None)

    def _withdraw(self, request_id: str) -> None:
        self._requested_resources.pop(request_id, None)
        waiting = self._sent_requests.pop(request_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def _decline(self, lender: Identity, message: LoanGive) -> None:
        # A late or duplicate offer: its tokens are returned unused, unless the
        # same loan is in use here.
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

    def _has_demand(self, name: str) -> bool:
        resource = self._book.resources.get(name)
        return resource is not None and self.demand(resource.workload) > 0
