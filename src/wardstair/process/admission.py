"""Admits traffic from other regions while tokens for it are available."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from wardstair.decisions.cross_region import (
    SHIFT_STALE_SECONDS,
    ActiveShift,
    Origin,
    shift_resource,
    tokens_needed,
)
from wardstair.decisions.ledger import Ledger, Slot
from wardstair.errors import Refusal
from wardstair.process.capacity import Capacity
from wardstair.process.loans import Loans
from wardstair.request.call import Call
from wardstair.request.problem import cap_reached


@dataclass(frozen=True)
class _HeldToken:
    resource: str
    ledger: Ledger
    slot: Slot


class CrossRegionAdmission:
    """Acquires and releases the tokens of requests from other regions."""

    def __init__(
        self,
        region: str,
        capacity: Capacity,
        loans: Loans,
        config_age: Callable[[], float],
    ) -> None:
        """Start without shifts.

        Args:
            region: Region of this host.
            capacity: Ledgers of the tokens.
            loans: Borrows tokens and returns them.
            config_age: Returns the seconds since the configuration in force
                was last known to be the newest.
        """
        self.shifts: tuple[ActiveShift, ...] = ()
        self._region = region
        self._capacity = capacity
        self._loans = loans
        self._config_age = config_age
        self._held_tokens: dict[str, list[_HeldToken]] = {}

    def moved(self) -> tuple[int, ...]:
        """Return the requests in flight here for each shift to this region."""
        counts = []
        for shift in self.shifts:
            resource = shift_resource(shift.name)
            ledger = self._capacity.ledgers.get(resource)
            counts.append(0 if ledger is None else ledger.in_use)
        return tuple(counts)

    def admit(self, call: Call) -> Refusal | None:
        """Acquire all tokens that a call needs.

        Returns:
            None if the call is admitted; otherwise a refusal that names the
            resource without a free token.
        """
        origin = Origin(call.origin, call.route.workload.name)
        needed = tokens_needed(origin, self._region, self.shifts)
        acquired: list[_HeldToken] = []
        for resource in needed:
            one = self._acquire(resource)
            if one is None:
                self._release_tokens(acquired)
                self._loans.start_borrowing(resource)
                return cap_reached(resource)
            acquired.append(one)
        if acquired:
            self._held_tokens[call.request_id] = acquired
        return None

    def release(self, call: Call) -> None:
        """Release the tokens of a call that has ended."""
        self._release_tokens(self._held_tokens.pop(call.request_id, []))

    def _acquire(self, resource: str) -> _HeldToken | None:
        is_shift = resource.startswith(shift_resource(''))
        if is_shift and self._config_age() > SHIFT_STALE_SECONDS:
            # The cap may have been lowered since, so no new requests are
            # admitted under a cap that cannot be confirmed.
            return None
        ledger = self._capacity.ledgers.get(resource)
        slot = None if ledger is None else ledger.take(time.monotonic())
        if ledger is None or slot is None:
            return None
        return _HeldToken(resource, ledger, slot)

    def _release_tokens(self, acquired: list[_HeldToken]) -> None:
        now = time.monotonic()
        for one in acquired:
            loan = one.ledger.put_back(one.slot.token, now)
            if loan is not None:
                self._loans.give_back(one.resource, loan)
