"""Encoding and validated decoding, with errors that name the field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import zstandard
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from lacewinghold.schema.base import PackedStruct

MAX_INTEGER = 2**63 - 1  # JSON, MessagePack and signed 64-bit fields carry it.

T = TypeVar("T")
P = TypeVar("P", bound="PackedStruct")


def to_json(value: Any) -> bytes:
    """Returns a value as JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes | str, kind: type[T]) -> T:
    """Decodes JSON.

    :raises msgspec.DecodeError: If the data is malformed.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def parse_json(data: bytes | str, kind: type[T], path: str = "$") -> Result[T, Failure]:
    """Decodes untrusted JSON.

    :param path: JSON path of the value within the caller's input.
    :returns: The value, or a failure whose field is the JSON path of the error.
    """
    try:
        return Ok(from_json(data, kind))
    except msgspec.DecodeError as error:
        text, _, field = str(error).partition(" - at `")
        return Err(Failure(ErrorKind.INVALID, text, path + field.rstrip("`")[1:]))


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompresses one frame of Zstandard.

    The library's own limit holds only for frames that do not state their size.

    :raises zstandard.ZstdError: If the data is malformed, or larger than allowed.
    """
    size = zstandard.frame_content_size(data)
    if size > max_bytes:
        raise zstandard.ZstdError(f"{size} bytes, at most {max_bytes} are allowed")
    return zstandard.ZstdDecompressor().decompress(data, max_bytes)


def pack(value: PackedStruct) -> bytes:
    """Returns a message as MessagePack."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes | bytearray, kind: type[P]) -> P:
    """Decodes a MessagePack message from another entry instance.

    :raises msgspec.DecodeError: If the data is malformed.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
