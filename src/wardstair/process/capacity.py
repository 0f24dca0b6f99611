"""Synchronizes the tokens of this host with the shares of its zone.

Ownership is read from and written to the platform. Loans between hosts of the
zone don't need the platform: while it is unreachable, ownership does not change
but loans continue.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Mapping
from random import Random

from result import Err, Ok

from wardstair.decisions.ledger import (
    Identity,
    Ledger,
)
from wardstair.decisions.shares import (
    Shares,
    fit_to_capacity,
    reassign_tokens,
    register,
    surplus,
    transfer_tokens,
)
from wardstair.errors import ObjectMissing, PlatformError, VersionConflict
from wardstair.process.fleet import Fleet
from wardstair.process.loans import Loans
from wardstair.process.log import log_event, log_warning
from wardstair.process.platform import (
    PlatformClient,
    StoredObject,
    backoff_seconds,
)
from wardstair.process.tokens import TokenBook
from wardstair.version.resources import Resource
from wardstair.version.topology import Topology

SHARES_KIND = 'shares'
# Upper bound of the interval between two reads of the shares.
SYNC_INTERVAL_SECONDS = 300.0
MAX_WRITE_ATTEMPTS = 8


class Capacity:
    """The tokens that one host owns."""

    def __init__(
        self,
        me: Identity,
        zone: str,
        platform: PlatformClient,
        loans: Loans,
        book: TokenBook,
        fleet: Fleet,
        random: Random,
    ) -> None:
        """Start without tokens.

        Args:
            me: This incarnation.
            zone: Zone of this host.
            platform: Client of the store that keeps the zone's shares.
            loans: Loans of these tokens.
            book: The tokens of this host.
            fleet: The live hosts, which may receive tokens.
            random: Source of jitter and of the choice of receivers.
        """
        self.on_gain: Callable[[], None] = lambda: None
        self._me = me
        self._loans = loans
        self._book = book
        self._zone = zone
        self._platform = platform
        self._fleet = fleet
        self._random = random
        self._hosts: tuple[str, ...] = ()
        self._version = 0
        self._stored: StoredObject | None = None
        self._has_predecessor = False
        self._registered = False
        self._kept_ledgers: dict[str, Ledger] = {}
        self._known_sizes: dict[str, int] = {}
        self._sync_requested = asyncio.Event()

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """The ledgers of the version in force, by name of the resource."""
        return self._book.ledgers

    @property
    def is_fenced(self) -> bool:
        """Whether a later incarnation of this host owns its tokens."""
        return self._book.is_fenced

    @property
    def shares_version(self) -> int:
        """Version of the zone's shares adopted by this host; 0 if none."""
        return 0 if self._stored is None else self._stored.version

    @property
    def is_settled(self) -> bool:
        """Whether the adopted shares fit the configuration in force."""
        if self._stored is None:
            return False
        shares = shares_from_json(self._stored.value)
        return shares.version >= self._version

    def adopt(
        self,
        topology: Topology,
        resources: Mapping[str, Resource],
    ) -> None:
        """Apply the capacities of a new version of the configuration."""
        self._book.resources = dict(resources)
        self._version = topology.version
        self._hosts = tuple(
            host.name for host in topology.zone_hosts(self._zone)
        )
        self._book.ledgers = {
            resource.name: self._ledger_for(resource)
            for resource in resources.values()
        }
        self._sync_requested.set()

    async def run(self) -> None:
        """Synchronize with the shares until cancelled."""
        failures = 0
        while True:
            self._sync_requested.clear()
            done = await self.sync()
            failures = 0 if done else failures + 1
            wait = SYNC_INTERVAL_SECONDS * self._random.uniform(0.7, 1.0)
            if failures:
                wait = backoff_seconds(failures, self._random)
            # asyncio.wait_for isn't used: before Python 3.12 it can swallow a
            # cancellation that arrives together with the event, and stopping
            # the host would then wait for this task for ever.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._sync_requested.wait()

    async def sync(self) -> bool:
        """Read the zone's shares, update them if necessary, and adopt them.

        Returns:
            Whether the shares are known and fit the configuration.
        """
        return await self._change(_unchanged)

    async def reassign_tokens_of(self, dead: Identity) -> None:
        """Reassign the tokens of a host that the platform lists as gone.

        Only the live host that is first by name does it.
        """
        receivers = self._fleet.live_names()
        if self._me.name != min(set(receivers) - {dead.name}, default=''):
            return
        done = await self._change(
            lambda shares: reassign_tokens(
                shares, dead.name, dead.incarnation, receivers
            ),
        )
        log_event('tokens-passed-on', dead=dead.name, done=done)

    async def transfer_all(self) -> None:
        """Transfer all idle tokens to a live host before this one stops."""
        self._loans.return_all()
        receivers = [
            name for name in self._fleet.live_names() if name != self._me.name
        ]
        if not receivers or self._stored is None:
            return
        await self._transfer(self._random.choice(receivers), None)

    async def rebalance(self) -> None:
        """Transfer idle tokens to the live host that owns the fewest."""
        if self._stored is None:
            return
        shares = shares_from_json(self._stored.value)
        live = [
            name
            for name in self._fleet.live_names()
            if name in shares.incarnations
        ]
        receiver, count = surplus(shares, self._me.name, live)
        if count and receiver != self._me.name:
            await self._transfer(receiver, count)

    def note_peer_version(self, version: int) -> None:
        """Synchronize if a peer has adopted newer shares than this host."""
        if version > self.shares_version:
            self._sync_requested.set()

    def _ledger_for(self, resource: Resource) -> Ledger:
        # The ledger of a removed resource is kept: when the resource is added
        # again, earlier work may still run on its tokens.
        ledger = self._kept_ledgers.setdefault(
            resource.name,
            Ledger(resource.hold_seconds),
        )
        ledger.hold_seconds = resource.hold_seconds
        for token in list(ledger.owned):
            if token >= resource.size:
                ledger.retire(token)
        return ledger

    async def _change(self, change: Callable[[Shares], Shares]) -> bool:
        """Apply a change to the stored shares and adopt the result.

        After a version conflict the change is applied to the newly stored
        shares, so it must be correct for any state of them.

        Returns:
            False if there is no configuration yet, or if the shares could not
            be read or written.
        """
        if not self._book.resources:
            return False
        for _ in range(MAX_WRITE_ATTEMPTS):
            written = await self._change_once(change)
            match written:
                case Ok(stored):
                    self._adopt_shares(stored)
                    return True
                case Err(error) if not isinstance(error, VersionConflict):
                    return False
        return False

    async def _change_once(
        self,
        change: Callable[[Shares], Shares],
    ) -> Ok[StoredObject] | Err[PlatformError]:
        found = await self._platform.read(SHARES_KIND, self._zone)
        stored: StoredObject | None = None
        shares = Shares()
        match found:
            case Ok(existing):
                stored = existing
                shares = shares_from_json(existing.value)
            case Err(ObjectMissing()):
                pass  # noqa: WPS420
            case Err() as failed:
                return failed
        rival = shares.incarnations.get(self._me.name, '')
        if rival > self._me.incarnation and stored is not None:
            self._fence(rival)
            return Ok(stored)
        if not self._registered and rival:
            self._has_predecessor = rival != self._me.incarnation
        wanted = self._register_and_fit(change(shares))
        if stored is not None and wanted == shares:
            return Ok(stored)
        return await self._platform.write_with_read_back(
            SHARES_KIND,
            self._zone,
            shares_as_json(wanted),
            0 if stored is None else stored.version,
        )

    def _register_and_fit(self, shares: Shares) -> Shares:
        registered = register(shares, self._me.name, self._me.incarnation)
        sizes = {one.name: one.size for one in self._book.resources.values()}
        return fit_to_capacity(registered, sizes, self._hosts, self._version)

    def _adopt_shares(self, stored: StoredObject) -> None:
        if self._stored and stored.version < self._stored.version:
            return
        is_first = not self._registered
        self._registered = True
        self._stored = stored
        if self._book.is_fenced:
            return
        shares = shares_from_json(stored.value)
        self._book.registered = frozenset(
            Identity(name, incarnation)
            for name, incarnation in shares.incarnations.items()
        )
        if is_first and not self._has_predecessor:
            # No earlier incarnation of this host has held a token.
            self._known_sizes = {}
        elif is_first:
            self._known_sizes = _token_counts(shares)
        for name in self._book.ledgers:
            self._adopt_resource(shares, name)
        self._known_sizes = _token_counts(shares)
        self.on_gain()

    def _adopt_resource(self, shares: Shares, name: str) -> None:
        now = time.monotonic()
        resource = self._book.resources[name]
        ledger = self._book.ledgers[name]
        own_tokens = {
            token
            for token in shares.owned_by(self._me.name, name)
            if token < resource.size
        }
        for token in ledger.owned.keys() - own_tokens:
            ledger.retire(token)
        # Rows of the shares never shrink, so a token beyond the known size
        # had no owner before.
        known = self._known_sizes.get(name, 0)
        for token in sorted(own_tokens):
            settle = resource.settle_seconds if token < known else 0
            ledger.adopt(token, now, settle)

    def _fence(self, rival: str) -> None:
        if self._book.is_fenced:
            return
        # The platform replaced this process by another incarnation while it
        # was paused or cut off. The other incarnation owns the tokens now.
        self._book.is_fenced = True
        log_warning('fenced', rival=rival, incarnation=self._me.incarnation)
        for ledger in self._book.ledgers.values():
            for token in ledger.owned:
                ledger.retire(token)

    async def _transfer(self, receiver: str, max_count: int | None) -> None:
        assert self._stored is not None
        transferred: dict[str, list[int]] = {}
        count = 0
        for name, ledger in self._book.ledgers.items():
            for token in ledger.idle_owned:
                if max_count is not None and count >= max_count:
                    break
                if ledger.disown(token):
                    transferred.setdefault(name, []).append(token)
                    count += 1
        if not transferred:
            return
        # The tokens are already disowned here. If the write fails, the next
        # read of the shares shows their owner, which adopts them again after
        # the settle time.
        done = await self._change(
            lambda shares: transfer_tokens(
                shares, self._me.name, receiver, transferred
            ),
        )
        log_event('tokens-handed-over', to=receiver, count=count, done=done)


def _token_counts(shares: Shares) -> dict[str, int]:
    return {name: len(row) for name, row in shares.owners.items()}


def _unchanged(shares: Shares) -> Shares:
    return shares


def shares_as_json(shares: Shares) -> dict[str, object]:
    """Return the JSON form in which shares are stored."""
    return {
        'owners': {
            resource: list(owners) for resource, owners in shares.owners.items()
        },
        'incarnations': dict(shares.incarnations),
        'version': shares.version,
    }


def shares_from_json(value: Mapping[str, object]) -> Shares:
    """Parse stored shares."""
    owners = value['owners']
    incarnations = value['incarnations']
    version = value['version']
    assert isinstance(owners, dict)
    assert isinstance(incarnations, dict)
    assert isinstance(version, int)
    return Shares(
        {name: tuple(row) for name, row in owners.items()},
        incarnations,
        version,
    )
