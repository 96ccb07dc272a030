"""Interface of a key-value store, with the three outcomes of its writes."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from result import Result

    from lacewinghold.errors import Failure
    from lacewinghold.ids import LeaseId, Revision


class CallKind(StrEnum):
    """Kinds of store calls, for counting."""

    READ = "read"
    WRITE = "write"
    LEASE = "lease"
    WATCH = "watch"


class KeyValue(Struct, frozen=True):
    """One key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


class RangeReply(Struct, frozen=True):
    """The keys that a read found, and the store's revision at the read."""

    revision: int
    items: list[KeyValue]


class CompareTarget(StrEnum):
    """The revision of a key that a condition compares."""

    CREATE_REVISION = "CREATE"
    MOD_REVISION = "MOD"


class Compare(Struct, frozen=True):
    """A condition: the key's target revision equals ``revision`` (0: key is absent)."""

    key: str
    target: CompareTarget
    revision: int


class Put(Struct, frozen=True):
    """Sets a key, attached to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


class Delete(Struct, frozen=True):
    """Removes a key."""

    key: str


class Transaction(Struct, frozen=True):
    """Operations that are applied atomically if all conditions hold."""

    compares: list[Compare]
    operations: list[Put | Delete]


class TransactionReply(Struct, frozen=True):
    """Whether the conditions held, and the store's revision after the transaction."""

    succeeded: bool
    revision: int


class WatchBatch(Struct, frozen=True):
    """Changes of one or more revisions: values written, and keys deleted.

    :param asked_at: When the read was sent whose answer is complete with this batch,
        as ``lease_time``; negative infinity if that is not known.
    """

    revision: int
    puts: list[KeyValue]
    deletes: list[str]
    asked_at: float = -math.inf


class Store(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    A write has three outcomes: ``Ok`` with ``succeeded`` true (applied), ``Ok``
    with ``succeeded`` false (a condition failed), and ``Err`` with
    ``ErrorKind.OUTCOME_UNKNOWN``. ``Err`` with ``STORE_UNAVAILABLE`` means
    that the call certainly had no effect.

    ``on_progress`` is called whenever a part of a response arrives.
    """

    name: ClassVar[str]

    def __init__(self) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.on_progress: Callable[[], object] = lambda: None

    @abstractmethod
    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        """Reads a key, or all keys with a prefix, linearizably."""

    @abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        """Applies a transaction if its conditions hold."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        """Grants a lease that expires unless it is renewed.

        :param ttl_s: Time to live in seconds.
        """

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        """Renews a lease.

        :returns: The seconds granted, counted from the store's receipt of the call;
            zero if the lease has expired.
        """

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Revokes a lease and deletes its keys."""

    @abstractmethod
    def watch(
        self,
        prefix: str,
        after: Revision,
        confirm_s: float | None = None,
        max_value_bytes: Callable[[], int] | None = None,
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchBatch]]:
        """Streams the changes under a prefix with a revision above ``after``.

        :param confirm_s: Yields a batch at least this often, if need be an empty one,
            with ``asked_at``; ``None`` leaves that to the store.
        :param max_value_bytes: Returns the maximum size of the values in one answer of
            the store. A larger one is not received; the watch raises ``TOO_LARGE``
            instead. ``None`` sets no limit, and a store that sends each change by
            itself ignores it.
        :raises FailureError: While iterating, when the stream breaks.
        """


def prefix_end(prefix: str) -> str:
    """Returns the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
