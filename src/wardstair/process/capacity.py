"""Keeps this host's tokens in step with the zone's shares.

Ownership is read from and written to the platform; loans pass between hosts
of the zone without it. While the platform is away, ownership stands still
and loans go on.
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
    fit,
    hand_over,
    pass_on,
    register,
    surplus,
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
SYNC_SECONDS = 300.0
WRITE_TRIES = 8


class Capacity:
    """Ownership of the tokens of one host."""

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
            platform: Where the zone's shares are kept.
            loans: Loans of these tokens.
            book: The tokens of this host.
            fleet: Who is alive to inherit or receive tokens.
            random: Source of jitter.
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
        self._predecessor = False
        self._registered = False
        self._kept_ledgers: dict[str, Ledger] = {}
        self._known_tokens: dict[str, int] = {}
        self._kick = asyncio.Event()

    @property
    def ledgers(self) -> dict[str, Ledger]:
        """The ledgers of the version in force, by resource."""
        return self._book.ledgers

    @property
    def is_fenced(self) -> bool:
        """Whether another incarnation of this host has its tokens."""
        return self._book.is_fenced

    @property
    def shares_version(self) -> int:
        """Version of the zone's shares that is adopted here."""
        return 0 if self._stored is None else self._stored.version

    @property
    def is_settled(self) -> bool:
        """Whether this incarnation has its tokens of the version."""
        if self._stored is None:
            return False
        shares = shares_from_json(self._stored.value)
        return shares.version >= self._version

    def adopt(
        self,
        topology: Topology,
        resources: Mapping[str, Resource],
    ) -> None:
        """Take over the capacities of a new version."""
        self._book.resources = dict(resources)
        self._version = topology.version
        self._hosts = tuple(
            host.name for host in topology.zone_hosts(self._zone)
        )
        self._book.ledgers = {
            resource.name: self._fitting_ledger(resource)
            for resource in resources.values()
        }
        self._kick.set()

    async def run(self) -> None:
        """Keep the shares in step until cancelled."""
        failures = 0
        while True:
            self._kick.clear()
            done = await self.sync()
            failures = 0 if done else failures + 1
            wait = SYNC_SECONDS * self._random.uniform(0.7, 1.0)
            if failures:
                wait = backoff_seconds(failures, self._random)
            # Not asyncio.wait_for: before Python 3.12 it can swallow a
            # cancellation that comes with the event, and the host's stop
            # then waited for this task for ever.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._kick.wait()

    async def sync(self) -> bool:
        """Read the zone's shares, change them if need be, and adopt them.

        Returns:
            Whether the shares are known and fit the configuration.
        """
        return await self._change(_unchanged)

    async def bury(self, dead: Identity) -> None:
        """Give the tokens of a host that the platform says is gone."""
        heirs = self._fleet.live_names()
        if self._me.name != min(set(heirs) - {dead.name}, default=''):
            return
        done = await self._change(
            lambda shares: pass_on(shares, dead.name, dead.incarnation, heirs),
        )
        log_event('tokens-passed-on', dead=dead.name, done=done)

    async def hand_over_all(self) -> None:
        """Give all idle tokens to a live host, before this one ends."""
        self._loans.return_all()
        heirs = [
            name for name in self._fleet.live_names() if name != self._me.name
        ]
        if not heirs or self._stored is None:
            return
        await self._give(self._random.choice(heirs), None)

    async def even_out(self) -> None:
        """Give idle tokens to the host that owns least."""
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
            await self._give(receiver, count)

    def hear(self, version: int) -> None:
        """Note the version of the shares that a peer has adopted."""
        if version > self.shares_version:
            self._kick.set()

    def _fitting_ledger(self, resource: Resource) -> Ledger:
        # The ledger of a resource that was removed is kept: when it comes
        # back, work from before may still run on its tokens.
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
        """Change the newest shares and adopt them; False if it failed.

        The change is made to whatever is stored by then, so it has to be
        right for any state of the shares.
        """
        if not self._book.resources:
            return False
        for _ in range(WRITE_TRIES):
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
            case Ok(there):
                stored = there
                shares = shares_from_json(there.value)
            case Err(ObjectMissing()):
                pass  # noqa: WPS420
            case Err() as failed:
                return failed
        rival = shares.incarnations.get(self._me.name, '')
        if rival > self._me.incarnation and stored is not None:
            self._fence(rival)
            return Ok(stored)
        if not self._registered and rival:
            self._predecessor = rival != self._me.incarnation
        wanted = self._fitted(change(shares))
        if stored is not None and wanted == shares:
            return Ok(stored)
        return await self._platform.write_with_read_back(
            SHARES_KIND,
            self._zone,
            shares_as_json(wanted),
            0 if stored is None else stored.version,
        )

    def _fitted(self, shares: Shares) -> Shares:
        registered = register(shares, self._me.name, self._me.incarnation)
        sizes = {one.name: one.size for one in self._book.resources.values()}
        return fit(registered, sizes, self._hosts, self._version)

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
        if is_first and not self._predecessor:
            # No earlier incarnation of this host ever held a token.
            self._known_tokens = {}
        elif is_first:
            self._known_tokens = _sizes(shares)
        for name in self._book.ledgers:
            self._adopt_resource(shares, name)
        self._known_tokens = _sizes(shares)
        self.on_gain()

    def _adopt_resource(self, shares: Shares, name: str) -> None:
        now = time.monotonic()
        resource = self._book.resources[name]
        ledger = self._book.ledgers[name]
        mine = {
            token
            for token in shares.owned_by(self._me.name, name)
            if token < resource.size
        }
        for token in ledger.owned.keys() - mine:
            ledger.retire(token)
        # Rows of the shares never shrink, so a token past what was known
        # had no owner before.
        known = self._known_tokens.get(name, 0)
        for token in sorted(mine):
            settle = resource.settle_seconds if token < known else 0
            ledger.adopt(token, now, settle)

    def _fence(self, rival: str) -> None:
        if self._book.is_fenced:
            return
        # The platform's host list replaced this process while it was
        # paused or cut off; the other incarnation has the tokens now.
        self._book.is_fenced = True
        log_warning('fenced', rival=rival, incarnation=self._me.incarnation)
        for ledger in self._book.ledgers.values():
            for token in ledger.owned:
                ledger.retire(token)

    async def _give(self, receiver: str, most: int | None) -> None:
        assert self._stored is not None
        given: dict[str, list[int]] = {}
        count = 0
        for name, ledger in self._book.ledgers.items():
            for token in ledger.idle_owned:
                if most is not None and count >= most:
                    break
                if ledger.disown(token):
                    given.setdefault(name, []).append(token)
                    count += 1
        if not given:
            return
        # Given up here already: if the write fails, the next reading of the
        # shares tells whose they are, and they settle anew.
        done = await self._change(
            lambda shares: hand_over(shares, self._me.name, receiver, given),
        )
        log_event('tokens-handed-over', to=receiver, count=count, done=done)


def _sizes(shares: Shares) -> dict[str, int]:
    return {name: len(row) for name, row in shares.owners.items()}


def _unchanged(shares: Shares) -> Shares:
    return shares


def shares_as_json(shares: Shares) -> dict[str, object]:
    """Return the form in which shares are stored."""
    return {
        'owners': {
            resource: list(owners) for resource, owners in shares.owners.items()
        },
        'incarnations': dict(shares.incarnations),
        'version': shares.version,
    }


def shares_from_json(value: Mapping[str, object]) -> Shares:
    """Read stored shares."""
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
