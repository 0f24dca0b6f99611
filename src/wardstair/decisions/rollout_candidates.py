"""Decides which version serves a key during a roll-out.

A version may be bad under load only, while the test has few requests. They go
to so few upstreams that each bears the load it would have in service.
"""

from collections.abc import Mapping

from wardstair.decisions.membership import rendezvous
from wardstair.decisions.ranking import unit_hash

# One upstream may be bad by itself, which only a second one shows.
MIN_UNDER_TEST = 2


def is_in_share(key: str, service: str, share: float) -> bool:
    """Return whether a key goes to the new version.

    The same keys go there on every host, and a rising share keeps them.

    Args:
        key: Affinity key of the request.
        service: The service.
        share: Share of the keys, from 0 to 1.
    """
    # The prefix makes the hash independent of the ranking of upstreams.
    return unit_hash(f'rollout {service} {key}') < share


def group_under_test(
    slots: Mapping[str, int],
    share: float,
    old_slots: int,
) -> frozenset[str]:
    """Return the upstreams of the new version that get the test requests.

    They are few enough that each bears about the load of an old upstream.

    Args:
        slots: Slots of the new version's upstreams that may be used now, by
            name.
        share: Share of the service's requests that the test gets.
        old_slots: Sum of the slots of the old upstreams.
    """
    usable = [name for name, number in slots.items() if number > 0]
    if old_slots <= 0:
        return frozenset(usable)
    needed = share * old_slots
    group: list[str] = []
    for name in rendezvous(usable, 'rollout test', len(usable)):
        # Taken if more than half of its slots would bear the usual load.
        if len(group) >= MIN_UNDER_TEST and needed <= slots[name] / 2:
            break
        group.append(name)
        needed -= slots[name]
    return frozenset(group)
