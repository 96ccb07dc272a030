"""Encoding and checked decoding, with errors that name the field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from lacewinghold.schema.base import PackedStruct

T = TypeVar("T")
P = TypeVar("P", bound="PackedStruct")


def to_json(value: Any) -> bytes:
    """Returns a value as JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes | str, kind: type[T]) -> T:
    """Decodes JSON that this program wrote.

    :raises msgspec.DecodeError: If the data is damaged.
    """
    return msgspec.json.decode(data, type=kind)


def parse_json(data: bytes | str, kind: type[T], path: str = "$") -> Result[T, Failure]:
    """Decodes JSON that somebody else wrote.

    :param path: JSON path of the value in what the caller sent.
    :returns: The value, or a failure whose field is the JSON path at fault.
    """
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        text, _, field = str(error).partition(" - at `")
        return Err(Failure(ErrorKind.INVALID, text, path + field.rstrip("`")[1:]))
    except UnicodeDecodeError as error:
        return Err(Failure(ErrorKind.INVALID, f"not UTF-8: {error}", path))


def pack(value: PackedStruct) -> bytes:
    """Returns a message in MessagePack form."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, kind: type[P]) -> P:
    """Decodes a message of another entry instance.

    :raises msgspec.DecodeError: If the data is damaged.
    """
    return msgspec.msgpack.decode(data, type=kind)
