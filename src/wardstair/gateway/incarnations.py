"""Reacts to upstreams that exit or restart."""

import asyncio

from wardstair.connection.pool import UpstreamPool
from wardstair.gateway.announcing import ChangeAnnouncer
from wardstair.gateway.choosing import Chooser, ColdReason
from wardstair.state.entries import UpstreamEntry
from wardstair.state.local_state import LocalState


class IncarnationEvents:
    """Informs the components that keep state of an upstream incarnation."""

    def __init__(
        self,
        local_state: LocalState,
        pool: UpstreamPool,
        chooser: Chooser,
        announcer: ChangeAnnouncer,
        suspects_changed: asyncio.Event,
    ) -> None:
        """Subscribe to the catalog and the table of suspects.

        Args:
            local_state: The local state of this host.
            pool: Connections to upstreams.
            chooser: Limits what cold upstreams get.
            announcer: Announces changes to other hosts.
            suspects_changed: Set when the table of suspects has changed.
        """
        self._announcer = announcer
        self._catalog = local_state.catalog
        self._pool = pool
        self._chooser = chooser
        self._suspects_changed = suspects_changed
        local_state.catalog.on_incarnation_ended = self._on_incarnation_ended
        local_state.suspects.on_ended = self._on_exit_proved
        local_state.suspects.on_change = self._on_suspects_changed

    def newest(self, name: str) -> UpstreamEntry | None:
        """Return the entry of an upstream's newest incarnation, if any.

        Args:
            name: The upstream's name.
        """
        upstream = self._catalog.upstreams.get(name)
        if upstream is None or upstream.gone_at is not None:
            return None
        return upstream.entry

    def _on_incarnation_ended(self, name: str) -> None:
        """Drop the connections and counts of an upstream that has restarted."""
        self._pool.drop(name)
        self._chooser.cold_sends.forget_one(name)
        self._chooser.limited_sends.forget_one(name)

    def _on_exit_proved(self, incarnation: str) -> None:
        """Avoid an upstream that exited and assume that it restarts cold.

        A host that has no other upstream still sends to it.
        """
        upstream = self._catalog.note_ended(incarnation)
        if upstream is not None:
            self._chooser.assume_cold(
                upstream,
                ColdReason.ended,
                self._catalog.clock(),
            )

    def _on_suspects_changed(self) -> None:
        """Announce the change to other hosts and update the store."""
        self._suspects_changed.set()
        self._announcer.schedule()
