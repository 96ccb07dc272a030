"""Tests of the exit code of the commands for each kind of error."""

from __future__ import annotations

import httpx
import pytest

from lacewinghold.api.problems import problem_response
from lacewinghold.cmd import client, main
from lacewinghold.errors import ANSWERS, ErrorKind, Failure

COMMANDS = [
    ["jobs"],
    ["job", "gent-a-r1.0~0123456789abcdef"],
    ["cancel", "gent-a-r1.0~0123456789abcdef"],
    ["workers"],
    ["drain", "gent-a-r1-w0", "--comment", "new fans"],
    ["undrain", "gent-a-r1-w0"],
    ["audit"],
    ["status"],
]
ADDRESS = ["--url", "http://cell", "--key", "k"]


@pytest.fixture
def answer_with(monkeypatch):
    """Returns a function that replaces the entry instance with a request handler."""

    def install(handler):
        def make_client(options):
            transport = httpx.MockTransport(handler)
            return httpx.Client(base_url=options.url, transport=transport)

        monkeypatch.setattr(client, "make_client", make_client)

    return install


def to_httpx(response):
    headers = dict(response.headers)
    return httpx.Response(response.status_code, content=response.body, headers=headers)


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)
    for kind, answer in ANSWERS.items():
        assert 400 <= answer.status < 600
        assert 0 < answer.exit_code < 64
        assert answer.title
        states_not_run = answer.title.startswith("Not run")
        assert answer.may_repeat is states_not_run, kind


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_exit_code_of_every_error_kind(answer_with, capsys, kind):
    failure = Failure(kind, "what was found", "$.field", 2.0)
    answer_with(lambda request: to_httpx(problem_response(failure)))
    for command in COMMANDS:
        assert main([*command, *ADDRESS]) == ANSWERS[kind].exit_code
        errors = capsys.readouterr().err
        assert "$.field: what was found" in errors


def test_foreign_and_lost_answers(answer_with, capsys, tmp_path):
    answer_with(lambda request: httpx.Response(502, content=b"<html>"))
    assert main(["jobs", *ADDRESS]) == ANSWERS[ErrorKind.INTERNAL].exit_code

    def refuse(request):
        raise httpx.ConnectError("refused", request=request)

    answer_with(refuse)
    assert main(["jobs", *ADDRESS]) == ANSWERS[ErrorKind.UNREACHABLE].exit_code

    def lose(request):
        raise httpx.ReadTimeout("silent", request=request)

    answer_with(lose)
    unknown = ANSWERS[ErrorKind.OUTCOME_UNKNOWN].exit_code
    assert main(["cancel", "x~0", *ADDRESS]) == unknown
    assert main(["jobs"]) == 2
    keys = []

    def lose_first(request):
        keys.append(request.headers["idempotency-key"])
        if len(keys) == 1:
            raise httpx.ReadTimeout("silent", request=request)
        return httpx.Response(201, json={"job": "x~0"})

    answer_with(lose_first)
    (tmp_path / "job.json").write_text("{}")
    assert main(["submit", str(tmp_path / "job.json"), *ADDRESS]) == 0
    assert len(keys) == 2
    assert len(set(keys)) == 1
    assert main(["submit", str(tmp_path / "none.json"), *ADDRESS]) == 2
