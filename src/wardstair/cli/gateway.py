"""`wardstair-gateway`: runs one entry host on the municipal platform."""

import signal
from importlib import import_module

# Imported only after SIGHUP is ignored: the import takes 0.3 s or more, and a
# SIGHUP in that time would end the process, since this is its default action.
# The settings are read after the import, so no change is missed.
PROGRAM = 'wardstair.gateway.program'
# A process inherits which signals its parent ignores or blocks. These end it
# until the host handles them.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main() -> None:
    """Run until the process receives a stop signal."""
    # First of all, since a SIGHUP that was blocked may be pending.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP, *STOP_SIGNALS))
    import_module(PROGRAM).run()


if __name__ == '__main__':
    main()
