"""Rules for requests to services, from the operators' document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.ids import Revision
from lacewinghold.schema.generated.document import (
    CutOff,
    SectionKind,
    ServiceRule,
    TeamSection,
)
from lacewinghold.util.codec import from_json, to_json

if TYPE_CHECKING:
    from lacewinghold.document.sections import Document
    from lacewinghold.ids import ServiceId

DEFAULT_RULE = ServiceRule()


class ServiceRules:
    """The rules of all services, from this instance's latest copy of the document."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.revision = Revision(-1)
        self.rules: dict[str, ServiceRule] = {}
        self.when_cut_off: dict[str, CutOff] = {}

    def refresh(self) -> None:
        """Reloads the team sections if the document has changed."""
        if self.revision == self.document.view.revision:
            return
        self.revision = self.document.view.revision
        self.rules.clear()
        self.when_cut_off.clear()
        for section in self.document.sections():
            if section.kind is not SectionKind.TEAM:
                continue
            body = from_json(to_json(section.body), TeamSection)
            for service, rule in body.services.items():
                self.rules.setdefault(service, rule)
                self.when_cut_off.setdefault(service, body.when_cut_off)

    def rule(self, service: ServiceId) -> ServiceRule:
        """Returns the rule of a service.

        If several sections name the service, the first one is used.
        """
        self.refresh()
        return self.rules.get(service, DEFAULT_RULE)

    def serves_when_cut_off(self, service: ServiceId) -> bool:
        """Returns whether requests are served while cut off from the platform."""
        self.refresh()
        return self.when_cut_off.get(service, CutOff.GO_ON) is CutOff.GO_ON
