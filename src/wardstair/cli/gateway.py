"""`wardstair-gateway`: runs one entry host on the municipal platform."""

import signal
from importlib import import_module

# Loading it takes 0.3 s and more, in which a hang-up would end the process:
# that is what a signal does until somebody handles it. The settings are read
# afterwards, so none is missed.
PROGRAM = 'wardstair.gateway.program'


def main() -> None:
    """Run until the process is told to stop."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module(PROGRAM).run()


if __name__ == '__main__':
    main()
