"""Entries by other writers: what is not whole names no upstream."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.specs import upstream_spec

from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.upstream_entries import (
    MAX_SLOTS,
    UnusableEntry,
    decode_upstream_entry,
)
from wardstair.state.entries import UpstreamEntry

PLACES = (
    'address',
    'info',
    'info.service',
    'info.zone',
    'info.slots',
    'status',
    'status.state',
    'status.cold_left_ms',
)
MISSING = object()


def spec_with(path: str, value: object) -> dict[str, Any]:
    """Return a whole entry's spec with one field changed or taken out."""
    spec: dict[str, Any] = upstream_spec(8080)
    *way, last = path.split('.')
    inner = spec
    for name in way:
        inner[name] = dict(inner[name])
        inner = inner[name]
    if value is MISSING:
        inner.pop(last)
    else:
        inner[last] = value
    return spec


def decoded(spec: object, status: object = None) -> object:
    metadata = Metadata(name='i-1', revision=1)
    stored = StoredObject(metadata=metadata, spec=spec, status=status)
    return decode_upstream_entry(stored)


@pytest.mark.parametrize('path', PLACES)
@pytest.mark.parametrize('value', [MISSING, None, [], {}, True, ''])
def test_a_field_that_is_missing_or_of_another_type(
    path: str,
    value: object,
) -> None:
    fault = decoded(spec_with(path, value))
    assert isinstance(fault, UnusableEntry)
    assert fault.field.startswith(path)
    assert fault.expected


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('address', '10.0.0.1'),
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:99999'),
        ('address', '10.0.0.1:-1'),
        ('address', '10.0.0.1:\u0661'),
        ('address', '10.0.0:80'),
        ('address', 'music.example:80'),
        ('info.slots', 0),
        ('info.slots', -4),
        ('info.slots', '4'),
        ('info.slots', 4.5),
        ('info.slots', MAX_SLOTS + 1),
        ('info.slots', 1_000_000_000),
        ('status.state', 'resting'),
        ('status.state', 'READY'),
        ('status.cold_left_ms', float('nan')),
        ('status.cold_left_ms', float('inf')),
        ('status.cold_left_ms', -1),
        ('status.cold_left_ms', '0'),
        ('status.cold_left_ms', 1e12),
    ],
)
def test_a_value_that_cannot_be_meant(path: str, value: object) -> None:
    fault = decoded(spec_with(path, value))
    assert isinstance(fault, UnusableEntry)
    assert fault.field == path


@pytest.mark.parametrize('spec', [None, [], 'x', 7, {}])
def test_no_entry_at_all(spec: object) -> None:
    assert isinstance(decoded(spec), UnusableEntry)


def test_a_whole_entry_in_either_form() -> None:
    spec = upstream_spec(8080)
    whole = decoded(spec)
    assert isinstance(whole, UpstreamEntry)
    status = spec.pop('status')
    assert decoded(spec, status) == whole
    assert decoded(spec, {'status': status}) == whole


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.sampled_from((*PLACES, 'born')), JSON)
def test_whatever_stands_there_is_usable_or_named(
    path: str,
    value: object,
) -> None:
    entry = decoded(spec_with(path, value))
    if isinstance(entry, UnusableEntry):
        assert entry.field.startswith(path)
        return
    assert isinstance(entry, UpstreamEntry)
    assert 1 <= entry.slots <= MAX_SLOTS
    assert 0 < entry.port < 65536
    assert 0 <= entry.cold_seconds < 1e6
