"""`wardstair-gateway`: runs one entry host on the municipal platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from random import SystemRandom

from wardstair.errors import ConfigurationError
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import GatewaySettings
from wardstair.platform.settings import load_settings
from wardstair.process.log import log_event, log_to_output

SETTINGS_VARIABLE = 'WARDSTAIR_CONFIG'


def main() -> None:
    """Run until the process is told to stop."""
    log_to_output()
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    try:
        settings = load_settings(Path(name))
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    asyncio.run(_run(settings))


async def _run(settings: GatewaySettings) -> None:
    # The curl client belongs to the loop that runs when it is made.
    host = GatewayHost(settings, SystemRandom())
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    await host.start()
    await stopped.wait()
    await host.stop()


def _reload() -> None:
    # Addresses and bounds hold for the life of the process; what changes at
    # run time comes from the store.
    log_event('settings-reread', outcome='nothing to apply')


if __name__ == '__main__':
    main()
