"""The life of a gateway process: settings, signals, start and stop."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from wardstair.errors import ConfigurationError
from wardstair.gateway.gauges import add_line_counts
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import GatewaySettings
from wardstair.platform.settings import load_settings
from wardstair.process.log import log_event, log_to_stdout, log_warning
from wardstair.process.sink import LineSink

SETTINGS_VARIABLE = 'WARDSTAIR_CONFIG'
# The file may change without a signal; looking at it costs one system call.
LOOK_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """The settings file at one moment.

    Attributes:
        path: Where it lies.
        stamp: What changes when it is written.
    """

    path: Path
    stamp: tuple[int, int]


def run() -> None:
    """Run until the process is told to stop."""
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    path = Path(name)
    # Before the file is read: what changes afterwards is read again.
    stamp = _stamp(path)
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(2)
    sink = log_to_stdout(settings.name)
    asyncio.run(_run(settings, SettingsFile(path, stamp), sink))


async def _run(
    settings: GatewaySettings,
    file: SettingsFile,
    sink: LineSink,
) -> None:
    # The curl client belongs to the loop that runs when it is made.
    host = GatewayHost(settings, SystemRandom())
    _warn_of_gaps(settings)
    add_line_counts(host.metrics, sink)
    stopped = asyncio.Event()
    hung_up = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    await host.start()
    watching = asyncio.ensure_future(watch_settings(host, file, hung_up))
    await stopped.wait()
    watching.cancel()
    await host.stop()


async def watch_settings(
    host: GatewayHost,
    file: SettingsFile,
    hung_up: asyncio.Event,
) -> None:
    """Take over the settings at a signal and when the file has changed.

    Args:
        host: The gateway.
        file: The settings file, as it was before it was read first.
        hung_up: Set by the signal.
    """
    path = file.path
    seen = file.stamp
    while True:
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await hung_up.wait()
        except TimeoutError:
            if _stamp(path) == seen:
                continue
        hung_up.clear()
        seen = _stamp(path)
        try:
            settings = load_settings(path)
        except ConfigurationError as error:
            log_warning('settings-rejected', reason=error.message)
        else:
            changed = host.adopt_settings(settings)
            log_event('settings-reread', changed=','.join(changed))
            _warn_of_gaps(settings)


def _warn_of_gaps(settings: GatewaySettings) -> None:
    """Name the settings that are not given, with what stands in for them."""
    if settings.gaps:
        names = ','.join(map(str, settings.gaps))
        log_warning('settings-missing', used=names)


def _stamp(path: Path) -> tuple[int, int]:
    """Return what changes when the file is written; zeros if it is away."""
    try:
        status = path.stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size
