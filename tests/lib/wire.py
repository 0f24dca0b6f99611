"""A fleet whose datagrams arrive at once or are lost; time moves by hand."""

from collections.abc import Callable, Iterable
from random import Random

from lib.beats import peer_of
from wardstair.fleet.heartbeat_endpoint import HeartbeatEndpoint
from wardstair.fleet.heartbeats import PeerName, Versions
from wardstair.fleet.members import Members

Passes = Callable[[str, str], bool]


def pass_all(_sender: str, _receiver: str) -> bool:
    """Let every datagram arrive."""
    return True


class Wire:
    """Members and radios of entry hosts without sockets.

    Attributes:
        now: Monotonic time in seconds.
        sent: Datagrams sent.
        hosts: Members and radio of each host that runs, by name.
        passes: Whether a datagram from one address arrives at another.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 100.0
        self.sent = 0
        self.hosts: dict[str, tuple[Members, HeartbeatEndpoint]] = {}
        self.passes: Passes = pass_all
        self._random = Random(seed)
        self._seeds: dict[str, tuple[str, ...]] = {}

    def start(self, peers: Iterable[PeerName], seeds: Iterable[str]) -> None:
        """Start hosts at once; one after the other greets the seeds."""
        seeds = tuple(seeds)
        started = []
        for peer in peers:
            members = Members(peer, lambda: self.now, lambda: True)
            radio = _WiredRadio(self, members, self._random.getrandbits(32))
            self.hosts[peer.name] = (members, radio)
            self._seeds[peer.name] = seeds
            started.append(radio)
        for radio in started:
            radio.greet(seeds)

    def beat(self, times: int = 1) -> None:
        """Let every host send its heartbeat, a second later each time."""
        for _ in range(times):
            self.now += 1
            for name, (_members, radio) in self.hosts.items():
                radio.send_due(self._seeds[name])

    def carry(self, sender: str, address: str, datagram: bytes) -> None:
        """Deliver a datagram, unless it is lost."""
        self.sent += 1
        target = self.hosts.get(address)
        if target is not None and self.passes(sender, address):
            target[1].datagram_received(datagram, (sender, 1))


class _WiredRadio(HeartbeatEndpoint):
    def __init__(self, wire: Wire, members: Members, seed: int) -> None:
        super().__init__(members, 1, Versions, Random(seed))
        self._wire = wire

    def _send_bytes(self, address: str, datagram: bytes) -> None:
        self._wire.carry(self._members.own.address, address, datagram)


def zone_hosts(zone: str, amount: int) -> list[PeerName]:
    """Return hosts of a zone."""
    return [peer_of(f'{zone}-{number}', zone) for number in range(amount)]
