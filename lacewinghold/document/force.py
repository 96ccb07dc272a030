"""Tells authors where a change is in force, and who lags."""

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
    """An instance that may not have a change yet.

    :param revision: The version that it surely has.
    :param since: When the change was known here, in seconds since 1970.
    :param live: Whether it holds its store lease.
    :param rule_lease_over: Whether it no longer relies on its version, so that
        ``when_cut_off`` of the section decides what it does.
    """

    instance: InstanceId
    data_centre: DataCentreId
    revision: Revision
    since: float
    live: bool
    rule_lease_over: bool
    when_cut_off: CutOff


class ForceStatus(Struct, frozen=True):
    """Where a change is in force.

    :param everywhere: Whether nobody decides by an older version any more.
    """

    section: SectionName
    revision: Revision
    state: str
    in_force: list[DataCentreId]
    everywhere: bool
    lagging: list[LaggingInstance]


class ForceTracker:
    """Asks the instances on the roster which version they have applied.

    A version that an instance has reported_revision is kept: it never goes back.

    :param log: Tells how a section stood at earlier versions.
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
        """Returns where a revision of a section is in force, or the latest one."""
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
        # The roster is complete up to the live keys' revision only.
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
        """Returns the version that an instance surely has."""
        joined = self.view.items[self.view.keys.roster(instance)].create_revision
        return Revision(max(joined, self.applied.get(instance, 0)))

    async def query_instances(self, target_revision: Revision) -> None:
        """Asks all instances that are not known to have a version."""
        self.applied[self.peers.instance] = self.spread.applied()
        async with anyio.create_task_group() as tasks:
            for instance in self.view.roster():
                if self.known_revision(instance) < target_revision:
                    tasks.start_soon(self.query_instance, instance)
        for instance in self.applied.keys() - self.view.roster().keys():
            del self.applied[instance]

    async def query_instance(self, instance: InstanceId) -> None:
        """Asks one instance; silence leaves what was known."""
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
        """Returns what is known of an instance that lags."""
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
        """Returns whether an instance surely decides nothing by its old version.

        Its rule lease must be over, and the section must have refused in every
        version that the instance may have.
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
