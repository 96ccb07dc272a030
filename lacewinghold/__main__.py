"""Runs the command line."""

from __future__ import annotations

import sys

from lacewinghold.cmd import main

if __name__ == "__main__":
    sys.exit(main())
