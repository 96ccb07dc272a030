"""Each invalid input is answered with problem details and has no effect."""

from __future__ import annotations

import copy
import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

BATCH = {
    "kind": "batch",
    "team": "routes",
    "tasks": 2,
    "resources": {"cores": 1, "memory_mb": 256},
    "expected_run_s": 1,
    "priority": "high",
    "deadline": "2030-01-01T05:00:00Z",
    "retry": {"attempts": 2, "backoff_s": 1},
    "where": {"data_centre": "gent-a"},
    "arguments": {"season": "winter"},
}
HUGE = 10**30
WRONG_VALUES = {
    "$.kind": ["press", 5, None, []],
    "$.team": ["nobody", "", "a" * 129, 7, None, "../x"],
    "$.tasks": [0, -1, 10_001, HUGE, 1.5, "2", None, True],
    "$.resources": [None, [], 3, {"cores": 0}],
    "$.resources.cores": [-1, 1e308, "1", None],
    "$.resources.memory_mb": [-1, HUGE, 1.5, "x"],
    "$.resources.accelerators": [-1, 65],
    "$.expected_run_s": [-1, 1e300, "soon"],
    "$.priority": ["most", 1],
    "$.deadline": [
        "2020-01-01T00:00:00Z",
        "2030-01-01T00:00:00",
        "9999-12-31T23:59:59-23:59",
        "0001-01-01T00:00:00+23:59",
        "tomorrow",
        5,
    ],
    "$.start_after": ["2031-01-01T00:00:00Z", "x"],
    "$.retry.attempts": [0, 101, "3"],
    "$.retry.backoff_s": [-0.1, 3601],
    "$.where.data_centre": ["gent-z", "", 4, "namur a"],
    "$.where.region": ["nowhere", "jawa barat"],
    "$.service": ["booking", "a b", 5],
    "$.name": ["n" * 201, 5],
    "$.repeatable": ["no", 1],
    "$.arguments": [[], {str(n): "" for n in range(65)}, {"a": 5}],
}
BAD_FIELDS = [(path, value) for path in WRONG_VALUES for value in WRONG_VALUES[path]]
BAD_BODIES = [
    b"",
    b"{",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"[" * 100_000,
    b'{"kind":' * 50_000,
    b'{"tasks": 1e999}',
    b'{"team": "\\ud800"}',
    b'{"kind": "batch"}',
    b" " * (256 * 1024 + 1),
]
TOUCHED = st.sampled_from(BAD_FIELDS)


def with_value(path, value):
    spec = copy.deepcopy(BATCH)
    *parents, last = path.removeprefix("$.").split(".")
    node = spec
    for name in parents:
        node = node[name]
    node[last] = value
    return json.dumps(spec).encode()


def check_problem(answer, field):
    assert 400 <= answer.status_code < 500, answer.text
    assert answer.headers["content-type"] == "application/problem+json"
    problem = answer.json()
    assert problem["status"] == answer.status_code
    assert problem["title"]
    assert problem["detail"]
    assert problem["field"].startswith(field), (problem, field)


def ledgers(cell):
    items = cell.cell.state.keys.items()
    return [item.value for key, item in items if "/ledger/" in key]


async def jobs_of(cell):
    return (await cell.caller().send("GET", "/v1/jobs")).json()


def test_bad_fields_and_bodies_are_named_and_not_accepted(play):
    async def program(cell):
        routes = cell.caller("routes")
        for path, value in BAD_FIELDS:
            answer = await routes.send("POST", "/v1/jobs", with_value(path, value))
            check_problem(answer, path)
        for body in BAD_BODIES:
            check_problem(await routes.send("POST", "/v1/jobs", body), "$")
        assert await jobs_of(cell) == []
        assert not any(b"job_accepted" in value for value in ledgers(cell))
        assert not any("/idempotency/" in key for key in cell.cell.state.keys)

    play(program)


@settings(
    max_examples=6,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    bodies=st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(
                        st.sampled_from([*BATCH, "x"]) | st.text(), inner, max_size=4
                    )
                ),
                max_leaves=12,
            ).map(lambda value: json.dumps(value).encode()),
            st.tuples(TOUCHED, TOUCHED).map(
                lambda pair: with_value(*pair[0])[:-1] + b', "x": 1}'
            ),
        ),
        min_size=20,
        max_size=60,
    )
)
def test_arbitrary_bodies_never_break_an_instance(play, bodies):
    async def program(cell):
        routes = cell.caller("routes")
        headers = {"If-Match": '"0"'}
        for body in bodies:
            check_problem(await routes.send("POST", "/v1/jobs", body), "")
            answer = await routes.send("PUT", "/v1/document/timing", body, headers)
            check_problem(answer, "")
        assert await jobs_of(cell) == []

    play(program)


BAD_CALLS = [
    ("GET", "/v1/jobs/none", {}, 422, "job"),
    ("GET", "/v1/jobs/nowhere.0~0123456789abcdef", {}, 404, "job"),
    ("GET", "/v1/jobs/gent-a-r1.0~0123456789abcdef", {}, 404, "job"),
    ("POST", "/v1/jobs/..%2F..~0123456789abcdef/cancel", {}, 404, "path"),
    ("PUT", "/v1/jobs", {}, 405, "path"),
    ("GET", "/v2/jobs", {}, 404, "path"),
    ("PUT", "/v1/document/timing", {}, 428, "If-Match"),
    ("PUT", "/v1/document/timing", {"If-Match": "new"}, 422, "If-Match"),
    ("POST", "/v1/jobs", {"Idempotency-Key": "k" * 257}, 422, "Idempotency-Key"),
    ("POST", "/v1/jobs", {"Idempotency-Key": ""}, 422, "Idempotency-Key"),
    ("POST", "/v1/services/a%20b/x", {}, 422, "service"),
    ("POST", "/v1/services/booking/x", {"Lacewinghold-Timeout": "-1"}, 422, "Lace"),
    ("POST", "/v1/services/booking/x", {"Lacewinghold-Timeout": "nan"}, 422, "Lace"),
    ("POST", "/v1/services/booking/x", {"Lacewinghold-Repeatable": "x"}, 422, "Lace"),
    ("PUT", "/v1/workers/nobody/drain", {}, 404, "worker"),
]


@pytest.mark.parametrize("key", [None, "", "wrong", "operators-demo-key2", "\u00e9"])
def test_unknown_bearer_keys_are_refused(play, key):
    async def program(cell):
        caller = cell.caller()
        value = f"Bearer {key}".encode() if key is not None else b"Basic eDp5"
        for method, path in (
            ("GET", "/v1/jobs"),
            ("POST", "/v1/jobs"),
            ("GET", "/v1/document"),
            ("GET", "/v1/audit"),
            ("PUT", "/v1/workers/gent-a-r1-w0/drain"),
            ("POST", "/v1/services/booking/x"),
        ):
            answer = await caller.send(method, path, b"", {"Authorization": value})
            assert answer.status_code == 401, (method, path)
            check_problem(answer, "Authorization")

    play(program)


def test_bad_calls_name_what_is_wrong(play):
    async def program(cell):
        operators = cell.caller()
        body = json.dumps(BATCH).encode()
        for method, path, headers, status, field in BAD_CALLS:
            answer = await operators.send(method, path, body, headers)
            assert answer.status_code == status, (method, path, answer.text)
            check_problem(answer, field)

    play(program)
