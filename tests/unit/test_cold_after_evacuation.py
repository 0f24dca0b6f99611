"""Upstreams come back cold from an evacuation; every host has to know that.

A host that starts meanwhile may get the upstreams from one host, while the
zone is being emptied, and that this is over from another that is further. It
never knew of the evacuation, and nobody else tells it that they are cold until
they do so themselves, a second and more later.
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
from wardstair.state.belief import Belief
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.contact import StoreContact
from wardstair.state.exchange import StateExchange
from wardstair.state.roles import Roles

COLD_SECONDS = 3.0
ZONE = ENTRY.zone


def belief_of(clock: Clock) -> Belief:
    """Return what a host believes that knows the configuration."""
    belief = Belief(clock, Catalog(clock))
    stored = StoredObject(
        metadata=Metadata(name='main', revision=1),
        spec=configuration_spec(1),
    )
    assert belief.offer_configuration(stored, 'test')
    return belief


def told_by(belief: Belief) -> CatalogChanges:
    """Return the upstreams as a host tells a newcomer of them."""

    async def ask() -> bytes:
        contact = StoreContact(belief.clock, Random(1))
        roles = Roles(lambda: False, lambda: False)
        timing = timing_for(2.5, 4.0)
        exchange = StateExchange(
            belief,
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
        # The newcomer hears of neither, the begin, the end, both.
        (False, False, False),
        (False, True, True),
        (True, True, True),
    ],
)
def test_a_newcomer_knows_upstreams_as_cold_after_an_evacuation(
    *,
    begins: bool,
    ends: bool,
    is_cold: bool,
) -> None:
    clock = Clock()
    source, newcomer = belief_of(clock), belief_of(clock)
    other = replace(ENTRY, name='i-2', zone='b1')
    source.catalog.replace_all([ENTRY, other], at(5), store_was_away=False)
    if begins or ends:
        source.set_evacuated([ZONE], at(6), 'watch')
    newcomer.catalog.take_over(told_by(source))
    if begins:
        newcomer.set_evacuated([ZONE], at(6), 'host:a')
    clock.now += 1
    if ends:
        newcomer.set_evacuated([], at(7), 'host:b')
    upstreams = newcomer.catalog.upstreams
    assert upstreams['i-1'].is_cold(clock.now) is is_cold
    assert not upstreams['i-2'].is_cold(clock.now)
    assert not upstreams['i-1'].is_cold(clock.now + COLD_SECONDS)
