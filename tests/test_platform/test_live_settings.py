"""Settings that change while an entry instance runs."""

from __future__ import annotations

import msgspec
import pytest

from lacewinghold.entry import LiveSettings
from lacewinghold.platform.advice import PlatformAdvice
from lacewinghold.platform.store import PlatformStore
from lacewinghold.scheduler.cell import RETENTION_MARGIN_S
from lacewinghold.util.settings_watch import SettingsWatch
from tests.test_scheduler.support import run_cell


def changed(settings, **fields):
    """Returns a copy of settings with fields changed; ``a__b`` names a nested field."""
    found = msgspec.to_builtins(settings)
    for name, value in fields.items():
        outer, _, inner = name.partition("__")
        if inner:
            found[outer][inner] = value
        else:
            found[name] = value
    return msgspec.convert(found, type(settings))


def play(tmp_path, program):
    """Runs a program with an owner whose settings are read from a file."""

    async def session(cell):
        instance = cell.owner().instance
        store = PlatformStore("10.0.0.1:1")
        advice = PlatformAdvice("10.0.0.2:2")
        settings = changed(instance.settings, advice="10.0.0.2:2")
        live = LiveSettings(instance, store, advice, settings)
        path = tmp_path / "settings.json"
        watch = SettingsWatch(path, settings, live.apply)

        def write(found):
            path.write_bytes(msgspec.json.encode(found))

        write(settings)
        assert not watch.check()
        program(write, watch, live)

    run_cell(session)


def test_bounds_and_addresses_change_in_a_running_process(tmp_path):
    def program(write, watch, live):
        write(
            changed(
                watch.settings,
                bounds__status_s=600,
                store__address="10.0.0.9:9",
                advice="10.0.0.8:8",
            )
        )
        assert watch.check()
        assert live.store.client.address == "10.0.0.9:9"
        assert live.store.lease_client.address == "10.0.0.9:9"
        assert live.advice.client.address == "10.0.0.8:8"
        assert live.instance.owner.status_retention_s == 600 + RETENTION_MARGIN_S
        assert not watch.check()

    play(tmp_path, program)


@pytest.mark.parametrize(
    ("fields", "restart_fields"),
    [
        ({"instance": "other"}, ["instance"]),
        ({"log_level": "error"}, ["log_level"]),
        ({"store__prefix": "other/"}, ["store.prefix"]),
        ({"store__lease_ms": 9000}, ["store.lease_ms"]),
        ({"machine": {"processor_share": 1, "link_mbps": 10}}, ["machine"]),
        ({"advice": ""}, ["advice"]),
        ({"bounds__status_s": 60}, []),
        ({"bounds__strict_revocation": True}, ["bounds.strict_revocation"]),
        ({"bounds__revoke_ms": 1000}, ["bounds.revoke_ms"]),
    ],
)
def test_fields_that_need_a_restart_are_reported(tmp_path, fields, restart_fields):
    def program(write, watch, live):
        before = live.instance.election.lease_s
        assert live.apply(changed(watch.settings, **fields)) == restart_fields
        # A lease in force must not be relied on beyond the time it was granted for.
        assert live.instance.election.lease_s == before

    play(tmp_path, program)


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b'{"instance": 7}'])
def test_invalid_or_missing_file_changes_nothing(tmp_path, content):
    def program(write, watch, live):
        previous = watch.settings
        watch.path.write_bytes(content)
        assert not watch.check()
        watch.path.unlink()
        assert not watch.check()
        assert watch.settings == previous == live.initial_settings
        write(changed(previous, bounds__status_s=60))
        assert watch.check()

    play(tmp_path, program)
