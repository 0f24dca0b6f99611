"""A gateway with a deliberate defect: `python -m soak.broken`.

The defect is selected by an environment variable because the settings file is
the only argument of the real program. Like the real program, this one ignores
SIGHUP before it imports the rest: a SIGHUP during the imports used to terminate
the process, and the host stayed down.
"""

import os
import signal
from importlib import import_module

KIND_VARIABLE = 'SOAK_BREAK'

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('soak.breaks').run(os.environ.get(KIND_VARIABLE, ''))
