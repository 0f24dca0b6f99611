"""Keeps this host's tokens in step with the zone's shares, and loans going.

Ownership is read from and written to the platform; loans pass between hosts
of the zone without it. While the platform is away, ownership stands still
and loans go on.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from result import Err, Ok

from wardstair.decisions.ledger import (
    Holding,
    Identity,
    Ledger,
    LoanOffer,
    LoanReturn,
    PatientAsk,
    choose_ask,
)
from wardstair.decisions.membership import HostRow, HostState
from wardstair.decisions.shares import (
    Shares,
    fit,
    hand_over,
    pass_on,
    register,
    surplus,
)
from wardstair.errors import ObjectMissing, PlatformError, VersionConflict
from wardstair.process.fleet import Fleet
from wardstair.process.log import log_event, log_warning
from wardstair.process.messages import (
    HoldingsAsk,
    HoldingsGive,
    LoanAsk,
    LoanBack,
    LoanGive,
)
from wardstair.process.peers import PeerLinks, Received
from wardstair.process.platform import (
    PlatformClient,
    StoredObject,
    backoff_seconds,
)
from wardstair.version.resources import Resource
from wardstair.version.topology import Topology

SHARES_KIND = 'shares'
SYNC_SECONDS = 300.0
ASK_SECONDS = 1.0
ASK_AGAIN_SECONDS = 0.05
PATIENT_LENDERS = 3
WRITE_TRIES = 8
QUESTION_SECONDS = 2.0
QUESTIONS_KEPT = 1000


@dataclass(frozen=True)
class _Answer:
    lender: Identity
    offer: LoanOffer | None


class Capacity:
    """The tokens of one host."""

    def __init__(
        self,
        me: Identity,
        zone: str,
        platform: PlatformClient,
        links: PeerLinks,
        fleet: Fleet,
        random: Random,
    ) -> None:
        """Start without tokens.

        Args:
            me: This incarnation.
            zone: Zone of this host.
            platform: Where the zone's shares are kept.
            links: Links to the zone's hosts.
            fleet: Who is alive and has tokens to lend.
            random: Source of jitter and of the choice of lenders.
        """
        self.ledgers: dict[str, Ledger] = {}
        self.resources: dict[str, Resource] = {}
        self.on_gain: Callable[[], None] = lambda: None
        self.demand: Callable[[str], int] = lambda workload: 0
        self.is_fenced = False
        self._me = me
        self._zone = zone
        self._platform = platform
        self._links = links
        self._fleet = fleet
        self._random = random
        self._hosts: tuple[str, ...] = ()
        self._version = 0
        self._stored: StoredObject | None = None
        self._predecessor = False
        self._registered = False
        self._kept_ledgers: dict[str, Ledger] = {}
        self._known_tokens: dict[str, int] = {}
        self._kick = asyncio.Event()
        self._asks: dict[str, asyncio.Future[_Answer | None]] = {}
        self._asked: dict[str, str] = {}
        self._patient: dict[str, dict[str, PatientAsk]] = {}
        self._questions: dict[str, float] = {}
        self._questioned: dict[tuple[Identity, str], float] = {}
        self._holdings: dict[str, dict[Identity, tuple[Holding, ...]]] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)

    @property
    def shares_version(self) -> int:
        """Version of the zone's shares that is adopted here."""
        return 0 if self._stored is None else self._stored.version

    @property
    def is_settled(self) -> bool:
        """Whether this incarnation has its tokens of the version."""
        if self._stored is None:
            return False
        shares = shares_from_json(self._stored.value)
        return shares.version >= self._version

    def adopt(
        self,
        topology: Topology,
        resources: Mapping[str, Resource],
    ) -> None:
        """Take over the capacities of a new version."""
        self.resources = dict(resources)
        self._version = topology.version
        self._hosts = tuple(
            host.name for host in topology.zone_hosts(self._zone)
        )
        self.ledgers = {
            resource.name: self._fitting_ledger(resource)
            for resource in resources.values()
        }
        self._kick.set()

    async def run(self) -> None:
        """Keep the shares in step until cancelled."""
        failures = 0
        while True:
            self._kick.clear()
            done = await self.sync()
            failures = 0 if done else failures + 1
            wait = SYNC_SECONDS * self._random.uniform(0.7, 1.0)
            if failures:
                wait = backoff_seconds(failures, self._random)
            # Not asyncio.wait_for: before Python 3.12 it can swallow a
            # cancellation that comes with the event, and the host's stop
            # then waited for this task for ever.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._kick.wait()

    async def stop(self) -> None:
        """End the borrowing that is under way."""
        borrowing = list(self._borrowing.values())
        for task in borrowing:
            task.cancel()
        await asyncio.gather(*borrowing, return_exceptions=True)

    async def sync(self) -> bool:
        """Read the zone's shares, change them if need be, and adopt them.

        Returns:
            Whether the shares are known and fit the configuration.
        """
        return await self._change(_unchanged)

    async def bury(self, dead: Identity) -> None:
        """Give the tokens of a host that the platform says is gone."""
        heirs = self._fleet.live_names()
        if self._me.name != min(set(heirs) - {dead.name}, default=''):
            return
        done = await self._change(
            lambda shares: pass_on(shares, dead.name, dead.incarnation, heirs),
        )
        log_event('tokens-passed-on', dead=dead.name, done=done)

    async def hand_over_all(self) -> None:
        """Give all idle tokens to a live host, before this one ends."""
        for ledger in self.ledgers.values():
            self._send_returns(ledger, ledger.return_idle())
        heirs = [
            name for name in self._fleet.live_names() if name != self._me.name
        ]
        if not heirs or self._stored is None:
            return
        await self._give(self._random.choice(heirs), None)

    async def even_out(self) -> None:
        """Give idle tokens to the host that owns least."""
        if self._stored is None:
            return
        shares = shares_from_json(self._stored.value)
        live = [
            name
            for name in self._fleet.live_names()
            if name in shares.incarnations
        ]
        receiver, count = surplus(shares, self._me.name, live)
        if count and receiver != self._me.name:
            await self._give(receiver, count)

    def hear(self, version: int) -> None:
        """Note the version of the shares that a peer has adopted."""
        if version > self.shares_version:
            self._kick.set()

    def shortage(self, name: str) -> None:
        """Borrow tokens of a resource in the background."""
        if name in self._borrowing or name not in self.ledgers:
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
        for name, ledger in self.ledgers.items():
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
            asks[sender.name] = PatientAsk(
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
        if not asks or name not in self.resources:
            return
        now = time.monotonic()
        own = self.demand(self.resources[name].workload)
        chosen = choose_ask(asks.values(), own, now)
        if chosen is None:
            return
        offer = self._offer(chosen.borrower, name, 1)
        if offer is None:
            return
        asks.pop(chosen.borrower.name)
        answer = LoanGive(chosen.ask, name, offer)
        self._links.send(chosen.borrower.name, answer)

    def _offer(
        self,
        borrower: Identity,
        name: str,
        wanted: int,
    ) -> LoanOffer | None:
        ledger = self.ledgers.get(name)
        if ledger is None or self.is_fenced:
            return None
        loan = f'{self._me.incarnation}-{next(self._numbers)}'
        return ledger.lend(borrower, wanted, loan, time.monotonic())

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
        ledger = self.ledgers.get(message.resource)
        if ledger is not None:
            ledger.reclaim(message.loan, message.tokens)
            self.on_release(message.resource)
            self.on_gain()

    def ask_holdings(self) -> None:
        """Ask the zone who still uses tokens that no time brings back."""
        if self._stored is None:
            return
        shares = shares_from_json(self._stored.value)
        others = {
            Identity(name, incarnation)
            for name, incarnation in shares.incarnations.items()
            if name != self._me.name
        }
        now = time.monotonic()
        for name, ledger in self.ledgers.items():
            doubtful = ledger.doubtful_borrowers(now)
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
        ledger = self.ledgers.get(message.resource)
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
        ledger = self.ledgers.get(message.resource)
        if asked_at is None or ledger is None:
            return
        ledger.reconcile(sender, message.holdings, asked_at)
        if ledger.unresolved:
            answers = self._holdings.setdefault(message.resource, {})
            answers[sender] = message.holdings
            self.ask_holdings()
        self.on_gain()

    def on_new_incarnation(self, row: HostRow, previous: str) -> None:
        """Reclaim what the previous incarnation of a host had borrowed."""
        now = time.monotonic()
        dead = Identity(row.name, previous)
        for name, ledger in self.ledgers.items():
            settle = self.resources[name].cut_seconds
            ledger.forget_borrower(dead, now, settle)

    def _fitting_ledger(self, resource: Resource) -> Ledger:
        # The ledger of a resource that was removed is kept: when it comes
        # back, work from before may still run on its tokens.
        ledger = self._kept_ledgers.setdefault(
            resource.name,
            Ledger(resource.hold_seconds),
        )
        ledger.hold_seconds = resource.hold_seconds
        for token in list(ledger.owned):
            if token >= resource.size:
                ledger.retire(token)
        return ledger

    async def _change(self, change: Callable[[Shares], Shares]) -> bool:
        """Change the newest shares and adopt them; False if it failed.

        The change is made to whatever is stored by then, so it has to be
        right for any state of the shares.
        """
        if not self.resources:
            return False
        for _ in range(WRITE_TRIES):
            written = await self._change_once(change)
            match written:
                case Ok(stored):
                    self._adopt_shares(stored)
                    return True
                case Err(error) if not isinstance(error, VersionConflict):
                    return False
        return False

    async def _change_once(
        self,
        change: Callable[[Shares], Shares],
    ) -> Ok[StoredObject] | Err[PlatformError]:
        found = await self._platform.read(SHARES_KIND, self._zone)
        stored: StoredObject | None = None
        shares = Shares()
        match found:
            case Ok(there):
                stored = there
                shares = shares_from_json(there.value)
            case Err(ObjectMissing()):
                pass  # noqa: WPS420
            case Err() as failed:
                return failed
        rival = shares.incarnations.get(self._me.name, '')
        if rival > self._me.incarnation and stored is not None:
            self._fence(rival)
            return Ok(stored)
        if not self._registered and rival:
            self._predecessor = rival != self._me.incarnation
        wanted = self._fitted(change(shares))
        if stored is not None and wanted == shares:
            return Ok(stored)
        return await self._platform.write_surely(
            SHARES_KIND,
            self._zone,
            shares_as_json(wanted),
            0 if stored is None else stored.version,
        )

    def _fitted(self, shares: Shares) -> Shares:
        registered = register(shares, self._me.name, self._me.incarnation)
        sizes = {one.name: one.size for one in self.resources.values()}
        return fit(registered, sizes, self._hosts, self._version)

    def _adopt_shares(self, stored: StoredObject) -> None:
        if self._stored and stored.version < self._stored.version:
            return
        is_first = not self._registered
        self._registered = True
        self._stored = stored
        if self.is_fenced:
            return
        shares = shares_from_json(stored.value)
        if is_first and not self._predecessor:
            # No earlier incarnation of this host ever held a token.
            self._known_tokens = {}
        elif is_first:
            self._known_tokens = _sizes(shares)
        for name in self.ledgers:
            self._adopt_resource(shares, name)
        self._known_tokens = _sizes(shares)
        self.on_gain()

    def _adopt_resource(self, shares: Shares, name: str) -> None:
        now = time.monotonic()
        resource = self.resources[name]
        ledger = self.ledgers[name]
        mine = {
            token
            for token in shares.owned_by(self._me.name, name)
            if token < resource.size
        }
        for token in ledger.owned.keys() - mine:
            ledger.retire(token)
        # Rows of the shares never shrink, so a token past what was known
        # had no owner before.
        known = self._known_tokens.get(name, 0)
        for token in sorted(mine):
            settle = resource.settle_seconds if token < known else 0
            ledger.adopt(token, now, settle)

    def _fence(self, rival: str) -> None:
        if self.is_fenced:
            return
        # The platform's host list replaced this process while it was
        # paused or cut off; the other incarnation has the tokens now.
        self.is_fenced = True
        log_warning('fenced', rival=rival, incarnation=self._me.incarnation)
        for ledger in self.ledgers.values():
            for token in ledger.owned:
                ledger.retire(token)

    async def _give(self, receiver: str, most: int | None) -> None:
        assert self._stored is not None
        given: dict[str, list[int]] = {}
        count = 0
        for name, ledger in self.ledgers.items():
            for token in ledger.idle_owned:
                if most is not None and count >= most:
                    break
                if ledger.give_up(token):
                    given.setdefault(name, []).append(token)
                    count += 1
        if not given:
            return
        # Given up here already: if the write fails, the next reading of the
        # shares tells whose they are, and they settle anew.
        done = await self._change(
            lambda shares: hand_over(shares, self._me.name, receiver, given),
        )
        log_event('tokens-handed-over', to=receiver, count=count, done=done)

    async def _borrow(self, name: str) -> None:
        while name in self.ledgers and not self.is_fenced:
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
        workload = self.resources[name].workload
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
        ledger = self.ledgers.get(name)
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
        others: set[Identity],
    ) -> None:
        answers = self._holdings.get(name, {})
        if others - answers.keys():
            return
        held = {other: answers[other] for other in others}
        now = time.monotonic()
        ledger.resolve(held, now, self.resources[name].cut_seconds)
        self._holdings.pop(name, None)

    def _withdraw(self, ask: str) -> None:
        self._asked.pop(ask, None)
        waiting = self._asks.pop(ask, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def _decline(self, lender: Identity, message: LoanGive) -> None:
        # An offer that comes too late, or twice: its tokens go back unused
        # unless the same loan is in use here.
        ledger = self.ledgers.get(message.resource)
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
        resource = self.resources.get(name)
        return resource is not None and self.demand(resource.workload) > 0

    def _send_returns(self, ledger: Ledger, loans: list[LoanReturn]) -> None:
        for name, candidate in self.ledgers.items():
            if candidate is ledger:
                for loan in loans:
                    self.give_back(name, loan)


def _sizes(shares: Shares) -> dict[str, int]:
    return {name: len(row) for name, row in shares.owners.items()}


def _unchanged(shares: Shares) -> Shares:
    return shares


def shares_as_json(shares: Shares) -> dict[str, object]:
    """Return the form in which shares are stored."""
    return {
        'owners': {
            resource: list(owners) for resource, owners in shares.owners.items()
        },
        'incarnations': dict(shares.incarnations),
        'version': shares.version,
    }


def shares_from_json(value: Mapping[str, object]) -> Shares:
    """Read stored shares."""
    owners = value['owners']
    incarnations = value['incarnations']
    version = value['version']
    assert isinstance(owners, dict)
    assert isinstance(incarnations, dict)
    assert isinstance(version, int)
    return Shares(
        {name: tuple(row) for name, row in owners.items()},
        incarnations,
        version,
    )
