#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library, started with the interpreter of the node's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
