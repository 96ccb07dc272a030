"""Tests that invalid settings are reported with field, value and allowed values."""

from __future__ import annotations

import json
import signal
import typing

import pytest
import trustme

from lacewinghold.cmd import main
from lacewinghold.schema.generated.settings import Settings
from lacewinghold.testing.deployment import EXAMPLES

GOOD = json.loads((EXAMPLES / "terrasvuur" / "gent-a-1.json").read_text())
CASES = [
    ({"listen": {"http": "127.0.0.1:0", "peer": "127.0.0.1:1"}}, "$.listen.http", "0"),
    ({"listen": {"http": "1.2.3.4:70000", "peer": "1.2.3.4:1"}}, "$.listen", "70000"),
    ({"listen": {"http": "300.0.0.1:80", "peer": "1.2.3.4:1"}}, "$.listen", "300.0"),
    ({"listen": {"http": "1.2.3.4:80", "peer": "1.2.3.4:80"}}, "$.listen.peer", "http"),
    ({"listen": {"http": "host:80", "peer": "1.2.3.4:1"}}, "$.listen.http", "host:80"),
    ({"store": {"endpoints": []}}, "$.store.endpoints", ">= 1"),
    ({"store": {"endpoints": ["ftp://x"]}}, "$.store.endpoints[0]", "ftp://x"),
    ({"store": {"endpoints": ["http://x"] * 2}}, "$.store.endpoints", "twice"),
    ({"store": {"endpoints": ["http://x"], "timeout_s": 5}}, "$.store.timeout_s", "5"),
    ({"lease": {"ttl_s": 1, "renew_s": 0.8, "margin_s": 0.3}}, "$.lease", "0.8"),
    ({"lease": {"ttl_s": -1}}, "$.lease.ttl_s", "found -1; Expected `float` >= 0.5"),
    ({"plaintext": False}, "$.tls", "plaintext"),
    ({"plaintext": "yes"}, "$.plaintext", 'found "yes"; Expected `bool`'),
    ({"colour": "red"}, "$", "colour"),
    ({"log_level": "loud"}, "$.log_level", "loud"),
    ({"statsd": {"host": "x", "port": 0}}, "$.statsd.port", "found 0"),
    ({"statsd": {"host": "metrics.example"}}, "$.statsd.host", "metrics.example"),
    ({"instance": "a/b"}, "$.instance", "a/b"),
]


def write(tmp_path, settings):
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(settings))
    return str(file)


@pytest.mark.parametrize(("changes", "field", "shown"), CASES)
@pytest.mark.parametrize("command", [("settings", "check"), ("serve", "--settings")])
def test_bad_settings(tmp_path, capsys, command, changes, field, shown):
    assert main([*command, write(tmp_path, {**GOOD, **changes})]) == 2
    errors = capsys.readouterr().err
    assert f"settings.json: {field}" in errors
    assert shown in errors


def test_missing_and_broken_files(tmp_path, capsys):
    assert main(["settings", "check", str(tmp_path / "none.json")]) == 2
    (tmp_path / "broken.json").write_text("{")
    assert main(["settings", "check", str(tmp_path / "broken.json")]) == 2
    assert "broken.json: $: " in capsys.readouterr().err


def test_certificates(tmp_path, capsys, certificates):
    files = certificates
    secure = {**GOOD, "plaintext": False, "tls": files}
    assert main(["settings", "check", write(tmp_path, secure)]) == 0
    other = trustme.CA().issue_cert("127.0.0.1")
    other.private_key_pem.write_to_path(files["key"])
    assert main(["settings", "check", write(tmp_path, secure)]) == 2
    assert "$.tls.certificate" in capsys.readouterr().err
    gone = {**secure, "tls": {**files, "authority": str(tmp_path / "gone.pem")}}
    assert main(["settings", "check", write(tmp_path, gone)]) == 2
    assert "$.tls.authority: found no file" in capsys.readouterr().err
    assert main(["settings", "check", write(tmp_path, {**secure, "plaintext": True})])
    assert "$.plaintext" in capsys.readouterr().err


def field_names(kind, prefix=""):
    for name in kind.__struct_fields__:
        hint = typing.get_type_hints(kind)[name]
        parts = [part for part in typing.get_args(hint) or (hint,) if part]
        nested = [part for part in parts if hasattr(part, "__struct_fields__")]
        if not nested:
            yield f"{prefix}{name}"
        for part in nested:
            yield from field_names(part, f"{prefix}{name}.")


def test_every_field_is_documented():
    page = (EXAMPLES.parent / "docs" / "operating" / "settings.md").read_text()
    names = list(field_names(Settings))
    assert "lease.ttl_s" in names
    assert "tls.key" in names
    for name in names:
        assert f"`{name}`" in page, name


def test_examples_are_valid(capsys):
    files = sorted(EXAMPLES.glob("*/*-[0-9].json"))
    assert len(files) == 14
    for file in files:
        assert main(["settings", "check", str(file)]) == 0


def test_a_sighup_before_the_settings_are_read_does_not_end_the_process(
    tmp_path, monkeypatch
):
    """Guards against the default action while a process starts."""
    settings = tmp_path / "entry.json"
    settings.write_text('{"bounds": {}}')
    found = []

    def load(path, kind):
        found.append(signal.getsignal(signal.SIGHUP))
        raise SystemExit

    monkeypatch.setattr("lacewinghold.cmd.settings.load", load)
    before = signal.getsignal(signal.SIGHUP)
    try:
        with pytest.raises(SystemExit):
            main(["serve", "--settings", str(settings)])
    finally:
        signal.signal(signal.SIGHUP, before)
    assert found == [signal.SIG_IGN]
