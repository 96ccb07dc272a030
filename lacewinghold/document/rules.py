"""The rule lease, which bounds how long a document version may be relied on."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import anyio
from msgspec import Struct
from result import Err, Ok, Result

from lacewinghold.coordination.rules import RuleGate
from lacewinghold.document.sections import CELL_SECTION
from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.schema.generated.document import CutOff, SectionKind
from lacewinghold.schema.generated.records import RuleLeaseRecord
from lacewinghold.util.codec import from_json

if TYPE_CHECKING:
    from lacewinghold.coordination.lease import InstanceLease
    from lacewinghold.coordination.view import LiveView
    from lacewinghold.document.sections import Document
    from lacewinghold.ids import Revision, ServiceId, TeamId

CLOCK_DRIFT_SHARE = 0.01
CLOCK_MARGIN_S = 10.0
MAX_APPLIED_VERSIONS = 4096
UNREGISTERED_LEASE_S = 6.0


class AppliedVersion(Struct, frozen=True):
    """The time at which this instance first applied a document version.

    :param at: Seconds on the event loop's clock.
    """

    revision: Revision
    at: float


class DocumentRules(RuleGate):
    """Permits decisions while the document is confirmed within the rule lease.

    An instance decides only once it is on the roster and has applied the
    document as of its registration, so that the roster lists all instances that
    may decide.
    """

    name = "document"

    def __init__(
        self, view: LiveView, document: Document, lease: InstanceLease
    ) -> None:
        self.view = view
        self.document = document
        self.lease = lease
        self.confirmed_at = -math.inf
        self.applied: deque[AppliedVersion] = deque(maxlen=MAX_APPLIED_VERSIONS)
        self.refuses_by_team: dict[TeamId, bool] = {}
        view.listeners.append(self.record_applied_version)

    def record_applied_version(self, changed: set[str]) -> None:
        """Records the time at which a new document version was applied."""
        revision = self.view.document_revision
        if self.applied and self.applied[-1].revision == revision:
            return
        self.refuses_by_team.clear()
        self.applied.append(AppliedVersion(revision, anyio.current_time()))

    def applied_at(self, revision: Revision) -> float:
        """Returns when this instance applied a version, on the event loop's clock.

        :returns: Infinity if the version has not been applied.
        """
        for entry in self.applied:
            if entry.revision >= revision:
                return entry.at
        return math.inf

    def confirm(self, at: float) -> None:
        """Records that the local version was the latest one at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def unconfirmed_s(self) -> float:
        """Returns the seconds since the local version was last confirmed."""
        confirmed_at = max(self.confirmed_at, self.view.read_at)
        return anyio.current_time() - confirmed_at

    def rule_lease_remaining_s(self) -> float:
        """Returns the remaining seconds of the rule lease; negative once expired."""
        return self.document.timing().rule_lease_s - self.unconfirmed_s()

    def refuses_work(self, team: TeamId) -> bool:
        """Returns whether a team's work is refused once the rule lease has expired."""
        if team not in self.refuses_by_team:
            self.refuses_by_team[team] = self.has_refusing_section(team)
        return self.refuses_by_team[team]

    def has_refusing_section(self, team: TeamId) -> bool:
        """Returns whether a section that applies to a team refuses when cut off."""
        for section in self.document.sections():
            if section.kind is SectionKind.TEAM and section.owner != team:
                continue
            if when_cut_off(section.body) is CutOff.REFUSE:
                return True
        return False

    def registered(self) -> bool:
        """Returns whether this instance is on the roster and has applied that entry."""
        return 0 < self.lease.registered <= self.view.revision

    def can_identify_callers(self) -> bool:
        """Returns whether the local keys are recent enough to authenticate callers."""
        if not self.registered():
            return self.unconfirmed_s() <= UNREGISTERED_LEASE_S
        if self.rule_lease_remaining_s() > 0:
            return True
        cell = self.document.section(CELL_SECTION)
        return cell is None or when_cut_off(cell.body) is CutOff.GO_ON

    def permit(self, team: TeamId) -> Result[Revision, Failure]:
        if not self.registered():
            detail = "this instance is not registered in the store yet"
            return Err(Failure(ErrorKind.NOT_RUN, detail, "", 1.0))
        if self.rule_lease_remaining_s() <= 0 and self.refuses_work(team):
            age_s = self.unconfirmed_s()
            detail = f"the rules were last confirmed {age_s:.0f} s ago"
            return Err(Failure(ErrorKind.NOT_RUN, detail, "", 1.0))
        return Ok(self.view.document_revision)

    def allows(self, team: TeamId, revision: Revision) -> bool:
        if not self.registered() or revision < self.view.document_revision:
            return False
        return self.rule_lease_remaining_s() > 0 or not self.refuses_work(team)

    def remaining_s(self, team: TeamId) -> float:
        return (
            max(0.0, self.rule_lease_remaining_s())
            if self.refuses_work(team)
            else math.inf
        )

    def team_of(self, service: ServiceId) -> TeamId | None:
        found = self.document.cell().services.get(service)
        return None if found is None else found.team


def when_cut_off(body: object) -> CutOff:
    """Returns the policy of a section for the time after the rule lease."""
    if not isinstance(body, dict):
        return CutOff.GO_ON
    return CutOff(body.get("when_cut_off", CutOff.GO_ON))


def longest_rule_lease_s(document: Document, wall_now: float) -> float:
    """Returns the longest rule lease that any instance may rely on now.

    :param wall_now: Seconds since 1970; ``CLOCK_MARGIN_S`` covers the clock skew
        between instances.
    """
    present_s = document.timing().rule_lease_s
    item = document.view.items.get(document.view.keys.rule_lease)
    if item is None:
        return present_s
    record = from_json(item.value, RuleLeaseRecord)
    if wall_now > record.until:
        return present_s
    return max(present_s, record.longest_s)
