"""Identifies requests that terminate the upstreams that run them.

The evidence for a request is a set of upstream incarnations. Merging evidence
is a union, so hosts may report it in any order and repeatedly.

An upstream runs several requests concurrently, and all of them are aborted when
it exits. Two rules exonerate the requests that did not cause the exit:

- An answer shows that the request does not terminate every upstream that runs
  it.
- If another request was present at more exits, it explains an exit better: the
  exit does not count against the requests that ran at the same time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Number of exits from which a request is held. In simulations with this value
# (see test_suspicion_load), a harmful request terminates 5 upstreams, compared
# with 20 to 28 in six seconds if it is not held. At most 3 of about 119,000
# other requests were held wrongly; without the rule on explained exits it was
# 29, without the rule on answers 5, and without both 69.
HOLD_THRESHOLD = 3
# Number of exits from which a request is no longer resent or hedged within a
# try.
SUSPECT_THRESHOLD = 2
# Maximum number of answers from other upstreams, each of which raises the
# number of exits needed to hold the request by one. With more, the answers to
# one caller could exonerate the same bytes when they do harm for another.
MAX_COUNTED_ANSWERS = 6


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence on one request.

    Attributes:
        ended: Upstream incarnations that exited while they ran the request,
            with the wall clock time of the exit in Unix seconds.
        answered: Upstream incarnations that answered the request.
        lifted_at: Wall clock time, in Unix seconds, up to which an operator has
            dismissed the evidence; 0 for never.
    """

    ended: Mapping[str, int] = field(default_factory=dict)
    answered: frozenset[str] = frozenset()
    lifted_at: int = 0

    @property
    def counted(self) -> frozenset[str]:
        """Exited incarnations that are neither dismissed nor have answered."""
        counted = {
            name for name, at in self.ended.items() if at > self.lifted_at
        }
        return frozenset(counted - self.answered)

    @property
    def needed(self) -> int:
        """Number of exited incarnations from which the request is held."""
        others = self.answered - self.ended.keys()
        return HOLD_THRESHOLD + min(len(others), MAX_COUNTED_ANSWERS)

    @property
    def last_at(self) -> int:
        """Wall clock time of the newest part, in Unix seconds."""
        return max((*self.ended.values(), self.lifted_at))


def merge(one: Evidence, other: Evidence) -> Evidence:
    """Merge the evidence of two hosts on one request.

    An incarnation exits only once. If the reported times of its exit differ,
    the earlier one is kept, so that a clock that is ahead does not renew the
    evidence with each report.
    """
    ended = dict(one.ended)
    for incarnation, at in other.ended.items():
        ended[incarnation] = min(at, ended.get(incarnation, at))
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
    # For each incarnation, the largest number of exits counted against a held
    # request that was present at its exit.
    explained: dict[str, int] = {}
    for name in _most_first(records):
        counted = records[name].counted
        # Requests with equally many exits explain them equally well: both are
        # held.
        own = [one for one in counted if explained.get(one, 0) <= len(counted)]
        if len(own) < records[name].needed:
            continue
        held.add(name)
        for one in counted:
            explained[one] = max(explained.get(one, 0), len(counted))
    return frozenset(held)


def _most_first(records: Mapping[str, Evidence]) -> Iterable[str]:
    counts = {
        name: len(one.counted)
        for name, one in records.items()
        if len(one.ended) >= HOLD_THRESHOLD
    }
    enough = [name for name, count in counts.items() if count >= HOLD_THRESHOLD]
    return sorted(enough, key=lambda name: (-counts[name], name))
