"""Runs a gateway process: settings, signals, start and stop."""

import asyncio
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from wardstair.errors import ConfigurationError
from wardstair.gateway.failures import InternalErrors
from wardstair.gateway.gauges import add_line_counts
from wardstair.gateway.host import GatewayHost
from wardstair.gateway.settings import GatewaySettings
from wardstair.platform.settings import load_settings
from wardstair.process.log import (
    error_place,
    fill_standard_streams,
    log_event,
    log_to_stdout,
    log_warning,
    write_to_stderr,
)
from wardstair.process.sink import LineSink

# Names the process in its log lines until the settings name the host.
PROGRAM_NAME = 'wardstair-gateway'
SETTINGS_VARIABLE = 'WARDSTAIR_CONFIG'
# Interval at which the settings file is checked for changes without a signal. A
# check costs one system call.
SETTINGS_POLL_SECONDS = 2.0
# Time within which a settings file has to become usable as the process starts.
# Whoever writes it is done by then, and a supervisor still learns soon that the
# file is wrong.
SETTINGS_WAIT_SECONDS = 10.0
SETTINGS_RETRY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """A version of the settings file.

    Attributes:
        path: Path of the file.
        stamp: Modification time in nanoseconds, size in bytes and number of
            the file, which changes when another file takes its name.
    """

    path: Path
    stamp: tuple[int, ...]


def run() -> None:
    """Run until the process receives a signal to stop."""
    if None in {sys.stdin, sys.stdout, sys.stderr}:
        fill_standard_streams()
    sink = log_to_stdout(PROGRAM_NAME)
    try:
        _run_host(sink)
    except Exception as error:  # noqa: BLE001
        place = error_place(error)
        log_warning(
            'process-failed',
            error=repr(error),
            file=place.file,
            line=place.line,
        )
        sys.exit(1)


def _run_host(sink: LineSink) -> None:
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    path = Path(name)
    try:
        settings, file = _await_settings(path)
    except ConfigurationError as error:
        write_to_stderr(f'{error}\n')
        sys.exit(2)
    log_to_stdout(settings.name, sink=sink)
    asyncio.run(_run(settings, file, sink))
    sink.flush()


def _await_settings(path: Path) -> tuple[GatewaySettings, SettingsFile]:
    """Load the settings; wait for a while if the file is not usable.

    The file may be written at this moment. A file that stays unusable ends the
    process, so that its exit code tells of it.

    Raises:
        ConfigurationError: The file has not become usable.
    """
    gives_up_at = time.monotonic() + SETTINGS_WAIT_SECONDS
    logged = ''
    while True:
        # Taken before the file is read, so that later changes are noticed.
        stamp = _file_stamp(path)
        try:
            return load_settings(path), SettingsFile(path, stamp)
        except ConfigurationError as error:
            left = gives_up_at - time.monotonic()
            if error.message != logged:
                logged = error.message
                log_warning(
                    'settings-unusable',
                    reason=error.message,
                    remedy=error.hint,
                    left=round(max(left, 0), 1),
                )
            if left <= 0:
                raise
        time.sleep(SETTINGS_RETRY_SECONDS)


async def _run(
    settings: GatewaySettings,
    file: SettingsFile,
    sink: LineSink,
) -> None:
    # Created inside the event loop, since the curl client attaches to the loop
    # that is running.
    host = GatewayHost(settings, SystemRandom())
    _warn_of_missing_settings(settings)
    add_line_counts(host.metrics, sink)
    stopped = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    InternalErrors(host.metrics.internal_errors.add).attach(loop)
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    if not await _start_unless_stopped(host, stopped):
        return
    watcher = asyncio.ensure_future(
        watch_settings(host, file, reload_requested)
    )
    await stopped.wait()
    watcher.cancel()
    await host.stop()


async def _start_unless_stopped(
    host: GatewayHost, stopped: asyncio.Event
) -> bool:
    """Start a host; return False if it is stopped while it waits for ports."""
    starting = asyncio.ensure_future(host.start())
    stopping = asyncio.ensure_future(stopped.wait())
    await asyncio.wait(
        (starting, stopping), return_when=asyncio.FIRST_COMPLETED
    )
    stopping.cancel()
    if starting.done():
        await starting
        return True
    log_event('host-start-ended', blocked=','.join(host.blocked_listeners))
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    await host.close()
    return False


async def watch_settings(
    host: GatewayHost,
    file: SettingsFile,
    reload_requested: asyncio.Event,
) -> None:
    """Reload the settings on a signal and when the file has changed.

    Args:
        host: The gateway.
        file: The version of the settings file that was loaded at start.
        reload_requested: Set by SIGHUP.
    """
    last_stamp = file.stamp
    rejected = ''
    while True:
        is_requested = await _is_set_within(
            reload_requested, SETTINGS_POLL_SECONDS
        )
        reload_requested.clear()
        stamp = _file_stamp(file.path)
        # A file that was rejected is read again in any case: what kept it from
        # being read may have passed without a change of the file.
        if not (is_requested or rejected) and stamp == last_stamp:
            continue
        last_stamp = stamp
        before = '' if is_requested else rejected
        rejected = _reread_settings(host, file.path, before)


async def _is_set_within(event: asyncio.Event, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _reread_settings(host: GatewayHost, path: Path, rejected: str) -> str:
    """Adopt the settings in a file; the old ones stay if it is not usable.

    Args:
        host: The gateway.
        path: Path of the file.
        rejected: Why the file was rejected before; not logged again.

    Returns:
        Why the file is rejected; empty if it was adopted.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        if error.message != rejected:
            host.metrics.settings_rejected.add()
            log_warning('settings-rejected', reason=error.message)
        return error.message
    changed = host.adopt_settings(settings)
    log_event('settings-reread', changed=','.join(changed))
    _warn_of_missing_settings(settings)
    return ''


def _warn_of_missing_settings(settings: GatewaySettings) -> None:
    """Log the settings that are missing, with the defaults used instead."""
    if settings.gaps:
        names = ','.join(map(str, settings.gaps))
        log_warning('settings-missing', used=names)


def _file_stamp(path: Path) -> tuple[int, ...]:
    """Return the stamp of a file; empty if there is none."""
    try:
        status = path.stat()
    except OSError:
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino
