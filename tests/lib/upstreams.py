"""An upstream entry and a clock for tests of the local state."""

from wardstair.state.entries import UpstreamEntry, UpstreamPhase

ENTRY = UpstreamEntry(
    name='i-1',
    service='views',
    host='10.0.0.1',
    port=80,
    zone='a1',
    slots=4,
    phase=UpstreamPhase.ready,
    cold_seconds=0.0,
)


class Clock:
    """Clock that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
