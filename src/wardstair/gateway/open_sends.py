"""Counts the requests of this host that are under way, by upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from wardstair.state.entries import UpstreamEntry
from wardstair.state.upstream import Upstream


@dataclass(slots=True)
class _Open:
    entry: UpstreamEntry
    amount: int = 0


class OpenSends:
    """The requests under way, from the choice of the upstream to the end."""

    def __init__(self) -> None:
        """Start without requests."""
        self._by_incarnation: dict[str, _Open] = {}

    def begin(self, upstream: Upstream) -> None:
        """Count a request.

        Args:
            upstream: The upstream that it is sent to.
        """
        known = self._by_incarnation.get(upstream.incarnation)
        if known is None:
            known = _Open(upstream.entry)
            self._by_incarnation[upstream.incarnation] = known
        known.amount += 1

    def end(self, upstream: Upstream) -> None:
        """Count that a request has ended.

        Args:
            upstream: The upstream that it was sent to.
        """
        known = self._by_incarnation.get(upstream.incarnation)
        if known is None:
            return
        known.amount -= 1
        if known.amount <= 0:
            self._by_incarnation.pop(upstream.incarnation)

    def count(self, is_counted: Callable[[UpstreamEntry], bool]) -> int:
        """Return the number of requests at some of the upstreams.

        Args:
            is_counted: Returns whether the requests of an upstream count.
        """
        return sum(
            known.amount
            for known in self._by_incarnation.values()
            if is_counted(known.entry)
        )
