"""What a host's parts do when an upstream's life ends or the next begins."""

import asyncio

from wardstair.connection.pool import UpstreamPool
from wardstair.gateway.announcing import ChangeAnnouncer
from wardstair.gateway.choosing import Chooser, ColdReason
from wardstair.state.belief import Belief
from wardstair.state.entries import UpstreamEntry


class IncarnationEvents:
    """Passes the end of a life on to whoever keeps something of it."""

    def __init__(
        self,
        belief: Belief,
        pool: UpstreamPool,
        chooser: Chooser,
        teller: ChangeAnnouncer,
        changed: asyncio.Event,
    ) -> None:
        """Listen to the catalog and the table of suspects.

        Args:
            belief: What this host knows.
            pool: Connections to upstreams.
            chooser: Keeps what cold upstreams get.
            teller: Has others know that this host has learned something.
            changed: Set when the table of suspects has changed.
        """
        self._teller = teller
        self._catalog = belief.catalog
        self._pool = pool
        self._chooser = chooser
        self._changed = changed
        belief.catalog.on_life_ended = self._on_restarted
        belief.suspects.on_ended = self._on_ended
        belief.suspects.on_change = self._on_suspects

    def newest(self, name: str) -> UpstreamEntry | None:
        """Return the entry of an upstream's newest life, if it is there.

        Args:
            name: The upstream's name.
        """
        upstream = self._catalog.upstreams.get(name)
        if upstream is None or upstream.gone_at is not None:
            return None
        return upstream.entry

    def _on_restarted(self, name: str) -> None:
        """Let nothing that belongs to an upstream's earlier life go on."""
        self._pool.drop(name)
        self._chooser.cold_sends.forget_one(name)
        self._chooser.limited_sends.forget_one(name)

    def _on_ended(self, life: str) -> None:
        """Send nothing to an upstream that ended, and little to its next life.

        A host that has nobody else sends there all the same.
        """
        upstream = self._catalog.note_ended(life)
        if upstream is not None:
            self._chooser.suspect_new_life(
                upstream,
                ColdReason.ended,
                self._catalog.clock(),
            )

    def _on_suspects(self) -> None:
        """Have others know, and the store."""
        self._changed.set()
        self._teller.note()
