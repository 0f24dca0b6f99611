"""Tokens of one capacity, shared by hosts without ever being doubled.

A capacity of N, such as the slots of an upstream or the cap of a shift, is N
numbered tokens. Each has one owner. Owners lend idle tokens; a loan ends when
it is returned, when its time is over, or when its borrower is proved dead.
Nothing here depends on two hosts agreeing at one moment: an owner that is cut
off keeps its tokens and goes on, and nobody else may use them meanwhile.

Times are monotonic seconds of the host that keeps the ledger. The borrower
counts a loan from before it asked, the lender from when it granted, so the
borrower always stops first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

CLOCK_MARGIN_SECONDS = 1.0
LOAN_SECONDS = 5.0
DOUBT_SECONDS = LOAN_SECONDS + CLOCK_MARGIN_SECONDS


def settle_seconds(hold_seconds: float) -> float:
    """Return how long a new owner of a token waits before it uses it.

    The old owner may have lent it just before it died, and the borrower may
    have started work at the last moment: the longest grant is waited out.

    Args:
        hold_seconds: Most seconds that work holds the token.
    """
    return LOAN_SECONDS + hold_seconds + CLOCK_MARGIN_SECONDS


@dataclass(frozen=True)
class Identity:
    """One incarnation of one host."""

    name: str
    incarnation: str


class Availability(Enum):
    """The standings of a token without further data."""

    idle = 'idle'
    busy = 'busy'


@dataclass(frozen=True)
class Lent:
    """The token is with a borrower.

    Attributes:
        borrower: Who holds it.
        loan: Identifies the loan.
        granted_at: Time of the grant.
        reclaim_at: Time when it is free again without a return; None if
            the borrower may hold it for any time.
    """

    borrower: Identity
    loan: str
    granted_at: float
    reclaim_at: float | None


@dataclass(frozen=True)
class Settling:
    """A predecessor's work may still use the token until then."""

    until: float


OwnedState = Availability | Lent | Settling


@dataclass
class Borrowed:
    """A token from another owner.

    Attributes:
        lender: Its owner.
        loan: Identifies the loan.
        start_by: Work may start on it before this time only.
        is_busy: Whether work runs on it now.
    """

    lender: Identity
    loan: str
    start_by: float
    is_busy: bool = False


@dataclass(frozen=True)
class Slot:
    """A token taken for one piece of work.

    Attributes:
        token: Its number.
        send_by: Work must not start after this time; None without limit.
    """

    token: int
    send_by: float | None


@dataclass(frozen=True)
class LoanOffer:
    """Tokens that an owner lends.

    Attributes:
        loan: Identifies the loan.
        tokens: Their numbers.
        seconds: Seconds, from before the borrower asked, in which work may
            start on them.
    """

    loan: str
    tokens: tuple[int, ...]
    seconds: float


@dataclass(frozen=True)
class Holding:
    """A token that a borrower still holds of an earlier owner.

    Attributes:
        token: Its number.
        loan: The loan by which it came.
    """

    token: int
    loan: str


@dataclass(frozen=True)
class LoanReturn:
    """Tokens that a borrower gives back."""

    lender: Identity
    loan: str
    tokens: tuple[int, ...]


@dataclass(frozen=True)
class PatientAsk:
    """A question that waits for a token to come free.

    Attributes:
        borrower: Who asks.
        ask: Identifies the question.
        waiting: Requests that wait at the borrower.
        until: Time after which the borrower no longer waits.
    """

    borrower: Identity
    ask: str
    waiting: int
    until: float


def choose_ask(
    asks: Iterable[PatientAsk],
    own_waiting: int,
    now: float,
) -> PatientAsk | None:
    """Return the question that a token coming free should answer.

    The longer queue gets it, whichever host it is on: a host that served its
    own first would let the queue of a busier one grow to its limit.

    Args:
        asks: Questions that wait.
        own_waiting: Requests that wait at the owner itself.
        now: Time now.
    """
    longer = [
        ask for ask in asks if ask.until > now and ask.waiting > own_waiting
    ]
    return max(longer, key=lambda ask: ask.waiting, default=None)


@dataclass
class Ledger:
    """What one host knows of the tokens of one capacity.

    Attributes:
        hold_seconds: Most seconds that work holds a token, or None.
        owned: Owned tokens and how they stand.
        borrowed: Tokens on loan from others.
        retired: Owned tokens that no longer exist; work on them ends in
            peace, nothing new starts.
    """

    hold_seconds: float | None
    owned: dict[int, OwnedState] = field(default_factory=dict)
    borrowed: dict[int, Borrowed] = field(default_factory=dict)
    retired: set[int] = field(default_factory=set)

    @property
    def in_use(self) -> int:
        """Tokens that work of this host uses now."""
        owned = sum(state is Availability.busy for state in self.owned.values())
        return owned + sum(loan.is_busy for loan in self.borrowed.values())

    @property
    def idle_owned(self) -> list[int]:
        """Owned tokens that could be used or lent now."""
        return [
            token
            for token, state in self.owned.items()
            if state is Availability.idle and token not in self.retired
        ]

    def available(self, now: float) -> int:
        """Return how many tokens work could start on now."""
        self._refresh_owned(now)
        borrowed = sum(
            not loan.is_busy and now < loan.start_by
            for loan in self.borrowed.values()
        )
        return len(self.idle_owned) + borrowed

    def adopt(self, token: int, now: float, settle: float) -> None:
        """Become the owner of a token, or keep one that was retired.

        Args:
            token: Its number.
            now: Time now.
            settle: Seconds in which a predecessor's work may still run; 0
                for a token that had no owner before; infinity if only
                `resolve` can tell.
        """
        self.retired.discard(token)
        if token in self.owned:
            return
        state = Settling(now + settle) if settle > 0 else Availability.idle
        self.owned[token] = state

    @property
    def unresolved(self) -> list[int]:
        """Owned tokens of which it is not known who may still use them.

        Work of any length may run on a loan of an earlier owner: only the
        answers of all others can tell.
        """
        return [
            token
            for token, state in self.owned.items()
            if isinstance(state, Settling) and state.until == float('inf')
        ]

    def holdings(self) -> tuple[Holding, ...]:
        """Return the tokens on loan here, used or not."""
        return tuple(
            Holding(token, loan.loan) for token, loan in self.borrowed.items()
        )

    def doubtful_borrowers(self, now: float) -> set[Identity]:
        """Return who to ask about loans that no time ends.

        A lost offer or return would keep such a token away for ever.
        """
        return {
            state.borrower
            for state in self.owned.values()
            if isinstance(state, Lent)
            and state.reclaim_at is None
            and now - state.granted_at > DOUBT_SECONDS
        }

    def reconcile(
        self,
        borrower: Identity,
        holdings: tuple[Holding, ...],
        asked_at: float,
    ) -> None:
        """Take back what a borrower says that it does not hold.

        Args:
            borrower: Who answered.
            holdings: All that it holds; when it was asked it withdrew its
                open questions, so no earlier offer can reach it any more.
            asked_at: Time when the question was sent; loans granted later
                are not covered by the answer.
        """
        held = {(one.token, one.loan) for one in holdings}
        for token, state in self.owned.items():
            match state:
                case Lent(borrower=other, loan=loan, granted_at=granted) if (
                    other == borrower
                    and granted < asked_at
                    and (token, loan) not in held
                ):
                    self.owned[token] = Availability.idle

    def resolve(
        self,
        held: Mapping[Identity, tuple[Holding, ...]],
        now: float,
        settle: float,
    ) -> None:
        """Take in what all others hold, once every one has answered.

        Args:
            held: What each other host of the zone holds.
            now: Time now.
            settle: Seconds in which upstreams may still work for a dead
                predecessor.
        """
        unresolved = self.unresolved
        for token in unresolved:
            self.owned[token] = Settling(now + settle)
        for borrower, holdings in held.items():
            for one in holdings:
                if one.token in unresolved:
                    lent = Lent(borrower, one.loan, now, None)
                    self.owned[one.token] = lent

    def give_up(self, token: int) -> bool:
        """Stop owning a token so that another may own it.

        Returns:
            False if it is in use or lent; then it stays.
        """
        if self.owned.get(token) is not Availability.idle:
            return False
        self.owned.pop(token)
        self.retired.discard(token)
        return True

    def retire(self, token: int) -> None:
        """Start no more work on a token that no longer exists."""
        if token in self.owned:
            self.retired.add(token)

    def take(self, now: float) -> Slot | None:
        """Take a token for one piece of work, or return None.

        Borrowed tokens go first: an idle loan is wasted, an idle owned
        token can be lent.
        """
        self._refresh_owned(now)
        for token, loan in self.borrowed.items():
            if not loan.is_busy and now < loan.start_by:
                loan.is_busy = True
                return Slot(token, loan.start_by)
        idle = self.idle_owned
        if not idle:
            return None
        self.owned[idle[0]] = Availability.busy
        return Slot(idle[0], None)

    def put_back(
        self,
        token: int,
        now: float,
        *,
        keeps_loans: bool = False,
    ) -> LoanReturn | None:
        """End the work on a token.

        Args:
            token: Its number.
            now: Time now.
            keeps_loans: Whether other work waits here; without any, a loan
                that is kept would stand idle while its owner's queue grows.

        Returns:
            A message to the lender if the token was borrowed and its time
            is over, or nothing waits for it here.
        """
        loan = self.borrowed.get(token)
        if loan is not None and loan.is_busy:
            loan.is_busy = False
            if keeps_loans and now < loan.start_by:
                return None
            self.borrowed.pop(token)
            return LoanReturn(loan.lender, loan.loan, (token,))
        if self.owned.get(token) is Availability.busy:
            self.owned[token] = Availability.idle
        return None

    def lend(
        self,
        borrower: Identity,
        wanted: int,
        loan: str,
        now: float,
    ) -> LoanOffer | None:
        """Lend idle tokens, at most half of them but one at least.

        Half leaves the owner something for its own next request, so that
        two busy hosts do not pass the same token to and fro.

        Args:
            borrower: Who asks.
            wanted: Most tokens it can use.
            loan: Identifies the new loan; never used before.
            now: Time now.
        """
        self._refresh_owned(now)
        idle = self.idle_owned
        given = tuple(idle[: min(wanted, (len(idle) + 1) // 2)])
        if not given:
            return None
        reclaim_at = None
        if self.hold_seconds is not None:
            reclaim_at = now + settle_seconds(self.hold_seconds)
        for token in given:
            self.owned[token] = Lent(borrower, loan, now, reclaim_at)
        return LoanOffer(loan, given, LOAN_SECONDS)

    def accept(
        self,
        lender: Identity,
        offer: LoanOffer,
        asked_at: float,
    ) -> None:
        """Note tokens on loan.

        Args:
            lender: Who lends them.
            offer: The offer; the caller sees to it that it answers a
                question of ours that no offer has answered yet.
            asked_at: Time just before the question was sent.
        """
        for token in offer.tokens:
            if token in self.borrowed:
                # The old loan still runs work here: the new one of the same
                # token ends unused, and its lender reclaims it in time.
                continue
            start_by = asked_at + offer.seconds
            self.borrowed[token] = Borrowed(lender, offer.loan, start_by)

    def reclaim(self, loan: str, tokens: tuple[int, ...]) -> None:
        """Take returned tokens back; late and double returns do nothing."""
        for token in tokens:
            state = self.owned.get(token)
            if isinstance(state, Lent) and state.loan == loan:
                self.owned[token] = Availability.idle

    def return_idle(self) -> list[LoanReturn]:
        """Give all unused loans back, as a host that leaves does."""
        return self._return_loans(float('inf'))

    def forget_borrower(
        self,
        borrower: Identity,
        now: float,
        settle: float,
    ) -> None:
        """Reclaim what a borrower held that is proved dead.

        Args:
            borrower: The dead incarnation.
            now: Time now.
            settle: Seconds in which upstreams may still work for it.
        """
        for token, state in self.owned.items():
            if isinstance(state, Lent) and state.borrower == borrower:
                self.owned[token] = Settling(now + settle)

    def expire(self, now: float) -> list[LoanReturn]:
        """Apply the passing of time.

        Returns:
            Messages that hand back loans which ended unused.
        """
        self._refresh_owned(now)
        return self._return_loans(now)

    def _refresh_owned(self, now: float) -> None:
        for token, state in self.owned.items():
            match state:
                case Settling(until=until) if until <= now:
                    self.owned[token] = Availability.idle
                case Lent(reclaim_at=float(due)) if due <= now:
                    self.owned[token] = Availability.idle

    def _return_loans(self, ended_by: float) -> list[LoanReturn]:
        returns = [
            LoanReturn(loan.lender, loan.loan, (token,))
            for token, loan in self.borrowed.items()
            if not loan.is_busy and loan.start_by <= ended_by
        ]
        for ended in returns:
            for token in ended.tokens:
                self.borrowed.pop(token)
        return returns
