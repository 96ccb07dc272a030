"""The template from which the platform renders the settings file."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from lacewinghold.scheduler.strength import strength_of
from lacewinghold.schema.generated.entry import EntryMachine, EntrySettings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "entry.json.in"
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
    "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
    "bounds": {
        "maxHoldMs": 6000,
        "stopTimeoutMs": 200,
        "graceS": 6,
        "status_s": 120,
        "remoteFactor": 1.5,
    },
}


def render(match):
    """Returns the value of a placeholder."""
    value = FIELDS
    for name in match[1].split("."):
        value = value[int(name)] if name.isdecimal() else value[name]
    return msgspec.json.encode(value).decode() if match[2] else str(value)


def test_rendered_template_is_valid_and_gives_the_machine_strength():
    text = PLACEHOLDER.sub(render, TEMPLATE.read_text())
    settings = msgspec.json.decode(text, type=EntrySettings)
    assert settings.machine == EntryMachine(
        processor_share=0.537, speed=2, link_mbps=1000
    )
    assert strength_of(settings.machine) == pytest.approx(1.074)


def test_machine_strength_is_limited_by_its_scarcer_resource():
    machine = EntryMachine(processor_share=0.7, speed=3, link_mbps=5)
    assert strength_of(machine) == pytest.approx(0.1)
    machine = EntryMachine(processor_share=0.5, speed=1, link_mbps=1000)
    assert strength_of(machine) == pytest.approx(0.5)
    assert strength_of(None) == 1
