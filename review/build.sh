#!/usr/bin/env bash
# Builds the stand-ins: they need Python's own library only, so that compiling them is enough.
cd "$(dirname "$0")" && python3 -m compileall -q standins 1 2 3
