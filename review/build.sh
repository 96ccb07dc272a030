#!/bin/sh
# The stand-ins are Python sources without dependencies: this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standin.py
