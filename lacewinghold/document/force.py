"""Tracks on which instances a document change is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.document.rules import (
    CLOCK_DRIFT_SHARE,
    longest_rule_lease_s,
    when_cut_off,
)
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import DataCentreId, InstanceId, Revision, SectionName
from lacewinghold.schema.generated.messages import (
    DocumentQuery,
    DocumentState,
    MessageKind,
)
from lacewinghold.util.codec import unpack

if TYPE_CHECKING:
    from lacewinghold.document.changes import ChangeLog
    from lacewinghold.document.sections import Document
    from lacewinghold.document.spread import DocumentSpread
    from lacewinghold.schema.generated.document import CutOff
    from lacewinghold.schema.generated.records import InstanceRecord
    from lacewinghold.util.clock import WallClock

QUERY_TIMEOUT_S = 1.0


class LaggingInstance(Struct, frozen=True):
    """An instance that may not have applied a change yet.

    :param revision: The latest document version that it is known to have applied.
    :param since: When the reporting instance applied the change, in seconds since
        1970.
    :param live: Whether it holds its store lease.
    :param rule_lease_over: Whether its rule lease has expired, so that
        ``when_cut_off`` of the section determines its behaviour.
    """

    instance: InstanceId
    data_centre: DataCentreId
    revision: Revision
    since: float
    live: bool
    rule_lease_over: bool
    when_cut_off: CutOff


class ForceStatus(Struct, frozen=True):
    """The data centres in which a change is in force.

    :param everywhere: Whether no instance decides by an older version any more.
    """

    section: SectionName
    revision: Revision
    state: str
    in_force: list[DataCentreId]
    everywhere: bool
    lagging: list[LaggingInstance]


class ForceTracker:
    """Queries the instances on the roster for the version they have applied.

    Reported versions are cached, since an instance's version never decreases.

    :param log: Source of a section's ``when_cut_off`` in earlier versions.
    """

    def __init__(
        self,
        spread: DocumentSpread,
        document: Document,
        log: ChangeLog,
        clock: WallClock,
    ) -> None:
        self.spread = spread
        self.view = spread.view
        self.rules = spread.rules
        self.peers = spread.peers
        self.document = document
        self.log = log
        self.clock = clock
        self.applied: dict[InstanceId, Revision] = {}

    async def status(
        self, name: SectionName, revision: Revision | None = None
    ) -> Result[ForceStatus, Failure]:
        """Returns where a revision of a section is in force.

        :param revision: ``None`` for the latest revision.
        """
        if revision is not None:
            await self.view.wait_document(revision)
        section = self.document.section(name)
        if section is None or (revision or 0) > section.revision:
            detail = f"revision {revision} of {name} is not known here"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        target_revision = section.revision if revision is None else revision
        await self.query_instances(target_revision)
        lagging = []
        lagging_data_centres = set()
        data_centres = set()
        roster = self.view.roster()
        for instance, record in sorted(roster.items()):
            data_centres.add(record.data_centre)
            if self.known_revision(instance) >= target_revision:
                continue
            lagging_data_centres.add(record.data_centre)
            lagging.append(
                self.describe(record, target_revision, when_cut_off(section.body))
            )
        # Instances that joined after the watched revision may be missing here.
        everywhere = bool(roster) and self.view.revision >= target_revision
        for laggard in lagging:
            everywhere = everywhere and await self.refuses(name, laggard)
        status = ForceStatus(
            name,
            target_revision,
            "in force everywhere" if everywhere else "accepted",
            sorted(data_centres - lagging_data_centres),
            everywhere,
            lagging,
        )
        return Ok(status)

    def known_revision(self, instance: InstanceId) -> Revision:
        """Returns the latest version that an instance is known to have applied."""
        joined = self.view.items[self.view.keys.roster(instance)].create_revision
        return Revision(max(joined, self.applied.get(instance, 0)))

    async def query_instances(self, target_revision: Revision) -> None:
        """Queries all instances that are not known to have applied a version."""
        self.applied[self.peers.instance] = self.spread.applied()
        async with anyio.create_task_group() as tasks:
            for instance in self.view.roster():
                if self.known_revision(instance) < target_revision:
                    tasks.start_soon(self.query_instance, instance)
        for instance in self.applied.keys() - self.view.roster().keys():
            del self.applied[instance]

    async def query_instance(self, instance: InstanceId) -> None:
        """Queries one instance; without a reply its cached version stays."""
        reply = await self.peers.call(
            instance, MessageKind.DOCUMENT_STATE, DocumentQuery(""), QUERY_TIMEOUT_S
        )
        if isinstance(reply, Err):
            return
        reported_revision = unpack(reply.ok_value, DocumentState).revision
        self.applied[instance] = Revision(
            max(self.applied.get(instance, 0), reported_revision)
        )

    def describe(
        self, record: InstanceRecord, target_revision: Revision, policy: CutOff
    ) -> LaggingInstance:
        """Returns the status of an instance that lags behind a version."""
        known_for_s = anyio.current_time() - self.rules.applied_at(target_revision)
        now = self.clock.now()
        lease_s = longest_rule_lease_s(self.document, now) * (1 + 2 * CLOCK_DRIFT_SHARE)
        return LaggingInstance(
            record.instance,
            record.data_centre,
            self.known_revision(record.instance),
            now - known_for_s,
            record.instance in self.view.instances(),
            known_for_s > lease_s,
            policy,
        )

    async def refuses(self, name: SectionName, laggard: LaggingInstance) -> bool:
        """Returns whether an instance certainly makes no decision by an old version.

        Its rule lease must have expired, and ``when_cut_off`` of the section must
        be ``refuse`` in every version that the instance may have.
        """
        if not laggard.rule_lease_over:
            return False
        read = await self.log.read(name)
        if isinstance(read, Err):
            return False
        changes = read.ok_value.changes
        first = None
        for index, change in enumerate(changes):
            if change.revision <= laggard.revision:
                first = index
        if first is None:
            return False
        return all(change.refuses for change in changes[first:])
