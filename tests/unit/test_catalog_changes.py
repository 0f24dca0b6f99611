"""Changes of upstreams handed on, against handing on the whole list."""

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


def facts(catalog: Catalog) -> dict[str, UpstreamPhase]:
    """Return what a catalog holds to be there."""
    return {
        name: upstream.entry.phase
        for name, upstream in catalog.upstreams.items()
        if upstream.gone_at is None
    }


def hand_on(source: Catalog, target: Catalog) -> int:
    """Hand changes on as they travel; return how many entries did."""
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
        st.sampled_from(['put', 'drain', 'remove', 'lapse', 'tell', 'wait']),
    ),
    max_size=40,
)


@given(STEPS)
def test_changes_lead_to_what_the_whole_list_says(
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
            case 'tell':
                hand_on(source, target)
                assert facts(target) == facts(source)
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
        lapses = step == 'lapse'
        source.apply(put, deleted, at(revision), store_was_away=lapses)
    hand_on(source, target)
    assert facts(target) == facts(source)
    clock.now += RETURN_SECONDS
    source.expire_missing()
    target.expire_missing()
    assert facts(target) == facts(source)


def test_only_what_has_changed_travels() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    entries = [
        replace(ENTRY, name=f'i-{n}', revision=at(n + 1)) for n in range(300)
    ]
    source.replace_all(entries, at(300), store_was_away=False)
    assert hand_on(source, target) == 300
    changed = replace(
        entries[5], revision=at(301), phase=UpstreamPhase.draining
    )
    source.apply([changed], ['i-7'], at(301), store_was_away=False)
    assert hand_on(source, target) <= 2
    assert facts(target) == facts(source)


def test_a_host_that_is_far_behind_gets_the_whole_list() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    old = replace(ENTRY, name='old', revision=at(1))
    source.replace_all([old], at(1), store_was_away=False)
    hand_on(source, target)
    for number in range(MAX_REMOVALS + 2):
        name = f'i-{number}'
        revision = 2 + number * 2
        entry = replace(ENTRY, name=name, revision=at(revision))
        source.apply([entry], [], at(revision), store_was_away=False)
        source.apply([], [name], at(revision + 1), store_was_away=False)
    source.apply([], ['old'], at(5000), store_was_away=False)
    assert source.changes_since(target.revision).since == NO_REVISION
    hand_on(source, target)
    assert facts(target) == facts(source) == {}


def test_changes_that_leave_a_gap_are_not_taken() -> None:
    source, target = Catalog(Clock()), Catalog(Clock())
    source.replace_all([], at(5), store_was_away=False)
    source.apply(
        [replace(ENTRY, revision=at(9))], [], at(9), store_was_away=False
    )
    assert not target.merge_peer_changes(source.changes_since(at(7)))
    assert target.revision == NO_REVISION


def test_a_configuration_travels_deflated() -> None:
    routes = {
        f'r-{n}': {'host': f'h{n}.example', 'path_prefix': f'/p{n}/'}
        for n in range(1400)
    }
    encoder = StateEncoder()
    state = SharedState(configuration=SharedConfiguration(at(7), routes))
    encoded = encoder.encode(state)
    assert len(encoded) < 30000
    assert decode_state(encoded) == state


def test_a_host_of_an_earlier_era_gets_the_whole_list() -> None:
    # Its number is higher, and it knows an upstream that the other never saw.
    source, target = Catalog(Clock()), Catalog(Clock())
    both = replace(ENTRY, name='both', revision=at(3))
    unseen = replace(ENTRY, name='unseen', revision=at(40))
    target.replace_all([both, unseen], at(40), store_was_away=False)
    source.replace_all([both], at(5), store_was_away=False)
    again = replace(both, revision=at(3, era=2))
    source.replace_all([again], at(8, era=2), store_was_away=False)
    assert source.changes_since(target.revision).since == NO_REVISION
    hand_on(source, target)
    target.clock.now += RETURN_SECONDS  # type: ignore[attr-defined]
    target.expire_missing()
    assert facts(target) == facts(source)


def test_what_was_removed_before_the_restore_is_told_after_it() -> None:
    # The source was not there when the other heard of the new era first.
    source, target = Catalog(Clock()), Catalog(Clock())
    gone = replace(ENTRY, name='gone', revision=at(3, era=2))
    source.replace_all([], at(40), store_was_away=False)
    target.replace_all([gone], at(7, era=2), store_was_away=False)
    source.replace_all([], at(9, era=2), store_was_away=False)
    hand_on(source, target)
    assert facts(target) == facts(source)


def test_configurations_of_one_number_in_two_eras_are_told_apart() -> None:
    encoder = StateEncoder()
    for era in (1, 2):
        shared = SharedConfiguration(at(7, era), {'version': str(era)})
        state = SharedState(configuration=shared)
        assert decode_state(encoder.encode(state)) == state
