"""Ownership of tokens by hosts, and its transfer.

The ownership of a zone (or region) is one object in the platform's store, which
is changed by conditional updates only. A host loses tokens only if it gives
them up itself or its incarnation is proved dead. A host that is cut off, slow
or paused therefore keeps its tokens, and no other host uses them meanwhile.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True)
class Shares:
    """The owners of the tokens of a zone.

    Attributes:
        owners: For each resource, the name of the owner of each token.
        incarnations: The registered incarnation of each host.
        version: Version of the configuration that defines the capacities.
    """

    owners: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    incarnations: Mapping[str, str] = field(default_factory=dict)
    version: int = 0

    def owned_by(self, host: str, resource: str) -> list[int]:
        """Return the tokens of a resource that a host owns."""
        return [
            token
            for token, owner in enumerate(self.owners.get(resource, ()))
            if owner == host
        ]


def register(shares: Shares, host: str, incarnation: str) -> Shares:
    """Register a new incarnation, which proves that the previous one ended."""
    registered = {**shares.incarnations, host: incarnation}
    return replace(shares, incarnations=registered)


def fit_to_capacity(
    shares: Shares,
    sizes: Mapping[str, int],
    hosts: Iterable[str],
    version: int,
) -> Shares:
    """Adapt the ownership to the capacities of a configuration.

    Existing tokens keep their owners; new ones are assigned to the hosts that
    own the fewest. Tokens beyond a reduced capacity and those of a removed
    resource stay with their owners, unused: if they are added again, earlier
    work may still run on them, and only the owner knows that.

    Args:
        shares: The current ownership.
        sizes: Capacity of each resource.
        hosts: Hosts that may own tokens.
        version: Version of that configuration; if it is older than the one of
            the shares, they are returned unchanged.
    """
    names = sorted(hosts)
    if not names or version < shares.version:
        return shares
    load = Counter(dict.fromkeys(names, 0))
    for kept in shares.owners.values():
        load.update(owner for owner in kept if owner in load)
    owners = dict(shares.owners)
    for resource in sorted(sizes):
        kept = shares.owners.get(resource, ())
        owners[resource] = _extended(kept, sizes[resource], names, load)
    return replace(shares, owners=owners, version=version)


def _extended(
    kept: tuple[str, ...],
    size: int,
    names: list[str],
    load: Counter[str],
) -> tuple[str, ...]:
    here = Counter(owner for owner in kept if owner in load)
    tokens = list(kept)
    while len(tokens) < size:
        # Compares the tokens of this resource, then those of all resources: 3
        # slots on 2 hosts are split 2 to 1, and the next 3 slots 1 to 2.
        owner = _least(names, here, load)
        tokens.append(owner)
        here[owner] += 1
        load[owner] += 1
    return tuple(tokens)


def _least(names: list[str], here: Counter[str], load: Counter[str]) -> str:
    return min(names, key=lambda name: (here[name], load[name], name))


def reassign_tokens(
    shares: Shares,
    dead: str,
    incarnation: str,
    receivers: Iterable[str],
) -> Shares:
    """Reassign the tokens of a dead host to other hosts.

    Args:
        shares: The current ownership.
        dead: Name of the dead host.
        incarnation: The incarnation that is proved dead; if another one is
            registered, the shares are returned unchanged.
        receivers: Live hosts, in any order.
    """
    names = sorted(set(receivers) - {dead})
    if shares.incarnations.get(dead) != incarnation or not names:
        return shares
    load: Counter[str] = Counter(dict.fromkeys(names, 0))
    for kept in shares.owners.values():
        load.update(owner for owner in kept if owner in load)
    owners = {}
    for resource, kept in shares.owners.items():
        owners[resource] = tuple(
            _next_owner(names, load) if owner == dead else owner
            for owner in kept
        )
    incarnations = {
        host: registered
        for host, registered in shares.incarnations.items()
        if host != dead
    }
    return Shares(owners, incarnations, shares.version)


def _next_owner(names: list[str], load: Counter[str]) -> str:
    owner = min(names, key=lambda name: (load[name], name))
    load[owner] += 1
    return owner


def transfer_tokens(
    shares: Shares,
    giver: str,
    receiver: str,
    tokens: Mapping[str, Iterable[int]],
) -> Shares:
    """Transfer tokens that their owner no longer uses to another host."""
    owners = dict(shares.owners)
    for resource, numbers in tokens.items():
        row = list(owners.get(resource, ()))
        for token in numbers:
            if token < len(row) and row[token] == giver:
                row[token] = receiver
        owners[resource] = tuple(row)
    return replace(shares, owners=owners)


def surplus(
    shares: Shares,
    giver: str,
    hosts: Iterable[str],
) -> tuple[str, int]:
    """Find the host that owns the fewest tokens and how many to give to it.

    Returns:
        The receiver and half of the difference in tokens; 0 if the giver
        owns no more than the receiver.
    """
    load = Counter(dict.fromkeys(hosts, 0))
    for kept in shares.owners.values():
        load.update(owner for owner in kept if owner in load)
    receiver = min(load, key=lambda name: (load[name], name), default=giver)
    return receiver, max((load[giver] - load[receiver]) // 2, 0)
