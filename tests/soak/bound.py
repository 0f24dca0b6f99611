"""A gateway that connects to upstreams from its own address.

All hosts of a play share one machine; the source address lets a proxy
identify the host that opened a connection.
"""

import os
import signal
from importlib import import_module

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    breaks = import_module('soak.breaks')
    breaks.bind_address(os.environ['SOAK_ADDRESS'])
    breaks.run(os.environ.get('SOAK_BREAK', ''))
