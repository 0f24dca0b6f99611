"""Upstreams are cold after an evacuation, also for a host that just started.

A starting host may receive the upstreams from one peer during an evacuation and
the end of the evacuation from a more recent peer. It never knew of the
evacuation, and the entries that mark the upstreams as cold arrive a second or
more later. Without a mark from its peers it would send to them at full rate.
"""

import asyncio
from dataclasses import replace
from random import Random

import pytest
from lib.revisions import at
from lib.specs import configuration_spec
from lib.upstreams import ENTRY, Clock

from wardstair.decisions.timing import timing_for
from wardstair.fleet.heartbeats import Versions
from wardstair.fleet.sharing import decode_state
from wardstair.platform.objects import Metadata, StoredObject
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.local_state import LocalState
from wardstair.state.roles import Roles

COLD_SECONDS = 3.0
ZONE = ENTRY.zone


def local_state_of(clock: Clock) -> LocalState:
    """Return the state of a host that has the configuration."""
    local_state = LocalState(clock, Catalog(clock))
    stored = StoredObject(
        metadata=Metadata(name='main', revision=1),
        spec=configuration_spec(1),
    )
    assert local_state.offer_configuration(stored, 'test')
    return local_state


def changes_from(local_state: LocalState) -> CatalogChanges:
    """Return the upstreams as a host sends them to a new one."""

    async def ask() -> bytes:
        contact = StoreContact(local_state.clock, Random(1))
        roles = Roles(lambda: False, lambda: False)
        timing = timing_for(2.5, 4.0)
        exchange = StateExchange(
            local_state,
            contact,
            1,
            roles,
            'z',
            lambda: timing,
        )
        answer = exchange.answer(Versions())
        exchange.close()
        return answer

    state = decode_state(asyncio.run(ask()))
    assert state is not None
    assert state.upstreams is not None
    return state.upstreams


@pytest.mark.parametrize(
    ('begins', 'ends', 'is_cold'),
    [
        # Whether the new host receives the begin and the end of the evacuation.
        (False, False, False),
        (False, True, True),
        (True, True, True),
    ],
)
def test_a_new_host_treats_upstreams_as_cold_after_an_evacuation(
    *,
    begins: bool,
    ends: bool,
    is_cold: bool,
) -> None:
    clock = Clock()
    source, newcomer = local_state_of(clock), local_state_of(clock)
    other = replace(ENTRY, name='i-2', zone='b1')
    source.catalog.replace_all([ENTRY, other], at(5), store_was_away=False)
    if begins or ends:
        source.set_evacuated([ZONE], at(6), 'watch')
    newcomer.catalog.merge_peer_changes(changes_from(source))
    if begins:
        newcomer.set_evacuated([ZONE], at(6), 'host:a')
    clock.now += 1
    if ends:
        newcomer.set_evacuated([], at(7), 'host:b')
    upstreams = newcomer.catalog.upstreams
    assert upstreams['i-1'].is_cold(clock.now) is is_cold
    assert not upstreams['i-2'].is_cold(clock.now)
    assert not upstreams['i-1'].is_cold(clock.now + COLD_SECONDS)
