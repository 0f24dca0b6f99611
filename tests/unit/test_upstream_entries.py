"""Entries of upstreams by any writer: incomplete ones are rejected."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lib.specs import upstream_spec

from wardstair.platform.objects import Metadata, StoredObject
from wardstair.platform.upstream_entries import (
    # The seed of a property test depends on its source, which uses this name.
    MAX_SLOTS as MOST_SLOTS,
)
from wardstair.platform.upstream_entries import (
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
    """Return the spec of a complete entry with one field changed or removed."""
    spec: dict[str, Any] = upstream_spec(8080)
    *parents, last = path.split('.')
    inner = spec
    for name in parents:
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
def test_a_missing_or_wrongly_typed_field_is_reported(
    path: str,
    value: object,
) -> None:
    unusable = decoded(spec_with(path, value))
    assert isinstance(unusable, UnusableEntry)
    assert unusable.field.startswith(path)
    assert unusable.expected


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
        ('info.slots', MOST_SLOTS + 1),
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
def test_an_invalid_value_is_reported(path: str, value: object) -> None:
    unusable = decoded(spec_with(path, value))
    assert isinstance(unusable, UnusableEntry)
    assert unusable.field == path


@pytest.mark.parametrize('spec', [None, [], 'x', 7, {}])
def test_a_spec_that_is_no_entry_is_unusable(spec: object) -> None:
    assert isinstance(decoded(spec), UnusableEntry)


def test_a_complete_entry_is_decoded_in_either_form() -> None:
    spec = upstream_spec(8080)
    complete = decoded(spec)
    assert isinstance(complete, UpstreamEntry)
    status = spec.pop('status')
    assert decoded(spec, status) == complete
    assert decoded(spec, {'status': status}) == complete


@pytest.mark.parametrize(
    ('value', 'version'),
    [('v2', 'v2'), ('', ''), (MISSING, ''), (None, ''), (2, '2'), (2.5, '2.5')],
)
def test_the_version_of_an_upstream_is_text_and_may_be_missing(
    value: object, version: str
) -> None:
    entry = decoded(spec_with('info.version', value))
    assert isinstance(entry, UpstreamEntry)
    assert entry.version == version


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
    assert 1 <= entry.slots <= MOST_SLOTS
    assert 0 < entry.port < 65536
    assert 0 <= entry.cold_seconds < 1e6
