"""Hosts that know the same revision list the same upstreams.

Changes that a host sends must contain every removal since their start, also of
upstreams that the host itself never knew.
"""

from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.fleet.sharing import SharedState, StateEncoder, decode_state
from wardstair.state.catalog import Catalog, CatalogChanges
from wardstair.state.entries import UpstreamEntry, UpstreamPhase

HOSTS = 3


def encoded(changes: CatalogChanges) -> CatalogChanges:
    """Return changes as another host decodes them."""
    decoded = decode_state(
        StateEncoder().encode(SharedState(upstreams=changes))
    )
    assert decoded is not None
    assert decoded.upstreams is not None
    return decoded.upstreams


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


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('write'),
            st.integers(0, 1),
            st.sampled_from(
                [UpstreamPhase.ready, UpstreamPhase.draining, None]
            ),
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
    ),
    max_size=40,
)


@settings(max_examples=500)
@given(STEPS)
def test_a_host_lists_what_the_store_listed_at_its_revision(
    steps: list[tuple[str, int, object]],
) -> None:
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
            case 'send', int() as target:
                changes = hosts[number].changes_since(hosts[target].revision)
                if changes.revision > hosts[target].revision:
                    hosts[target].merge_peer_changes(encoded(changes))
        for catalog in hosts:
            listed = store.listed(catalog.revision.number)
            present = {
                name: upstream.entry.phase
                for name, upstream in catalog.upstreams.items()
                if upstream.gone_at is None
            }
            assert present == {
                name: entry.phase for name, entry in listed.items()
            }
