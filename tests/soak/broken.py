"""A gateway with a break put in on purpose: `python -m soak.broken`.

The kind comes from a variable, since the settings file is the only argument of
the real program. Like that one it loads the rest only once a hang-up does not
end it: one that came meanwhile did, and the host was gone for good.
"""

import os
import signal
from importlib import import_module

KIND_VARIABLE = 'SOAK_BREAK'

if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('soak.breaks').run(os.environ.get(KIND_VARIABLE, ''))
