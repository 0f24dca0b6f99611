"""Ledger of the tokens of one capacity, which hosts share.

No token is ever used twice at one time. A capacity of N, such as the slots of
an upstream or the cap of a shift, consists of N numbered tokens. Each token has
one owner. Owners lend idle tokens; a loan ends when it is returned, when it
expires, or when the borrower is known to be dead. Nothing here requires two
hosts to agree at one moment: an owner that is cut off keeps its tokens and
continues to use them, and no other host may use them meanwhile.

All times are monotonic seconds of the host that keeps the ledger. The borrower
counts the duration of a loan from before it sent its request, the lender from
the grant, so the borrower always stops first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

CLOCK_MARGIN_SECONDS = 1.0
LOAN_SECONDS = 5.0
# Age of a loan without expiry after which the borrower is asked whether it
# still holds the tokens.
LOAN_QUERY_SECONDS = LOAN_SECONDS + CLOCK_MARGIN_SECONDS


def settle_seconds(hold_seconds: float) -> float:
    """Return the seconds that a new owner waits before it uses a token.

    The previous owner may have lent the token just before it died, and the
    borrower may have started work just before the loan expired. The new owner
    waits until that work must have ended.

    Args:
        hold_seconds: Longest time in seconds for which work holds the token.
    """
    return LOAN_SECONDS + hold_seconds + CLOCK_MARGIN_SECONDS


@dataclass(frozen=True)
class Identity:
    """One incarnation of a host."""

    name: str
    incarnation: str


class OwnedStatus(Enum):
    """States of an owned token that carry no further data."""

    idle = 'idle'
    busy = 'busy'


@dataclass(frozen=True)
class Lent:
    """State of an owned token that is lent.

    Attributes:
        borrower: The host that holds it.
        loan: Identifies the loan.
        granted_at: Time of the grant.
        reclaim_at: Time when the token is idle again even if it is not
            returned; None if the borrower may hold it without limit.
    """

    borrower: Identity
    loan: str
    granted_at: float
    reclaim_at: float | None


@dataclass(frozen=True)
class Settling:
    """State of an owned token that work of an earlier holder may still use.

    Attributes:
        until: Time when that work has ended; infinity if it is not known.
    """

    until: float


OwnedState = OwnedStatus | Lent | Settling


@dataclass
class Borrowed:
    """A token on loan from another host.

    Attributes:
        lender: The owner of the token.
        loan: Identifies the loan.
        start_by: Time before which work must start on it.
        is_busy: Whether work uses it now.
    """

    lender: Identity
    loan: str
    start_by: float
    is_busy: bool = False


@dataclass(frozen=True)
class Slot:
    """A token taken for one piece of work.

    Attributes:
        token: Number of the token.
        send_by: Time after which the work must not start; None for no limit.
    """

    token: int
    send_by: float | None


@dataclass(frozen=True)
class LoanOffer:
    """Tokens that an owner offers on loan.

    Attributes:
        loan: Identifies the loan.
        tokens: Numbers of the tokens.
        seconds: Time in seconds in which work may start on them, counted from
            just before the borrower sent its request.
    """

    loan: str
    tokens: tuple[int, ...]
    seconds: float


@dataclass(frozen=True)
class Holding:
    """A borrowed token that a host still holds.

    Attributes:
        token: Number of the token.
        loan: Identifies the loan.
    """

    token: int
    loan: str


@dataclass(frozen=True)
class LoanReturn:
    """Tokens that a borrower returns.

    Attributes:
        lender: The owner of the tokens.
        loan: Identifies the loan.
        tokens: Numbers of the tokens.
    """

    lender: Identity
    loan: str
    tokens: tuple[int, ...]


@dataclass(frozen=True)
class PendingLoanRequest:
    """A loan request that waits until a token becomes idle.

    Attributes:
        borrower: The host that sent the request.
        ask: Identifies the loan request.
        waiting: Number of requests that wait for a slot at the borrower.
        until: Time after which the borrower no longer waits.
    """

    borrower: Identity
    ask: str
    waiting: int
    until: float


def choose_loan_request(
    loan_requests: Iterable[PendingLoanRequest],
    own_waiting: int,
    now: float,
) -> PendingLoanRequest | None:
    """Return the loan request that should get a token that became idle.

    The host with the longest queue gets the token. If the owner always served
    its own queue first, the queue of a busier host would grow to its limit.

    Args:
        loan_requests: Pending loan requests.
        own_waiting: Number of requests that wait for a slot at the owner.
        now: Current time.

    Returns:
        The loan request; None if no queue is longer than the owner's.
    """
    longer = [
        one
        for one in loan_requests
        if one.until > now and one.waiting > own_waiting
    ]
    return max(longer, key=lambda one: one.waiting, default=None)


@dataclass
class Ledger:
    """The tokens of one capacity that one host owns or has borrowed.

    Attributes:
        hold_seconds: Longest time in seconds for which work holds a token;
            None for no limit.
        owned: States of the owned tokens.
        borrowed: Tokens on loan from other hosts.
        retired: Owned tokens that have been removed from the capacity. Work
            that uses them continues; no new work starts on them.
    """

    hold_seconds: float | None
    owned: dict[int, OwnedState] = field(default_factory=dict)
    borrowed: dict[int, Borrowed] = field(default_factory=dict)
    retired: set[int] = field(default_factory=set)

    @property
    def in_use(self) -> int:
        """Number of tokens that work of this host uses now."""
        owned = sum(state is OwnedStatus.busy for state in self.owned.values())
        return owned + sum(loan.is_busy for loan in self.borrowed.values())

    @property
    def idle_owned(self) -> list[int]:
        """Owned tokens that can be used or lent now."""
        return [
            token
            for token, state in self.owned.items()
            if state is OwnedStatus.idle and token not in self.retired
        ]

    def available(self, now: float) -> int:
        """Return the number of tokens on which work can start now."""
        self._refresh_owned(now)
        borrowed = sum(
            not loan.is_busy and now < loan.start_by
            for loan in self.borrowed.values()
        )
        return len(self.idle_owned) + borrowed

    def adopt(self, token: int, now: float, settle: float) -> None:
        """Become the owner of a token, or reinstate one that was retired.

        Args:
            token: Number of the token.
            now: Current time.
            settle: Seconds for which work of an earlier owner may still run; 0
                if the token had no owner before; infinity if the time is
                unknown until `resolve` is called.
        """
        self.retired.discard(token)
        if token in self.owned:
            return
        state = Settling(now + settle) if settle > 0 else OwnedStatus.idle
        self.owned[token] = state

    @property
    def unresolved(self) -> list[int]:
        """Owned tokens that other hosts may still use, for an unknown time.

        Work without a time limit may run on loans of an earlier owner. Only
        the answers of all other hosts show which tokens they hold.
        """
        return [
            token
            for token, state in self.owned.items()
            if isinstance(state, Settling) and state.until == float('inf')
        ]

    def holdings(self) -> tuple[Holding, ...]:
        """Return the tokens that this host has borrowed, busy or idle."""
        return tuple(
            Holding(token, loan.loan) for token, loan in self.borrowed.items()
        )

    def borrowers_to_query(self, now: float) -> set[Identity]:
        """Return the borrowers to query about loans that never expire.

        Without the query, a lost offer or return message would make such a
        token unusable for ever.
        """
        return {
            state.borrower
            for state in self.owned.values()
            if isinstance(state, Lent)
            and state.reclaim_at is None
            and now - state.granted_at > LOAN_QUERY_SECONDS
        }

    def reconcile(
        self,
        borrower: Identity,
        holdings: tuple[Holding, ...],
        asked_at: float,
    ) -> None:
        """Reclaim lent tokens that a borrower reports not to hold.

        Args:
            borrower: The host that answered the query.
            holdings: All tokens that it holds. Before it answered, it withdrew
                its open loan requests, so it accepts no earlier offer any
                more.
            asked_at: Time when the query was sent. The answer does not cover
                loans granted later.
        """
        held = {(one.token, one.loan) for one in holdings}
        for token, state in self.owned.items():
            match state:
                case Lent(borrower=other, loan=loan, granted_at=granted) if (
                    other == borrower
                    and granted < asked_at
                    and (token, loan) not in held
                ):
                    self.owned[token] = OwnedStatus.idle

    def resolve(
        self,
        held: Mapping[Identity, tuple[Holding, ...]],
        now: float,
        settle: float,
    ) -> None:
        """Set the states of unresolved tokens after all hosts have answered.

        Args:
            held: Tokens that each other host of the zone holds.
            now: Current time.
            settle: Seconds for which upstreams may still run work of an
                earlier owner that died.
        """
        unresolved = self.unresolved
        for token in unresolved:
            self.owned[token] = Settling(now + settle)
        for borrower, holdings in held.items():
            for one in holdings:
                if one.token in unresolved:
                    lent = Lent(borrower, one.loan, now, None)
                    self.owned[one.token] = lent

    def disown(self, token: int) -> bool:
        """Give up ownership of a token, so that another host may own it.

        Returns:
            False if the token is not idle; it then remains owned.
        """
        if self.owned.get(token) is not OwnedStatus.idle:
            return False
        self.owned.pop(token)
        self.retired.discard(token)
        return True

    def retire(self, token: int) -> None:
        """Start no new work on a token that was removed from the capacity."""
        if token in self.owned:
            self.retired.add(token)

    def take(self, now: float) -> Slot | None:
        """Take a token for one piece of work.

        Borrowed tokens are used first: an idle borrowed token is wasted,
        whereas an idle owned token can be lent.

        Returns:
            The slot; None if no token is available.
        """
        self._refresh_owned(now)
        for token, loan in self.borrowed.items():
            if not loan.is_busy and now < loan.start_by:
                loan.is_busy = True
                return Slot(token, loan.start_by)
        idle = self.idle_owned
        if not idle:
            return None
        self.owned[idle[0]] = OwnedStatus.busy
        return Slot(idle[0], None)

    def put_back(
        self,
        token: int,
        now: float,
        *,
        keeps_loans: bool = False,
    ) -> LoanReturn | None:
        """Release a token after its work has ended.

        Args:
            token: Number of the token.
            now: Current time.
            keeps_loans: Whether to keep a borrowed token for other work that
                waits here. Without such work, a kept loan would stay idle
                while the queue of its owner grows.

        Returns:
            The return to send to the lender, if the token was borrowed and
            either the loan has expired or it is not kept.
        """
        loan = self.borrowed.get(token)
        if loan is not None and loan.is_busy:
            loan.is_busy = False
            if keeps_loans and now < loan.start_by:
                return None
            self.borrowed.pop(token)
            return LoanReturn(loan.lender, loan.loan, (token,))
        if self.owned.get(token) is OwnedStatus.busy:
            self.owned[token] = OwnedStatus.idle
        return None

    def lend(
        self,
        borrower: Identity,
        wanted: int,
        loan: str,
        now: float,
    ) -> LoanOffer | None:
        """Lend up to half of the idle tokens, but at least one if any is idle.

        The other half remains for the owner's next requests, so that two busy
        hosts do not keep passing the same token back and forth.

        Args:
            borrower: The host that requests the loan.
            wanted: Maximum number of tokens that it can use.
            loan: Identifies the new loan; must be unique.
            now: Current time.

        Returns:
            The offer; None if there is nothing to lend.
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
        """Record tokens borrowed from another host.

        Args:
            lender: The owner of the tokens.
            offer: The offer. The caller must ensure that it answers a loan
                request of this host that no other offer has answered.
            asked_at: Time just before the loan request was sent.
        """
        for token in offer.tokens:
            if token in self.borrowed:
                # Work still uses the token by an earlier loan. The new loan
                # stays unused, and the lender reclaims it when it expires.
                continue
            start_by = asked_at + offer.seconds
            self.borrowed[token] = Borrowed(lender, offer.loan, start_by)

    def reclaim(self, loan: str, tokens: tuple[int, ...]) -> None:
        """Take returned tokens back; ignore late and duplicate returns."""
        for token in tokens:
            state = self.owned.get(token)
            if isinstance(state, Lent) and state.loan == loan:
                self.owned[token] = OwnedStatus.idle

    def return_idle_loans(self) -> list[LoanReturn]:
        """Return all idle borrowed tokens, as a host that leaves must do."""
        return self._return_loans(float('inf'))

    def forget_borrower(
        self,
        borrower: Identity,
        now: float,
        settle: float,
    ) -> None:
        """Reclaim the tokens lent to a borrower that is known to be dead.

        Args:
            borrower: The dead incarnation.
            now: Current time.
            settle: Seconds for which upstreams may still run its work.
        """
        for token, state in self.owned.items():
            if isinstance(state, Lent) and state.borrower == borrower:
                self.owned[token] = Settling(now + settle)

    def expire(self, now: float) -> list[LoanReturn]:
        """End settling periods and loans whose time has passed.

        Returns:
            Returns to send to the lenders of idle tokens whose loans expired.
        """
        self._refresh_owned(now)
        return self._return_loans(now)

    def _refresh_owned(self, now: float) -> None:
        for token, state in self.owned.items():
            match state:
                case Settling(until=until) if until <= now:
                    self.owned[token] = OwnedStatus.idle
                case Lent(reclaim_at=float(due)) if due <= now:
                    self.owned[token] = OwnedStatus.idle

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
