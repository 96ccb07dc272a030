"""Interface of the platform's key-value store and its three outcomes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
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
    """What a read found, and the store's revision when it looked."""

    revision: int
    items: list[KeyValue]


class CompareTarget(StrEnum):
    """What a condition looks at."""

    CREATE_REVISION = "CREATE"
    MOD_REVISION = "MOD"


class Compare(Struct, frozen=True):
    """A condition: the target of the key equals a revision (0: key is absent)."""

    key: str
    target: CompareTarget
    revision: int


class Put(Struct, frozen=True):
    """Sets a key, under a lease if one is given."""

    key: str
    value: bytes
    lease: int = 0


class Delete(Struct, frozen=True):
    """Removes a key."""

    key: str


class Transaction(Struct, frozen=True):
    """Operations that take effect together if all conditions hold."""

    compares: list[Compare]
    operations: list[Put | Delete]


class TransactionReply(Struct, frozen=True):
    """Whether the conditions held, and the store's revision after it."""

    succeeded: bool
    revision: int


class WatchBatch(Struct, frozen=True):
    """Changes of one revision or more; a deleted key has an empty value."""

    revision: int
    puts: list[KeyValue]
    deletes: list[str]


class Store(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    A write has three outcomes: ``Ok`` with ``succeeded`` true (done), ``Ok``
    with ``succeeded`` false (refused), and ``Err`` with
    ``ErrorKind.OUTCOME_UNKNOWN``. ``Err`` with ``STORE_UNAVAILABLE`` means
    that the call surely had no effect.
    """

    name: ClassVar[str]

    def __init__(self) -> None:
        self.calls: Counter[CallKind] = Counter()

    @abstractmethod
    async def range(
        self, key: str, *, prefix: bool = False
    ) -> Result[RangeReply, Failure]:
        """Reads a key, or all keys with a prefix, linearizably."""

    @abstractmethod
    async def commit(
        self, transaction: Transaction
    ) -> Result[TransactionReply, Failure]:
        """Writes under conditions."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, Failure]:
        """Opens a lease that lapses unless it is renewed."""

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> Result[float, Failure]:
        """Renews a lease.

        :returns: The seconds granted from the store's receipt of the call; zero
            if the lease has lapsed.
        """

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and removes its keys."""

    @abstractmethod
    def watch(
        self, prefix: str, after: Revision
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchBatch]]:
        """Streams the changes under a prefix with a revision above ``after``.

        :raises FailureError: While iterating, when the stream breaks.
        """


def prefix_end(prefix: str) -> str:
    """Returns the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
