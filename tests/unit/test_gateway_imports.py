"""What a gateway process loads; every module is memory on every host."""

import subprocess
import sys

import pytest

PROBE = 'import sys, wardstair.gateway.program; print(*sys.modules)'


@pytest.fixture(scope='module')
def loaded() -> set[str]:
    """Return the modules that a gateway process has loaded at its start."""
    return set(
        subprocess.run(
            [sys.executable, '-c', PROBE],
            capture_output=True,
            check=True,
            text=True,
        ).stdout.split()
    )


@pytest.mark.parametrize(
    'module',
    [
        'wardstair.version.document',
        'wardstair.process.host',
        'hdrh',
        'numpy',
        'websockets',
        'unittest',
        'fire',
    ],
)
def test_a_gateway_does_not_load_what_it_never_uses(
    loaded: set[str], module: str
) -> None:
    assert module not in loaded
