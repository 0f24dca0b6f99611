"""The tokens of one host, as its components share them."""

from dataclasses import dataclass, field

from wardstair.decisions.ledger import Identity, Ledger
from wardstair.version.resources import Resource


@dataclass
class TokenBook:
    """The ledgers of the version in force.

    Attributes:
        ledgers: Ledgers by name of the resource.
        resources: Resources of the zone by name, with their capacity.
        registered: Incarnations of hosts in the shares of the zone.
        is_fenced: Whether another incarnation of this host took its tokens.
    """

    ledgers: dict[str, Ledger] = field(default_factory=dict)
    resources: dict[str, Resource] = field(default_factory=dict)
    registered: frozenset[Identity] = frozenset()
    is_fenced: bool = False
