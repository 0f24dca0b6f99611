"""What the host did and why, in bounded memory."""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

ENTRIES = 5000
REASONS_AN_ENTRY = 16


@dataclass
class JournalEntry:
    """What was decided about one request, shift or upstream.

    Attributes:
        subject: The request's id or key, or the name of the thing.
        at: Wall clock time in seconds.
        version: Version of the configuration in force.
        facts: What the decision rested on, by name.
        steps: What was done, in order.
    """

    subject: str
    at: float
    version: int
    facts: dict[str, object] = field(default_factory=dict)
    steps: list[str] = field(default_factory=list)

    def add_step(self, text: str) -> None:
        """Note one more step unless there are very many."""
        if len(self.steps) < REASONS_AN_ENTRY:
            self.steps.append(text)


class Journal:
    """The newest entries, by subject."""

    def __init__(self, entries: int = ENTRIES) -> None:
        """Make an empty journal.

        Args:
            entries: Most entries kept; the oldest go first.
        """
        self._most = entries
        self._entries: OrderedDict[str, JournalEntry] = OrderedDict()

    def open(self, subject: str, version: int) -> JournalEntry:
        """Begin an entry, replacing an older one of the subject."""
        entry = JournalEntry(subject, time.time(), version)
        self._entries[subject] = entry
        self._entries.move_to_end(subject)
        while len(self._entries) > self._most:
            self._entries.popitem(last=False)
        return entry

    def alias(self, name: str, entry: JournalEntry) -> None:
        """Make an entry findable by another name too."""
        self._entries[name] = entry

    def find(self, subject: str) -> JournalEntry | None:
        """Return the entry of a subject, or None."""
        return self._entries.get(subject)
