"""Loads the asynchronous runtime without starting another process."""

from __future__ import annotations

import ctypes.util


def load_trio() -> None:
    """Imports trio.

    On import, trio searches for libpthread, which it uses to name threads. It calls
    ``ctypes.util.find_library``, which runs ``ldconfig`` and a compiler. If no
    library is found, threads stay unnamed.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library
