"""Bounded journal of what the host did and why."""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_ENTRIES = 5000
MAX_STEPS_PER_ENTRY = 16


@dataclass
class JournalEntry:
    """The decisions about one request, shift or upstream.

    Attributes:
        subject: Id or key of the request, or name of the shift or upstream.
        at: Wall clock time in seconds when the entry was opened.
        version: Version of the configuration in force then.
        facts: Inputs of the decisions, by name.
        steps: What was done, in order.
    """

    subject: str
    at: float
    version: int
    facts: dict[str, object] = field(default_factory=dict)
    steps: list[str] = field(default_factory=list)

    def add_step(self, text: str) -> None:
        """Append a step; ignored once the entry is full."""
        if len(self.steps) < MAX_STEPS_PER_ENTRY:
            self.steps.append(text)


class Journal:
    """The latest entries, by subject."""

    def __init__(self, entries: int = MAX_ENTRIES) -> None:
        """Start with an empty journal.

        Args:
            entries: Maximum number of entries; the oldest are dropped.
        """
        self._max_entries = entries
        self._entries: OrderedDict[str, JournalEntry] = OrderedDict()

    def open(self, subject: str, version: int) -> JournalEntry:
        """Open an entry, replacing an earlier one of the same subject."""
        entry = JournalEntry(subject, time.time(), version)
        self._entries[subject] = entry
        self._entries.move_to_end(subject)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)
        return entry

    def alias(self, name: str, entry: JournalEntry) -> None:
        """Make an entry available under a second name."""
        self._entries[name] = entry

    def find(self, subject: str) -> JournalEntry | None:
        """Return the entry of a subject, or None."""
        return self._entries.get(subject)
