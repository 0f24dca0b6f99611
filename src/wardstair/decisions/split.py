"""Split of a route's requests among services by weight.

A key stays with one service while the weights allow it, since it is warm at the
upstreams of that service. The parts actually sent correct the choice.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wardstair.decisions.ranking import unit_hash

# How far the sent part of a service may deviate from its weight in either
# direction before keys are sent to another service. Operators tolerate about a
# tenth, half of which is reserved for the fleet as a whole. The limit applies
# in both directions: when it applied only to parts above their weight, one of
# three services fell behind by 0.06.
TOLERANCE = 0.03
# Number of requests after which the weight of older ones is halved.
HALF_LIFE = 400


@dataclass(slots=True)
class SplitTally:
    """Requests of one split route that one host has sent, by service."""

    sent: dict[str, float] = field(default_factory=dict)
    total: float = 0.0

    def choose(self, key: str, shares: Sequence[tuple[str, float]]) -> str:
        """Choose a service and count the request.

        Args:
            key: Affinity key of the request.
            shares: Services with positive weights.
        """
        weight_sum = sum(weight for _, weight in shares)
        parts = [(name, weight / weight_sum) for name, weight in shares]
        chosen = self._correct(_by_hash(key, parts), parts)
        self._count(chosen)
        return chosen

    def _correct(self, chosen: str, parts: list[tuple[str, float]]) -> str:
        if not self.total:
            return chosen
        ahead = {
            name: self.sent.get(name, 0.0) / self.total - part
            for name, part in parts
        }
        last = min(ahead, key=lambda name: ahead[name])
        if ahead[chosen] <= TOLERANCE and ahead[last] >= -TOLERANCE:
            return chosen
        return last

    def _count(self, name: str) -> None:
        if self.total >= HALF_LIFE * 2:
            self.total /= 2
            self.sent = {known: sent / 2 for known, sent in self.sent.items()}
        self.total += 1
        self.sent[name] = self.sent.get(name, 0.0) + 1


def _by_hash(key: str, parts: list[tuple[str, float]]) -> str:
    point = unit_hash(f'split {key}')
    for name, part in parts:
        if point < part:
            return name
        point -= part
    return parts[-1][0]
