"""Which host owns which tokens, and how ownership moves.

Ownership is one object a zone (or region) in the platform's store, changed
by conditional update only. A host loses tokens in two ways: it gives them
up itself, or its incarnation is proved dead. So a host that is cut off, slow
or paused keeps what it owns, and nobody uses it meanwhile.
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
        version: Version of the configuration whose capacities they fit.
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
    """Enter a new incarnation, which proves that the last one has ended."""
    registered = {**shares.incarnations, host: incarnation}
    return replace(shares, incarnations=registered)


def fit_to_capacity(
    shares: Shares,
    sizes: Mapping[str, int],
    hosts: Iterable[str],
    version: int,
) -> Shares:
    """Fit the owners to the capacities of a configuration.

    Tokens that exist keep their owners; new ones go to the hosts that own
    least. Nothing is dropped: tokens past a smaller size, and those of a
    removed resource, stay with their owners unused. When they come back,
    work from before may still run on them, and only the owner knows.

    Args:
        shares: The owners so far.
        sizes: Capacity of each resource.
        hosts: Hosts that may own tokens.
        version: Version of that configuration; an older one than the
            shares were fitted to changes nothing.
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
        # Least of this resource first, then least of all: 3 slots on 2
        # hosts split 2 to 1, and the next such upstream 1 to 2.
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
    heirs: Iterable[str],
) -> Shares:
    """Give the tokens of a dead host to others.

    Args:
        shares: The owners so far.
        dead: Name of the host.
        incarnation: The incarnation that is proved dead; if another one is
            registered by now, nothing changes.
        heirs: Live hosts, in any order.
    """
    names = sorted(set(heirs) - {dead})
    if shares.incarnations.get(dead) != incarnation or not names:
        return shares
    load: Counter[str] = Counter(dict.fromkeys(names, 0))
    for kept in shares.owners.values():
        load.update(owner for owner in kept if owner in load)
    owners = {}
    for resource, kept in shares.owners.items():
        owners[resource] = tuple(
            _heir(names, load) if owner == dead else owner for owner in kept
        )
    incarnations = {
        host: registered
        for host, registered in shares.incarnations.items()
        if host != dead
    }
    return Shares(owners, incarnations, shares.version)


def _heir(names: list[str], load: Counter[str]) -> str:
    owner = min(names, key=lambda name: (load[name], name))
    load[owner] += 1
    return owner


def transfer_tokens(
    shares: Shares,
    giver: str,
    receiver: str,
    tokens: Mapping[str, Iterable[int]],
) -> Shares:
    """Give tokens that their owner has stopped using to another host."""
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
    """Find a host that owns least and how many tokens would even it out.

    Returns:
        The receiver and half of the difference in tokens; 0 if the giver
        owns no more than others.
    """
    load = Counter(dict.fromkeys(hosts, 0))
    for kept in shares.owners.values():
        load.update(owner for owner in kept if owner in load)
    receiver = min(load, key=lambda name: (load[name], name), default=giver)
    return receiver, max((load[giver] - load[receiver]) // 2, 0)
