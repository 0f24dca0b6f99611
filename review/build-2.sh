#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need no packages, so
# this compiles them, which shows that they can be read. The scripts start
# nothing of the project but what the deploy file builds.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f lib-2 6 7 8 9 10
