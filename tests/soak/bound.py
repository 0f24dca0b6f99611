"""A gateway that connects to upstreams from its own address.

All hosts of a play share one machine; the source address lets a proxy
identify the host that opened a connection. Cuts between zones are obeyed too.
"""

import os
import signal
from importlib import import_module
from pathlib import Path

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    breaks = import_module('soak.breaks')
    address = os.environ['SOAK_ADDRESS']
    breaks.bind_address(address)
    zones = import_module('soak.zones')
    folder = Path(os.environ['WARDSTAIR_CONFIG']).parent
    zones.obey_cuts(address, folder / zones.FILE_NAME)
    breaks.run(os.environ.get('SOAK_BREAK', ''))
