"""`wardstair-entry`: runs one entry host until it receives a stop signal."""

import asyncio
import signal
import sys
from pathlib import Path
from random import Random

import fire
from result import Err, Ok

from wardstair.process.host import EntryHost, run_until_stopped
from wardstair.process.log import configure_logging
from wardstair.process.settings import EntrySettings, read_settings


def run(settings: str, log_level: str = 'INFO') -> None:
    """Run an entry host.

    SIGTERM and SIGINT drain the host: it is no longer listed in lookup answers,
    completes all requests in flight, however long they take, and exits.

    Args:
        settings: Path of the TOML settings file.
        log_level: Lowest level of events to log.
    """
    configure_logging(log_level)
    match read_settings(Path(settings)):
        case Ok(checked):
            asyncio.run(_serve(checked))
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            raise SystemExit(1)


async def _serve(settings: EntrySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop.set)
    await run_until_stopped(EntryHost(settings, Random()), stop)


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name='wardstair-entry')
