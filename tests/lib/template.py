"""Renders the settings template of a gateway as the platform does."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import chevron

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'gateway.toml'
Field = object
Fields = dict[str, Field]

ZONES = {'a1': 'a', 'b1': 'b'}
BOUNDS: Mapping[str, object] = {
    'drain_ms': 2000,
    'grace_s': 7,
    'config_apply_ms': 3500,
    'evacuate_ms': 5500,
    'contact_ms': 4500,
    'retry_budget_ratio': 0.3,
    'budget_window_s': 11,
    'budget_extra': 62,
    'cold_overshoot': 1.75,
    'cold_slack': 7,
    'ttl_max_s': 6,
    'max_shift': 0.2,
}


@dataclass(frozen=True)
class _Entry:
    """An entry of a list or table in the context of a template section."""

    key: str
    text: str
    is_last: bool

    def __str__(self) -> str:
        """Return the text of the entry."""
        return self.text

    def __getitem__(self, name: str) -> str:
        """Return the key of the entry, or the comma after it."""
        match name:
            case '@':
                return self.key
            case ',':
                return '' if self.is_last else ','
            case _:
                raise KeyError(name)


def entries(given: Mapping[str, object] | Sequence[object]) -> list[_Entry]:
    """Return the entries of a section; in a list the index is the key."""
    if isinstance(given, Mapping):
        pairs = [(key, str(one)) for key, one in given.items()]
    else:
        pairs = [(str(number), str(one)) for number, one in enumerate(given)]
    last = len(pairs) - 1
    return [
        _Entry(key, text, is_last=number == last)
        for number, (key, text) in enumerate(pairs)
    ]


def fields(**changed: Field) -> Fields:
    """Return the fields that the platform fills in, with some replaced."""
    return {
        'node_name': 'edge-1',
        'ip': '10.0.0.1',
        'zone': 'a1',
        'bootstrap': True,
        'heartbeat_ms': 1500,
        'internal_ports': [7200, 7215],
        'seeds': entries(['10.0.0.2:3', '10.0.0.3:3']),
        'bounds': entries(BOUNDS),
        'zones': entries(ZONES),
        'platform': {'address': '10.9.9.9:80'},
        'listen': {
            'front': '10.0.0.1:1',
            'ready': '10.0.0.1:2',
            'control': '10.0.0.1:3',
            'directory': '10.0.0.1:4',
        },
        'limits': {
            'memory_mb': 300,
            'max_fds': 4100,
            'cpu_share': 0.717,
            'cores': 3,
        },
        **changed,
    }


def filled(**changed: Field) -> str:
    """Return the rendered template, with some fields replaced."""
    return chevron.render(TEMPLATE.read_text(), fields(**changed))
