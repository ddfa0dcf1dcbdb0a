#!/bin/sh
# Checks and compiles the stand-ins and scripts; they need Python 3.11 alone.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3
