"""Identifies the organisation of a caller by its key.

The load that this answers: callers that hold keys which are added and removed while
they are connected, at instances that may be cut off from the operators' manifest.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import structlog
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event
from lacewinghold.util.bearer import hash_key
from lacewinghold.util.clock import lease_time

if TYPE_CHECKING:
    from lacewinghold.ids import OrganisationId
    from lacewinghold.organisations.revocation import ManifestConfirmation
    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.ports import Manifest, Queue
    from lacewinghold.schema.generated.cell import CellJob

logger = structlog.get_logger(__name__)
RETRY_AFTER_S = 1.0  # An instance that reaches the store again confirms within this.


class Caller(Struct, frozen=True):
    """Who has sent a call.

    :param organisation: Its organisation, empty if none was identified.
    :param anonymous: Whether its lack of a key was checked. Instances of the previous
        version check no keys and relay calls without an organisation.
    """

    organisation: str = ""
    anonymous: bool = False

    def may_name(self, owner: str) -> bool:
        """Returns whether the caller may query, change or repeat a job.

        :param owner: Organisation to which the job is bound, or empty.
        """
        if not owner or self.organisation == owner:
            return True
        return not self.organisation and not self.anonymous


UNCHECKED = Caller()


class Authenticator:
    """Checks the keys of callers against the manifest in force.

    :param confirmation: How recently the manifest was known to be the newest one.
    """

    def __init__(
        self, confirmation: ManifestConfirmation, metrics: CellMetrics
    ) -> None:
        self.confirmation = confirmation
        self.metrics = metrics
        self.owners_by_hash: dict[str, OrganisationId] = {}
        self.enabled = False
        self.was_current = True

    def update(self, manifest: Manifest) -> None:
        """Replaces all keys by those of a manifest."""
        self.enabled = manifest.organisations is not None
        owners = {}
        for organisation in (manifest.organisations or {}).values():
            for digest in organisation.key_hashes:
                owners[digest] = organisation.name
        self.owners_by_hash = owners

    def can_check_keys(self) -> bool:
        """Returns whether keys can be checked without serving a removed one."""
        if not self.enabled:
            return True
        current = self.confirmation.is_current(lease_time())
        if current is not self.was_current:
            self.was_current = current
            age_s = round(self.confirmation.age_s(lease_time()), 3)
            if current:
                logger.warning(Event.KEYS_CONFIRMED, age_s=age_s)
            else:
                logger.warning(Event.KEYS_UNCONFIRMED, age_s=age_s)
        return current

    def authenticate(
        self, queue: Queue, key: str | None, *, repeated: bool = False
    ) -> Result[Caller, Failure]:
        """Identifies a caller.

        :param key: The caller's key, ``None`` if it sent none.
        :param repeated: Whether the call was accepted before, and has been counted.
        :returns: An anonymous caller only if the queue allows it. Failures:
            ``UNAUTHENTICATED`` for a missing or unknown key, ``NOT_RUN`` if a key
            cannot be checked now.
        """
        if not self.enabled:
            return Ok(UNCHECKED)
        if key is None and not queue.requires_key:
            return Ok(Caller(anonymous=True))
        if key is None:
            return self.refuse(ErrorKind.UNAUTHENTICATED, "the call has no key")
        if not self.can_check_keys():
            detail = "keys cannot be checked: the manifest may be out of date"
            return self.refuse(ErrorKind.NOT_RUN, detail, RETRY_AFTER_S)
        organisation = self.find(hash_key(key))
        if organisation is None:
            return self.refuse(ErrorKind.UNAUTHENTICATED, "the key is unknown")
        if not repeated:
            self.metrics.authentications.labels("accepted").inc()
        return Ok(Caller(organisation))

    def find(self, digest: str) -> OrganisationId | None:
        """Returns the organisation of a key's hash, compared in constant time."""
        found = None
        for known, organisation in self.owners_by_hash.items():
            if hmac.compare_digest(known, digest):
                found = organisation
        return found

    def refuse(
        self, kind: ErrorKind, detail: str, retry_after_s: float | None = None
    ) -> Err[Failure]:
        """Returns the failure of a call that is not served, and counts it."""
        self.metrics.authentications.labels(kind.value).inc()
        return Err(Failure(kind, detail, retry_after_s=retry_after_s))


def bound_organisation(record: CellJob, manifest: Manifest | None) -> str:
    """Returns the organisation to which a job is bound, empty if it is to none.

    Jobs of a queue that requires no key are not bound to the organisation that has
    submitted them; a queue that the manifest does not name any more did require one.
    """
    queue = None if manifest is None else manifest.find(record.host, record.path)
    if queue is None or not queue.is_job_path(record.path, record.job):
        return record.organisation
    return record.organisation if queue.requires_key else ""


def check_access(owner: str, caller: Caller) -> Failure | None:
    """Returns the failure of a caller that names a job of another organisation.

    :param owner: Organisation to which the job is bound, or empty.
    """
    if caller.may_name(owner):
        return None
    return Failure(ErrorKind.FORBIDDEN, "the job belongs to another organisation")
