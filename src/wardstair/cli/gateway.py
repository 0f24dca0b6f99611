"""`wardstair-gateway`: runs one entry host on the municipal platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from random import SystemRandom

from wardstair.errors import ConfigurationError
from wardstair.gateway.gauges import add_line_counts
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import GatewaySettings
from wardstair.platform.settings import load_settings
from wardstair.process.log import log_event, log_to_output, log_warning
from wardstair.process.sink import LineSink

SETTINGS_VARIABLE = 'WARDSTAIR_CONFIG'
# The file may change without a signal; looking at it costs one system call.
LOOK_SECONDS = 2.0


def main() -> None:
    """Run until the process is told to stop."""
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    path = Path(name)
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    sink = log_to_output(settings.name)
    asyncio.run(_run(settings, path, sink))


async def _run(settings: GatewaySettings, path: Path, sink: LineSink) -> None:
    # The curl client belongs to the loop that runs when it is made.
    host = GatewayHost(settings, SystemRandom())
    add_line_counts(host.metrics, sink)
    stopped = asyncio.Event()
    hung_up = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    await host.start()
    watching = asyncio.ensure_future(_watch_settings(host, path, hung_up))
    await stopped.wait()
    watching.cancel()
    await host.stop()


async def _watch_settings(
    host: GatewayHost,
    path: Path,
    hung_up: asyncio.Event,
) -> None:
    """Take over the settings at a signal and when the file has changed."""
    seen = _stamp(path)
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
            changed = host.adopt_settings(load_settings(path))
        except ConfigurationError as error:
            log_warning('settings-rejected', reason=error.message)
        else:
            log_event('settings-reread', changed=','.join(changed))


def _stamp(path: Path) -> tuple[int, int]:
    """Return what changes when the file is written; zeros if it is away."""
    try:
        status = path.stat()
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


if __name__ == '__main__':
    main()
