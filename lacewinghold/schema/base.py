"""Base classes of the generated structures."""

from __future__ import annotations

from msgspec import Struct


class StrictStruct(Struct, kw_only=True, forbid_unknown_fields=True):
    """What people write: an unknown field is an error."""


class TolerantStruct(Struct, kw_only=True, omit_defaults=True):
    """What is stored or sent to workers: unknown fields of later versions pass."""


class PackedStruct(Struct, array_like=True):
    """What crosses paid links: fields by position, new ones at the end."""
