"""Decides which version serves a key during a roll-out."""

from collections.abc import Mapping


def is_in_share(key: str, service: str, share: float) -> bool:
    """Return whether a key goes to the new version.

    The same keys go there on every host, and a rising share keeps them.

    Args:
        key: Affinity key of the request.
        service: The service.
        share: Share of the keys, from 0 to 1.
    """
    raise NotImplementedError


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
    raise NotImplementedError
