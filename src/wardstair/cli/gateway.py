"""`wardstair-gateway`: runs one entry host on the municipal platform."""

import signal
from importlib import import_module

# Imported only after SIGHUP is ignored: the import takes 0.3 s or more, and a
# SIGHUP in that time would end the process, since this is its default action.
# The settings are read after the import, so no change is missed.
PROGRAM = 'wardstair.gateway.program'


def main() -> None:
    """Run until the process receives a stop signal."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module(PROGRAM).run()


if __name__ == '__main__':
    main()
