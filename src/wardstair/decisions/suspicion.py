"""Which requests end the upstreams that run them, judged from what is proved.

Evidence is a set of lives of upstreams a request, so that hosts may tell it in
any order and more than once: merging is a union.

An upstream runs several requests at once, and all of them are broken off when
it ends. What clears the innocent:

- an answer: whoever is answered does not end each upstream that runs it;
- a better explanation: a life that a request with more of them ended is not
  counted against those that were beside it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Ended upstreams from which a request is held. In 60 drawn series each (24
# upstreams, 330 requests a second beside a harmful one, popular ones among
# them) it ends 5 upstreams, without the decision 20 to 28 in six seconds.
# Wrongly held were none of 119,043 requests, and 3 of 118,865 where keys have
# homes; of these 29 without explained ends, 5 without answers that clear, 69
# without either.
HOLD_THRESHOLD = 3
# With this many, a request is not sent on or hedged within a try any more.
SUSPECT_THRESHOLD = 2
# Answers of other upstreams that count against ended ones, one each. More would
# let the answers to one caller excuse what another one's same bytes do.
MOST_ANSWERS = 6


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is proved of one request.

    Attributes:
        ended: Lives of upstreams that ended while they had it, with the time
            of day of that, Unix seconds.
        answered: Lives of upstreams that answered it.
        lifted_at: Time of day up to which an operator has set it aside, Unix
            seconds; 0 for never.
    """

    ended: Mapping[str, int] = field(default_factory=dict)
    answered: frozenset[str] = frozenset()
    lifted_at: int = 0

    @property
    def counted(self) -> frozenset[str]:
        """Lives that count: not set aside, and not of who answered it too."""
        lives = {life for life, at in self.ended.items() if at > self.lifted_at}
        return frozenset(lives - self.answered)

    @property
    def needed(self) -> int:
        """Lives from which the request is held."""
        others = self.answered - self.ended.keys()
        return HOLD_THRESHOLD + min(len(others), MOST_ANSWERS)

    @property
    def last_at(self) -> int:
        """Time of day of its newest part, Unix seconds."""
        return max((*self.ended.values(), self.lifted_at))


def merge(one: Evidence, other: Evidence) -> Evidence:
    """Return what both tell together.

    A life ends once: of two times told of its end the earlier one holds, so
    that a clock that is ahead does not renew it each time it is told.
    """
    ended = dict(one.ended)
    for life, at in other.ended.items():
        ended[life] = min(at, ended.get(life, at))
    return Evidence(
        ended,
        one.answered | other.answered,
        max(one.lifted_at, other.lifted_at),
    )


def held_requests(records: Mapping[str, Evidence]) -> frozenset[str]:
    """Return the requests that are to be held.

    Args:
        records: Evidence by request.
    """
    held = set()
    # The most lives of a held request that each life belongs to.
    explained: dict[str, int] = {}
    for name in _most_first(records):
        lives = records[name].counted
        # As many lives as the other explain as well: both are held.
        own = [life for life in lives if explained.get(life, 0) <= len(lives)]
        if len(own) < records[name].needed:
            continue
        held.add(name)
        for life in lives:
            explained[life] = max(explained.get(life, 0), len(lives))
    return frozenset(held)


def _most_first(records: Mapping[str, Evidence]) -> Iterable[str]:
    counts = {
        name: len(one.counted)
        for name, one in records.items()
        if len(one.ended) >= HOLD_THRESHOLD
    }
    enough = [name for name, count in counts.items() if count >= HOLD_THRESHOLD]
    return sorted(enough, key=lambda name: (-counts[name], name))
