"""Ownership of tokens: one owner each, and transfers only for a reason."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.cross_region import zone_part
from wardstair.decisions.shares import (
    Shares,
    fit_to_capacity,
    reassign_tokens,
    register,
    surplus,
    transfer_tokens,
)

HOSTS = ['h1', 'h2', 'h3']
SIZES = st.dictionaries(
    st.sampled_from(['u1', 'u2', 'u3']),
    st.integers(0, 12),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(SIZES, min_size=1, max_size=5))
def test_existing_tokens_keep_their_owner(
    versions: list[dict[str, int]],
) -> None:
    shares = Shares()
    for version, sizes in enumerate(versions):
        before = shares
        shares = fit_to_capacity(shares, sizes, HOSTS, version)
        for name, size in sizes.items():
            assert len(shares.owners[name]) >= size
        for name, kept in before.owners.items():
            assert shares.owners[name][: len(kept)] == kept


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 30), st.integers(1, 20))
def test_tokens_are_spread_evenly(slots: int, hosts: int) -> None:
    names = [f'h{number}' for number in range(hosts)]
    owners = fit_to_capacity(Shares(), {'u': slots}, names, 1).owners['u']
    counts = Counter(owners)
    assert max(counts.values()) - min(counts[name] for name in names) <= 1


def test_odd_slots_alternate_between_hosts() -> None:
    shares = fit_to_capacity(Shares(), {'u1': 3, 'u2': 3}, ['h1', 'h2'], 1)
    total = Counter(owner for row in shares.owners.values() for owner in row)
    assert total == {'h1': 3, 'h2': 3}


def test_an_older_version_changes_nothing() -> None:
    shares = fit_to_capacity(Shares(), {'u': 9}, HOSTS, 5)
    assert fit_to_capacity(shares, {'u': 3}, HOSTS, 4) == shares


def test_only_the_incarnation_proved_dead_loses_tokens() -> None:
    shares = fit_to_capacity(Shares(), {'u': 4}, ['h1', 'h2'], 1)
    shares = register(register(shares, 'h1', '2'), 'h2', '1')
    assert reassign_tokens(shares, 'h1', '1', ['h2']) == shares
    passed = reassign_tokens(shares, 'h1', '2', ['h2'])
    assert set(passed.owners['u']) == {'h2'}
    assert 'h1' not in passed.incarnations


def test_host_cannot_transfer_tokens_of_another_owner() -> None:
    shares = fit_to_capacity(Shares(), {'u': 4}, ['h1', 'h2'], 1)
    theirs = shares.owned_by('h2', 'u')
    assert transfer_tokens(shares, 'h1', 'h3', {'u': theirs}) == shares


def test_new_host_gets_half_of_the_difference() -> None:
    shares = fit_to_capacity(Shares(), {'u': 8}, ['h1'], 1)
    assert surplus(shares, 'h1', ['h1', 'h2']) == ('h2', 4)
    assert surplus(shares, 'h1', ['h1']) == ('h1', 0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 500), st.integers(1, 9))
def test_the_parts_of_a_cap_sum_to_the_cap(cap: int, count: int) -> None:
    zones = [f'z{number}' for number in range(count)]
    parts = [zone_part(cap, zones, zone) for zone in zones]
    assert sum(parts) == cap
    assert max(parts) - min(parts) <= 1
