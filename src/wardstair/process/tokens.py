"""The tokens of one host, shared by those who own, lend and use them."""

from dataclasses import dataclass, field

from wardstair.decisions.ledger import Identity, Ledger
from wardstair.version.resources import Resource


@dataclass
class TokenBook:
    """The ledgers of the version in force.

    Attributes:
        ledgers: By name of the resource.
        resources: The capacities of the zone, by name.
        registered: The incarnations that the zone's shares know.
        is_fenced: Whether another incarnation of this host has its tokens.
    """

    ledgers: dict[str, Ledger] = field(default_factory=dict)
    resources: dict[str, Resource] = field(default_factory=dict)
    registered: frozenset[Identity] = frozenset()
    is_fenced: bool = False
