"""Sends state updates of this host to other entry hosts at once."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.timing import Timing
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.state.exchange import StateExchange, StateUpdate
from wardstair.state.roles import Roles


class UpdateSender:
    """Sends small updates as state datagrams, followed by heartbeats.

    The heartbeats let hosts that lack more than the update notice it. Both are
    sent twice, since datagrams may be lost. A relay sends the state to its own
    zone, a sentinel also to the relays of other zones.
    """

    def __init__(
        self,
        heartbeat_endpoint: HeartbeatEndpoint,
        exchange: StateExchange,
        roles: Roles,
        timing: Callable[[], Timing],
    ) -> None:
        """Create a sender without pending updates.

        Args:
            heartbeat_endpoint: Sends datagrams.
            exchange: Provides the updates.
            roles: The roles of this host.
            timing: Returns when to repeat an update, by the bounds in force.
        """
        self._heartbeat_endpoint = heartbeat_endpoint
        self._exchange = exchange
        self._roles = roles
        self._timing = timing
        self._repeat_timer: asyncio.TimerHandle | None = None

    def send_update(self) -> None:
        """Send the latest update now and once more after a short delay."""
        if not self._roles.is_relay():
            return
        update = self._exchange.take_update()
        if update is None:
            # Other hosts may lack state that hosts merge. The regular
            # heartbeats repeat this one.
            self._heartbeat_endpoint.send_heartbeats()
            return
        self._send(update)
        self.close()
        self._repeat_timer = asyncio.get_running_loop().call_later(
            self._timing().repeat_delay,
            self._send,
            update,
        )

    def close(self) -> None:
        """Cancel the pending repetition."""
        if self._repeat_timer is not None:
            self._repeat_timer.cancel()

    def _send(self, update: StateUpdate) -> None:
        if update.state is not None:
            is_sentinel = self._roles.is_sentinel()
            self._heartbeat_endpoint.send_state(
                update.state, to_others=is_sentinel
            )
        self._heartbeat_endpoint.send_heartbeats()
