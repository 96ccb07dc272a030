"""Runs the command line."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # Its default action would end the process while it imports the rest.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lacewinghold.cmd import main

    sys.exit(main())
