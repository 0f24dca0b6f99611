"""Whether entries may have lapsed in the store though their upstreams live.

An entry lapses when its upstream is silent for some periods, so also while
nobody reaches the store. A host that had no contact cannot tell by itself
whether that was so or it alone was cut off; the contact of others tells.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ContactSpan:
    """A time in which a host had contact with the store throughout, or none.

    Attributes:
        begin: Monotonic time of its begin, in seconds.
        end: Monotonic time of its end.
    """

    begin: float
    end: float


def was_store_up(
    outage: ContactSpan,
    contacts: Iterable[ContactSpan],
    harmless_seconds: float,
) -> bool:
    """Return whether another host had contact while this one had none.

    Args:
        outage: From this host's last answer of the store before to the first
            one after.
        contacts: Contact of other hosts, to the last answer that is known.
        harmless_seconds: Time for which the store may be away without any
            entry lapsing.
    """
    return any(
        contact.begin <= outage.begin
        and contact.end >= outage.end - harmless_seconds
        for contact in contacts
    )
