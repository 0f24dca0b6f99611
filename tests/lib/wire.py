"""Connects hosts without sockets, with a clock that the test advances.

Datagrams arrive immediately or are lost.
"""

from collections.abc import Callable, Iterable
from random import Random

from lib.beats import peer_of
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.fleet.heartbeats import PeerName, Versions
from wardstair.fleet.members import Members

Passes = Callable[[str, str], bool]


def pass_all(_sender: str, _receiver: str) -> bool:
    """Let all datagrams arrive."""
    return True


class Wire:
    """Members and heartbeat endpoints of entry hosts, without sockets.

    Attributes:
        now: Monotonic time in seconds.
        sent: Number of datagrams sent.
        hosts: Members and heartbeat endpoint of each running host, by name.
        passes: Returns whether a datagram from one address arrives at another.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 100.0
        self.sent = 0
        self.hosts: dict[str, tuple[Members, HeartbeatEndpoint]] = {}
        self.passes: Passes = pass_all
        self._random = Random(seed)
        self._seeds: dict[str, tuple[str, ...]] = {}

    def start(self, peers: Iterable[PeerName], seeds: Iterable[str]) -> None:
        """Start hosts at the same time, then let each greet the seeds."""
        seeds = tuple(seeds)
        started = []
        for peer in peers:
            members = Members(peer, lambda: self.now, lambda: True)
            endpoint = _WireEndpoint(
                self,
                members,
                self._random.getrandbits(32),
            )
            self.hosts[peer.name] = (members, endpoint)
            self._seeds[peer.name] = seeds
            started.append(endpoint)
        for endpoint in started:
            endpoint.greet(seeds)

    def beat(self, times: int = 1) -> None:
        """Advance the clock by a second and let all hosts send heartbeats.

        Args:
            times: Number of repetitions.
        """
        for _ in range(times):
            self.now += 1
            for name, (_members, endpoint) in self.hosts.items():
                endpoint.send_due(self._seeds[name])

    def deliver(self, sender: str, address: str, datagram: bytes) -> None:
        """Deliver a datagram unless it is lost."""
        self.sent += 1
        target = self.hosts.get(address)
        if target is not None and self.passes(sender, address):
            target[1].datagram_received(datagram, (sender, 1))


class _WireEndpoint(HeartbeatEndpoint):
    def __init__(self, wire: Wire, members: Members, seed: int) -> None:
        super().__init__(members, 1, Versions, Random(seed))
        self._wire = wire

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        self._wire.deliver(self._members.own.address, address, datagram)


def zone_hosts(zone: str, amount: int) -> list[PeerName]:
    """Return some hosts of a zone."""
    return [peer_of(f'{zone}-{number}', zone) for number in range(amount)]
