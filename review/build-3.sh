#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -r "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q platform_3
