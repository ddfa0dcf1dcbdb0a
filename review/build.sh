#!/bin/sh
# Compiles the scripts and their stand-ins (1/standins, which all three use);
# they need Python 3.11 alone.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q 1 2 3
