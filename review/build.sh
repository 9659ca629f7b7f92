#!/bin/sh
# Builds the stand-ins of the cases: they need nothing but the interpreter, so their
# files are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
