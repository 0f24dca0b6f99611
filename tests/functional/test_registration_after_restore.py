"""Removal of host objects from a store that reuses revisions after a restore.

A relay removes the object of a lost host on condition that its revision is
unchanged. After a restore the same revision can belong to the object with which
a live host has registered again. The condition then holds by coincidence, and
the new object would be removed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from lib.beats import peer_of
from lib.rig import until
from lib.specs import ADDRESS
from lib.store_standin import StoreStandin

from wardstair.fleet.members import Members
from wardstair.platform.objects import HOST_KIND, RegisteredHost, encode_host
from wardstair.platform.store import Store
from wardstair.state import registration
from wardstair.state.contact import StoreContact
from wardstair.state.registration import Registration
from wardstair.state.restoration import Restoration

OWN = peer_of('host-1')
OTHER = peer_of('host-2')


@dataclass
class SilentMembers(Members):
    """Reports a host as lost once; the store may be restored at that moment."""

    on_check: Callable[[], None] = field(default=lambda: None)
    checks: int = 0

    def forgotten(self) -> list[str]:
        self.checks += 1
        if self.checks > 1:
            return []
        self.on_check()
        return [OTHER.name]


def register(standin: StoreStandin, size: int) -> None:
    """Write the object of the other host."""
    spec = encode_host(RegisteredHost(OTHER, size))['spec']
    standin.put(HOST_KIND, OTHER.name, spec)


@pytest.mark.parametrize('is_restored', [False, True])
def test_only_the_object_that_was_read_is_removed(
    monkeypatch: pytest.MonkeyPatch,
    *,
    is_restored: bool,
) -> None:
    monkeypatch.setattr(registration, 'DISCOVERY_SECONDS', 0.1)
    monkeypatch.setattr(registration, 'SETTLE_SECONDS', 0.0)
    standin = StoreStandin()

    def restore() -> None:
        standin.restore(copy)
        standin.status = None
        register(standin, 2)

    async def main() -> None:
        standin.start()
        store = Store(f'{ADDRESS}:{standin.port}')
        contact = StoreContact(asyncio.get_running_loop().time, Random(1))
        store.on_era = contact.note_era
        task = asyncio.ensure_future(
            Registration(
                store,
                contact,
                OWN,
                members,
                Restoration(asyncio.get_running_loop().time),
                is_first_start=True,
            ).run(),
        )
        await until(lambda: members.checks == 3)
        is_registered = OTHER.name in standin.kind(HOST_KIND).objects
        assert is_registered is is_restored
        task.cancel()
        store.close()
        await standin.stop()

    members = SilentMembers(OWN, lambda: 100.0)
    copy = standin.copy()
    register(standin, 1)
    if is_restored:
        members.on_check = restore
    asyncio.run(main())
