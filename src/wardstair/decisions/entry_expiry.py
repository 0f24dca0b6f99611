"""Decides whether store entries of running upstreams may have expired.

An entry expires if its upstream does not renew it for some periods, and so
also while the store is unreachable for everyone; it returns soon after the
store does. A host that has just regained contact with the store cannot know
whether the store was unreachable for all hosts or only for itself. The contact
periods of other hosts show which of the two happened.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ContactPeriod:
    """A period of uninterrupted contact of a host with the store.

    Attributes:
        begin: Monotonic time of the store's first answer, in seconds.
        end: Monotonic time of its last known answer, in seconds.
    """

    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class ExpiryTimes:
    """How long entries take to expire and to return.

    Attributes:
        tolerated_outage_seconds: Longest outage of the store during which no
            entry expires.
        return_seconds: Time after the end of an outage within which all
            running upstreams have entries again.
    """

    tolerated_outage_seconds: float
    return_seconds: float


def are_entries_restored(
    contacts: Iterable[ContactPeriod],
    times: ExpiryTimes,
    now: float,
) -> bool:
    """Return whether the contact of any host proves that all entries exist.

    Args:
        contacts: Contact periods of hosts with the store.
        times: How long entries take to expire and to return.
        now: Monotonic time in seconds.
    """
    return any(
        contact.begin <= now - times.return_seconds
        and contact.end >= now - times.tolerated_outage_seconds
        for contact in contacts
    )
