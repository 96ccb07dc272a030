"""Base classes of the generated structures."""

from __future__ import annotations

from msgspec import Struct


class StrictStruct(Struct, kw_only=True, forbid_unknown_fields=True):
    """Base of structures written by people: an unknown field is an error."""


class TolerantStruct(Struct, kw_only=True, omit_defaults=True):
    """Base of stored structures and worker messages: ignores unknown fields."""


class PackedStruct(Struct, array_like=True):
    """Base of peer messages, packed by position: new fields go to the end."""
