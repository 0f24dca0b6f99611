"""Changes of upstreams sent to a peer, compared with the whole list."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from lib.revisions import at
from lib.upstreams import ENTRY, Clock

from wardstair.fleet.sharing import (
    SharedConfiguration,
    SharedState,
    StateEncoder,
    decode_state,
)
from wardstair.state.catalog import RETURN_SECONDS, Catalog
from wardstair.state.entries import UpstreamPhase
from wardstair.state.removals import MAX_REMOVALS
from wardstair.state.revision import NO_REVISION


def phases(catalog: Catalog) -> dict[str, UpstreamPhase]:
    """Return the phases of the present upstreams by name."""
    return {
        name: upstream.entry.phase
        for name, upstream in catalog.upstreams.items()
        if upstream.gone_at is None
    }


def send_changes(source: Catalog, target: Catalog) -> int:
    """Send encoded changes; return the number of entries sent."""
    changes = source.changes_since(target.revision)
    encoded = StateEncoder().encode(SharedState(upstreams=changes))
    decoded = decode_state(encoded)
    assert decoded is not None
    assert decoded.upstreams is not None
    target.merge_peer_changes(decoded.upstreams)
    return len(changes.entries)


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(['put', 'drain', 'remove', 'expire', 'send', 'wait']),
    ),
    max_size=40,
)


@given(STEPS)
def test_merged_changes_lead_to_the_catalog_of_the_sender(
    steps: list[tuple[int, str]],
) -> None:
    clock = Clock()
    source, target = Catalog(clock), Catalog(clock)
    source.replace_all([], at(1), store_was_away=False)
    for revision, (number, step) in enumerate(steps, start=2):
        entry = replace(ENTRY, name=f'i-{number}', revision=at(revision))
        put = []
        deleted = []
        match step:
            case 'send':
                send_changes(source, target)
                assert phases(target) == phases(source)
                continue
            case 'wait':
                clock.now += RETURN_SECONDS / 2
                source.expire_missing()
                target.expire_missing()
                continue
            case 'put':
                put = [entry]
            case 'drain':
                put = [replace(entry, phase=UpstreamPhase.draining)]
            case _:
                deleted = [entry.name]
        expires = step == 'expire'
        source.apply(put, deleted, at(revision), store_was_away=expires)
    send_changes(source, target)
    assert phases(target) == phases(source)
    clock.now += RETURN_SECONDS
    source.expire_missing()
    target.expire_missing()
    assert phases(target) == phases(source)


def test_only_changed_entries_are_sent() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    entries = [
        replace(ENTRY, name=f'i-{n}', revision=at(n + 1)) for n in range(300)
    ]
    source.replace_all(entries, at(300), store_was_away=False)
    assert send_changes(source, target) == 300
    changed = replace(
        entries[5], revision=at(301), phase=UpstreamPhase.draining
    )
    source.apply([changed], ['i-7'], at(301), store_was_away=False)
    assert send_changes(source, target) <= 2
    assert phases(target) == phases(source)


def test_a_host_that_is_far_behind_receives_the_whole_list() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    old = replace(ENTRY, name='old', revision=at(1))
    source.replace_all([old], at(1), store_was_away=False)
    send_changes(source, target)
    for number in range(MAX_REMOVALS + 2):
        name = f'i-{number}'
        revision = 2 + number * 2
        entry = replace(ENTRY, name=name, revision=at(revision))
        source.apply([entry], [], at(revision), store_was_away=False)
        source.apply([], [name], at(revision + 1), store_was_away=False)
    source.apply([], ['old'], at(5000), store_was_away=False)
    assert source.changes_since(target.revision).since == NO_REVISION
    send_changes(source, target)
    assert phases(target) == phases(source) == {}


def test_changes_that_leave_a_gap_are_not_merged() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    source.replace_all([], at(5), store_was_away=False)
    source.apply(
        [replace(ENTRY, revision=at(9))], [], at(9), store_was_away=False
    )
    assert not target.merge_peer_changes(source.changes_since(at(7)))
    assert target.revision == NO_REVISION


def test_a_configuration_is_sent_compressed() -> None:
    routes = {
        f'r-{n}': {'host': f'h{n}.example', 'path_prefix': f'/p{n}/'}
        for n in range(1400)
    }
    encoder = StateEncoder()
    state = SharedState(configuration=SharedConfiguration(at(7), routes))
    encoded = encoder.encode(state)
    assert len(encoded) < 30000
    assert decode_state(encoded) == state


def test_a_host_of_an_earlier_era_receives_the_whole_list() -> None:
    # Its revision number is higher, and it has an upstream that the source
    # never saw.
    source, target = Catalog(Clock()), Catalog(Clock())
    both = replace(ENTRY, name='both', revision=at(3))
    unseen = replace(ENTRY, name='unseen', revision=at(40))
    target.replace_all([both, unseen], at(40), store_was_away=False)
    source.replace_all([both], at(5), store_was_away=False)
    again = replace(both, revision=at(3, era=2))
    source.replace_all([again], at(8, era=2), store_was_away=False)
    assert source.changes_since(target.revision).since == NO_REVISION
    send_changes(source, target)
    target.clock.now += RETURN_SECONDS  # type: ignore[attr-defined]
    target.expire_missing()
    assert phases(target) == phases(source)


def test_entries_unknown_to_the_source_are_removed_in_a_new_era() -> None:
    # The target read the new era first; the source joined it later and never
    # saw the entry.
    source, target = Catalog(Clock()), Catalog(Clock())
    gone = replace(ENTRY, name='gone', revision=at(3, era=2))
    source.replace_all([], at(40), store_was_away=False)
    target.replace_all([gone], at(7, era=2), store_was_away=False)
    source.replace_all([], at(9, era=2), store_was_away=False)
    send_changes(source, target)
    assert phases(target) == phases(source)


def test_equal_revision_numbers_of_two_eras_are_distinct() -> None:
    encoder = StateEncoder()
    for era in (1, 2):
        shared = SharedConfiguration(at(7, era), {'version': str(era)})
        state = SharedState(configuration=shared)
        assert decode_state(encoder.encode(state)) == state
