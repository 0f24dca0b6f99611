#!/bin/sh
# Checks the stand-ins of the scripts; they are plain Python without packages.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for one in lib/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$one"
done
