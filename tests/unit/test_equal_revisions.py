"""Hosts that know the same revision list the same upstreams.

Changes that a host sends must contain every removal since their start, also of
upstreams that the host itself never knew.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.fleet.sharing import SharedState, StateEncoder, decode_state
from wardstair.state.catalog import (
    RETURN_SECONDS,
    Catalog,
    CatalogChanges,
)
from wardstair.state.entries import UpstreamEntry, UpstreamPhase
from wardstair.state.listed import ListedUpstreams
from wardstair.state.removals import Removal, RemovalLog

HOSTS = 3
# An upstream that registers at revision 2 and is removed at revision 4, and
# another one that registers in between.
SHORT_LIVED = replace(ENTRY, name='short', revision=at(2))
OTHER = replace(ENTRY, name='other', revision=at(3))
REMOVED_AT = at(4)


def encoded(changes: CatalogChanges) -> CatalogChanges:
    """Return changes as another host decodes them."""
    decoded = decode_state(
        StateEncoder().encode(SharedState(upstreams=changes))
    )
    assert decoded is not None
    assert decoded.upstreams is not None
    return decoded.upstreams


def new_catalog(clock: Clock | None = None) -> Catalog:
    catalog = Catalog(clock or Clock())
    catalog.replace_all([], at(1), store_was_away=False)
    return catalog


def used(catalog: Catalog) -> set[str]:
    return {upstream.name for upstream in catalog.of_service(ENTRY.service)}


def read_both(catalog: Catalog) -> None:
    """Have a host read the registration."""
    catalog.apply([SHORT_LIVED, OTHER], [], at(3), store_was_away=False)


def read_removal(catalog: Catalog) -> None:
    """Have a host read the removal, and the other upstream if it lacks it."""
    catalog.apply([OTHER], [SHORT_LIVED.name], REMOVED_AT, store_was_away=False)


def send(sender: Catalog, receiver: Catalog) -> None:
    """Send the changes that a host lacks."""
    changes = sender.changes_since(receiver.revision)
    assert receiver.merge_peer_changes(encoded(changes))


def list_after_removal(sender: Catalog) -> None:
    sender.replace_all([OTHER], REMOVED_AT, store_was_away=False)


def receive_removal(sender: Catalog) -> None:
    peer = new_catalog()
    read_both(peer)
    read_removal(peer)
    send(peer, sender)


def receive_from_uninformed(sender: Catalog) -> None:
    peer = new_catalog()
    read_removal(peer)
    send(peer, sender)


def find_ended_before_removal(sender: Catalog) -> None:
    sender.apply([SHORT_LIVED], [], at(2), store_was_away=False)
    sender.mark_gone(SHORT_LIVED.name)
    sender.expire_missing()
    read_removal(sender)


@pytest.mark.parametrize(
    'learn',
    [
        read_removal,
        list_after_removal,
        receive_removal,
        receive_from_uninformed,
        find_ended_before_removal,
    ],
)
def test_a_removal_is_passed_on_by_a_host_that_did_not_know_the_upstream(
    learn: Callable[[Catalog], None],
) -> None:
    sender, receiver = new_catalog(), new_catalog()
    read_both(receiver)
    learn(sender)
    send(sender, receiver)
    assert receiver.revision == REMOVED_AT
    assert used(receiver) == {OTHER.name}


def test_an_entry_that_may_have_expired_is_kept_by_hosts_that_know_it() -> None:
    clock = Clock()
    sender, between, receiver = (new_catalog(clock) for _ in range(3))
    read_both(receiver)
    # The sender has regained contact with the store, which lists the upstream
    # no longer; neither it nor the host in between has known it.
    sender.apply([OTHER], [SHORT_LIVED.name], REMOVED_AT, store_was_away=True)
    send(sender, between)
    send(between, receiver)
    assert used(receiver) == {OTHER.name, SHORT_LIVED.name}
    clock.now += RETURN_SECONDS
    for catalog in (sender, between, receiver):
        catalog.expire_missing()
        assert used(catalog) == {OTHER.name}
    # A host that is still behind receives the removal.
    late = new_catalog(clock)
    read_both(late)
    send(between, late)
    assert used(late) == {OTHER.name}


def test_an_older_removal_does_not_end_a_new_registration() -> None:
    again = replace(SHORT_LIVED, revision=at(6))
    sender, receiver = new_catalog(), new_catalog()
    for catalog in (sender, receiver):
        read_both(catalog)
    receiver.apply([], [SHORT_LIVED.name], REMOVED_AT, store_was_away=False)
    receiver.apply([again], [], at(6), store_was_away=False)
    sender.mark_gone(SHORT_LIVED.name)
    sender.apply(
        [replace(OTHER, revision=at(7))], [], at(7), store_was_away=False
    )
    changes = sender.changes_since(at(3))
    assert changes.removed == (SHORT_LIVED.name,)
    assert receiver.merge_peer_changes(encoded(changes))
    assert used(receiver) == {OTHER.name, SHORT_LIVED.name}


def test_hosts_do_not_repeat_a_removal_to_each_other() -> None:
    first, second = new_catalog(), new_catalog()
    read_both(first)
    read_removal(first)
    send(first, second)
    for number in (5, 6, 7):
        other = replace(OTHER, revision=at(number))
        sender, receiver = (first, second) if number % 2 else (second, first)
        sender.apply([other], [], at(number), store_was_away=False)
        send(sender, receiver)
    assert first.changes_since(at(5)).removed == ()
    assert second.changes_since(at(5)).removed == ()


@pytest.mark.parametrize('later', [0, 50, 100])
def test_a_removal_keeps_the_latest_known_incarnation(later: int) -> None:
    log = RemovalLog()
    log.note(Removal(at(4), ENTRY.name, 100))
    log.note(Removal(at(6), ENTRY.name, later))
    assert log.incarnations == {ENTRY.name: 100}
    assert [removal.revision for removal in log.since(at(1))] == [at(6)]


@dataclass
class StoreLog:
    """The writes of a store, and what it listed after each.

    Attributes:
        writes: Name and entry of each write; None for a removal.
    """

    writes: list[tuple[str, UpstreamEntry | None]] = field(default_factory=list)

    def write(self, name: str, phase: UpstreamPhase | None) -> None:
        """Write an entry, or remove it."""
        if phase is None and name not in self.listed(len(self.writes)):
            return
        revision = at(len(self.writes) + 1)
        written = None
        if phase is not None:
            written = replace(ENTRY, name=name, phase=phase, revision=revision)
        self.writes.append((name, written))

    def listed(self, revision: int) -> dict[str, UpstreamEntry]:
        """Return what the store lists at a revision."""
        return {
            name: entry
            for name, entry in dict(self.writes[:revision]).items()
            if entry is not None
        }

    def read(self, catalog: Catalog) -> None:
        """Have a host read all writes that it lacks in one answer."""
        last = dict(self.writes[catalog.revision.number :])
        if last:
            catalog.apply(
                [entry for entry in last.values() if entry is not None],
                [name for name, entry in last.items() if entry is None],
                at(len(self.writes)),
                store_was_away=False,
            )

    def list_all(self, catalog: Catalog) -> None:
        """Have a host list everything."""
        revision = len(self.writes)
        listed = self.listed(revision).values()
        catalog.replace_all(listed, at(revision), store_was_away=False)


STEP = st.one_of(
    st.tuples(
        st.just('write'),
        st.integers(0, 1),
        st.sampled_from([UpstreamPhase.ready, UpstreamPhase.draining, None]),
    ),
    st.tuples(
        st.sampled_from(['read', 'list', 'prune']),
        st.integers(0, HOSTS - 1),
        st.none(),
    ),
    st.tuples(
        st.just('send'),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
    ),
)
STEPS = st.lists(STEP, max_size=40)
# The same with upstreams that a host finds to have ended.
ENDS = st.tuples(st.just('end'), st.integers(0, HOSTS - 1), st.integers(0, 1))


def play_steps(
    steps: list[tuple[str, int, object]],
) -> Iterator[tuple[Catalog, dict[str, UpstreamEntry]]]:
    """Yield each host after each step, and what the store lists for it."""
    store = StoreLog()
    store.write('i-0', UpstreamPhase.ready)
    hosts = [Catalog(Clock()) for _ in range(HOSTS)]
    for catalog in hosts:
        store.list_all(catalog)
    for step, number, detail in steps:
        match step, detail:
            case 'write', None | UpstreamPhase():
                store.write(f'i-{number}', detail)
            case 'read', _:
                store.read(hosts[number])
            case 'list', _:
                store.list_all(hosts[number])
            case 'prune', _:
                hosts[number].expire_missing()
            case 'end', int() as ended:
                hosts[number].mark_gone(f'i-{ended}')
            case 'send', int() as target:
                changes = hosts[number].changes_since(hosts[target].revision)
                if changes.revision > hosts[target].revision:
                    hosts[target].merge_peer_changes(encoded(changes))
        for catalog in hosts:
            yield catalog, store.listed(catalog.revision.number)


def digest_of(entries: Iterable[UpstreamEntry]) -> int:
    listed = ListedUpstreams()
    listed.replace_all(entries)
    return listed.digest


@settings(max_examples=500)
@given(STEPS)
def test_a_host_lists_what_the_store_listed_at_its_revision(
    steps: list[tuple[str, int, object]],
) -> None:
    for catalog, listed in play_steps(steps):
        present = {
            name: upstream.entry.phase
            for name, upstream in catalog.upstreams.items()
            if upstream.gone_at is None
        }
        assert present == {name: entry.phase for name, entry in listed.items()}


@settings(max_examples=500)
@given(st.lists(st.one_of(STEP, ENDS), max_size=40))
def test_the_digest_does_not_depend_on_upstreams_found_to_have_ended(
    steps: list[tuple[str, int, object]],
) -> None:
    for catalog, listed in play_steps(steps):
        assert catalog.listed.digest == digest_of(listed.values())
        assert {one.name for one in catalog.in_service} <= listed.keys()
