"""What hosts tell each other of roll-outs."""

from dataclasses import dataclass

from wardstair.state.past_rollouts import KnownRecord
from wardstair.state.revision import Revision
from wardstair.state.rollout_orders import (
    Rollout,
    ServiceVersion,
    UnusableRollout,
)


@dataclass(frozen=True, slots=True)
class SharedRollouts:
    """All that a host knows of roll-outs.

    Attributes:
        revision: Store revision up to which all orders are known.
        rollouts: The usable orders that the store lists.
        refused: The orders that cannot be carried out.
        kept: Orders that a restored store lacks and that the sender keeps.
        records: Known records, including those that the store lacks.
        withdrawn: Targets whose order was withdrawn.
        in_order: Versions that are in order without one.
    """

    revision: Revision
    rollouts: tuple[Rollout, ...] = ()
    refused: tuple[UnusableRollout, ...] = ()
    kept: tuple[Rollout, ...] = ()
    records: tuple[KnownRecord, ...] = ()
    withdrawn: tuple[ServiceVersion, ...] = ()
    in_order: tuple[ServiceVersion, ...] = ()
