"""Whether entries may have lapsed in the store though their upstreams live.

An entry lapses when its upstream is silent for some periods, so also while
nobody reaches the store; it is back soon after the store is. A host that has
just got its way to the store back cannot tell by itself whether the store was
away or it alone was cut off; the contact of others tells.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ContactPeriod:
    """A time in which a host had contact with the store throughout.

    Attributes:
        begin: Monotonic time of its first answer, in seconds.
        end: Monotonic time of the last answer that is known.
    """

    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class ExpiryTimes:
    """How long entries take to lapse and to return.

    Attributes:
        harmless_seconds: Time for which the store may be away without any
            entry lapsing.
        return_seconds: Time after the store's return within which the entries
            of upstreams that live are back.
    """

    harmless_seconds: float
    return_seconds: float


def are_entries_restored(
    contacts: Iterable[ContactPeriod],
    times: ExpiryTimes,
    now: float,
) -> bool:
    """Return whether one host's contact shows that no entry is lapsed now.

    Args:
        contacts: Contact of hosts with the store.
        times: How long entries take to lapse and to return.
        now: Monotonic time in seconds.
    """
    return any(
        contact.begin <= now - times.return_seconds
        and contact.end >= now - times.harmless_seconds
        for contact in contacts
    )
