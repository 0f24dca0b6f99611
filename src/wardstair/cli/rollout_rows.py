"""Roll-outs as gateways list them, and which listing of several counts."""

from collections.abc import Iterable, Sequence
from typing import Annotated

from pydantic import BaseModel, ConfigDict, StringConstraints, TypeAdapter

REFUSED = 'refused'
RUNNING = 'running'
_REVISION = r'^[0-9]+\.[0-9]+$'
_Revision = Annotated[str, StringConstraints(pattern=_REVISION)]


class RolloutRow(BaseModel):
    """One roll-out or refused order, as `gateway/rollout_listing.py` has it."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    service: str
    version: str
    state: str
    stage: str
    share: float | None = None
    sent: int | None = None
    bound: int | None = None
    answers: int | None = None
    bad: int | None = None
    seconds_left: float | None = None
    reason: str
    field: str = ''
    expected: str = ''
    reserved: int = 0
    coordinator: str = ''
    term: _Revision
    revision: _Revision
    host: str

    @property
    def is_refused(self) -> bool:
        """Whether it is an order that cannot be carried out."""
        return self.state == REFUSED

    @property
    def latest(self) -> tuple[int, ...]:
        """The latest write of the order or plan that the host knows."""
        return max(_numbers(self.term), _numbers(self.revision))

    @property
    def rank(self) -> tuple[tuple[int, ...], bool, bool]:
        """Order of what hosts know of one state; the highest counts.

        A host that has heard a plan of a later term goes before a coordinator,
        which has been replaced then.
        """
        is_coordinator = self.host == self.coordinator
        return _numbers(self.term), is_coordinator, self.sent is not None


_LISTING = TypeAdapter(list[RolloutRow])


def parse_listing(content: object) -> list[RolloutRow]:
    """Return the rows of a host's answer.

    Args:
        content: The decoded JSON body.

    Raises:
        ValidationError: The answer is no listing of roll-outs.
    """
    return _LISTING.validate_python(content)


def merge_listings(
    listings: Iterable[Sequence[RolloutRow]],
) -> list[RolloutRow]:
    """Return for each service the row of the host that knows most.

    A service may have a roll-out and a refused order beside it.

    Args:
        listings: The rows of each host; of equal ones the first counts.
    """
    by_subject: dict[tuple[str, bool], list[RolloutRow]] = {}
    for rows in listings:
        for row in rows:
            subject = (row.service, row.is_refused)
            by_subject.setdefault(subject, []).append(row)
    return [_best(rows) for _, rows in sorted(by_subject.items())]


def _best(rows: Sequence[RolloutRow]) -> RolloutRow:
    """Return the row that counts of those about one subject.

    Hosts learn of a write at different times. Those that lag behind in the
    order or its state do not count, while all others may: the coordinator has
    the counts even if another host knows a later write of its record.
    """
    latest = max(rows, key=lambda row: row.latest)
    current = [
        row
        for row in rows
        if (row.version, row.state) == (latest.version, latest.state)
    ]
    return max(current, key=lambda row: row.rank)


def _numbers(revision: str) -> tuple[int, ...]:
    return tuple(int(number) for number in revision.split('.'))
