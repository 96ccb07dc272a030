"""The template from which the platform renders the settings file."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from lacewinghold.scheduler.strength import strength_of
from lacewinghold.schema.generated.entry import EntryMachine, EntrySettings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "entry.json.in"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}")
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
FIELDS = {
    "nodeName": "front-gent-a-1",
    "region": "vlaanderen",
    "zone": "gent-a",
    "ip": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "internalPorts": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169"},
    "advice": "10.200.1.9:8169",
    "limits": {
        "cpuShare": 0.537,
        "cores": 2,
        "linkMbps": 1000.0,
        "memoryMb": 200,
        "maxFds": 4100,
    },
    "bounds": {
        "maxHoldMs": 6000,
        "stopTimeoutMs": 200,
        "graceS": 6,
        "status_s": 120,
        "remoteFactor": 1.5,
    },
}


def render(fields):
    """Returns the settings that the platform renders from its fields."""

    def find(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if name.isdecimal() else value.get(name, "")
        return value

    def placeholder(match):
        value = find(match[1])
        return msgspec.json.encode(value).decode() if match[2] else str(value)

    text = SECTION.sub(
        lambda match: match[2] if find(match[1]) else "", TEMPLATE.read_text()
    )
    return msgspec.json.decode(PLACEHOLDER.sub(placeholder, text), type=EntrySettings)


def test_rendered_template_is_valid_and_gives_the_machine_strength():
    settings = render(FIELDS)
    assert settings.machine == EntryMachine(
        processor_share=0.537,
        speed=2,
        link_mbps=1000,
        memory_mb=200,
        max_descriptors=4100,
    )
    assert strength_of(settings.machine) == pytest.approx(1.074)
    assert not settings.bounds.strict_revocation


@pytest.mark.parametrize("strict", [True, False])
def test_template_passes_on_how_strictly_keys_are_revoked(strict):
    """Guards against an instance that serves removed keys for want of the setting."""
    bounds = {**FIELDS["bounds"], "strictRevoke": strict, "revokeMs": 4000}
    settings = render({**FIELDS, "bounds": bounds})
    assert settings.bounds.strict_revocation is strict
    assert settings.bounds.revoke_ms == 4000


def test_machine_strength_is_limited_by_its_scarcer_resource():
    machine = EntryMachine(processor_share=0.7, speed=3, link_mbps=5)
    assert strength_of(machine) == pytest.approx(0.1)
    machine = EntryMachine(processor_share=0.5, speed=1, link_mbps=1000)
    assert strength_of(machine) == pytest.approx(0.5)
    assert strength_of(None) == 1
