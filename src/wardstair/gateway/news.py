"""Tells other entry hosts at once what this one has learned."""

import asyncio
from collections.abc import Callable

from wardstair.decisions.timing import Timing
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.state.exchange import News, StateExchange
from wardstair.state.roles import Roles


class NewsSender:
    """Sends small news as state, then heartbeats for hosts that lack more.

    Both are sent twice, as datagrams are lost. A relay sends state to its
    zone, a sentinel to the relays of other zones as well.
    """

    def __init__(
        self,
        radio: HeartbeatEndpoint,
        exchange: StateExchange,
        roles: Roles,
        timing: Callable[[], Timing],
    ) -> None:
        """Prepare with nothing to tell.

        Args:
            radio: Sends datagrams.
            exchange: Knows what is new.
            roles: What this host does for others.
            timing: When to tell again, by the bounds in force.
        """
        self._radio = radio
        self._exchange = exchange
        self._roles = roles
        self._timing = timing
        self._repeat: asyncio.TimerHandle | None = None

    def tell(self) -> None:
        """Tell what is new now, and once more a little later."""
        if not self._roles.is_relay():
            return
        news = self._exchange.take_news()
        if news is None:
            # Others may lack what hosts merge; the next heartbeat tells again.
            self._radio.send_heartbeats()
            return
        self._send(news)
        self.close()
        self._repeat = asyncio.get_running_loop().call_later(
            self._timing().repeat,
            self._send,
            news,
        )

    def close(self) -> None:
        """Tell nothing again."""
        if self._repeat is not None:
            self._repeat.cancel()

    def _send(self, news: News) -> None:
        if news.state is not None:
            is_sentinel = self._roles.is_sentinel()
            self._radio.send_state(news.state, to_others=is_sentinel)
        self._radio.send_heartbeats()
