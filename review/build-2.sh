#!/bin/sh
# Compiles the scripts 4 to 8 and their stand-ins (4/standins, which all
# of them use); they need Python 3.11 alone.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q 4 5 6 7 8
