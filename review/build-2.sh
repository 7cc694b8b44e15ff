#!/bin/sh
# Builds every stand-in that the scripts of the second review start: they are Python files without dependencies.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if test -d "$folder"; then .venv/bin/python -m compileall -q "$folder"; fi
done
