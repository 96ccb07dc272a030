"""Bearer keys of callers: parsed from headers, compared by their hashes."""

from __future__ import annotations

import hashlib

MAX_KEY_BYTES = 1024  # Longer texts are no keys and are not hashed.


def hash_key(text: str) -> str:
    """Returns the hash of a bearer key, the only form in which keys are kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def read_bearer(header: bytes) -> str | None:
    """Returns the key in an ``Authorization`` header, ``None`` if it has none.

    Keys are text in UTF-8, as in the manifest.
    """
    scheme, _, key = header.decode("utf-8", "replace").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return key
