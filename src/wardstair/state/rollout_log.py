"""Log lines about roll-outs."""

from collections.abc import Iterable

from wardstair.process.log import log_event, log_warning
from wardstair.state.known_rollouts import KnownRollouts
from wardstair.state.rollout_orders import UnusableRollout


class RefusalLog:
    """Logs each refused order once."""

    def __init__(self) -> None:
        """Start with nothing logged."""
        self._logged: frozenset[UnusableRollout] = frozenset()

    def refresh(self, refused: Iterable[UnusableRollout]) -> None:
        """Log the orders that were not refused at the last call.

        Args:
            refused: All orders that are refused now.
        """
        before = {(one.service, one.version, one.field) for one in self._logged}
        self._logged = frozenset(refused)
        for one in sorted(self._logged, key=_service_of):
            if (one.service, one.version, one.field) not in before:
                log_warning(
                    'rollout-refused',
                    service=one.service,
                    target=one.version,
                    field=one.field,
                    expected=one.expected,
                    revision=one.revision,
                )


def log_rollouts(known: KnownRollouts, source: str) -> None:
    """Log the roll-outs that are in force after a change.

    Args:
        known: The roll-outs.
        source: Where the change came from.
    """
    log_event(
        'rollouts-changed',
        rollouts=','.join(
            f'{service}:{one.order.version}:{one.state}'
            for service, one in sorted(known.current.items())
        ),
        kept=','.join(sorted(known.kept)),
        withdrawn=','.join(
            f'{one.service}:{one.version}'
            for one in sorted(known.past.withdrawn)
        ),
        revision=known.revision,
        source=source,
    )


def _service_of(refused: UnusableRollout) -> str:
    return refused.service
