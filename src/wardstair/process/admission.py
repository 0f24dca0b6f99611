"""Lets traffic from other regions in only while its tokens last."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from wardstair.decisions.ledger import Ledger, Slot
from wardstair.decisions.outside import (
    SHIFT_STALE_SECONDS,
    ActiveShift,
    Origin,
    shift_resource,
    tokens_needed,
)
from wardstair.errors import Refusal
from wardstair.process.capacity import Capacity
from wardstair.process.loans import Loans
from wardstair.request.call import Call
from wardstair.request.problem import cap_reached


@dataclass(frozen=True)
class _Taken:
    resource: str
    ledger: Ledger
    slot: Slot


class CrossRegionAdmission:
    """Takes and returns the tokens of requests from other regions."""

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
            capacity: Where the tokens are.
            loans: Brings and returns borrowed ones.
            config_age: Seconds since the configuration was confirmed.
        """
        self.shifts: tuple[ActiveShift, ...] = ()
        self._region = region
        self._capacity = capacity
        self._loans = loans
        self._config_age = config_age
        self._taken: dict[str, list[_Taken]] = {}

    def moved(self) -> tuple[int, ...]:
        """Return the requests in flight of each shift to this region."""
        counts = []
        for shift in self.shifts:
            resource = shift_resource(shift.name)
            ledger = self._capacity.ledgers.get(resource)
            counts.append(0 if ledger is None else ledger.in_use)
        return tuple(counts)

    def admit(self, call: Call) -> Refusal | None:
        """Take the tokens of a call, or say which one is missing."""
        origin = Origin(call.origin, call.route.workload.name)
        needed = tokens_needed(origin, self._region, self.shifts)
        taken: list[_Taken] = []
        for resource in needed:
            one = self._take(resource)
            if one is None:
                self._put_back(taken)
                self._loans.start_borrowing(resource)
                return cap_reached(resource)
            taken.append(one)
        if taken:
            self._taken[call.request_id] = taken
        return None

    def release(self, call: Call) -> None:
        """Return the tokens of a call that has ended."""
        self._put_back(self._taken.pop(call.request_id, []))

    def _take(self, resource: str) -> _Taken | None:
        is_shift = resource.startswith(shift_resource(''))
        if is_shift and self._config_age() > SHIFT_STALE_SECONDS:
            # The cap may have been lowered meanwhile; nothing new moves on
            # a cap that cannot be confirmed.
            return None
        ledger = self._capacity.ledgers.get(resource)
        slot = None if ledger is None else ledger.take(time.monotonic())
        if ledger is None or slot is None:
            return None
        return _Taken(resource, ledger, slot)

    def _put_back(self, taken: list[_Taken]) -> None:
        now = time.monotonic()
        for one in taken:
            loan = one.ledger.put_back(one.slot.token, now)
            if loan is not None:
                self._loans.give_back(one.resource, loan)
