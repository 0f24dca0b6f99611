"""A gateway that connects to upstreams from its own address.

On one machine a proxy can tell by it which host a connection is of.
"""

import os
import signal
from importlib import import_module

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    breaks = import_module('soak.breaks')
    breaks.bind_address(os.environ['SOAK_ADDRESS'])
    breaks.run(os.environ.get('SOAK_BREAK', ''))
