"""Loads the asynchronous runtime without starting another process."""

from __future__ import annotations

import ctypes.util


def load_trio() -> None:
    """Imports trio.

    On import trio looks for libpthread, to name its threads, through a function
    of the standard library that runs ``ldconfig`` and a compiler. Without an
    answer it leaves threads unnamed.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library
