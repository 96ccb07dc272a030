"""Reads of several pages: one that is cut short would leave done tasks waiting."""

from __future__ import annotations

import pytest

from tests.test_platform.support import LOST, UNREACHABLE, reply
from tests.test_platform.test_platform_store import use

PAGE_KEYS = 500
PAGES = 3
FIRST_REVISION = 10_000


def page(number, *, more):
    """Returns a page of keys; each page is read at a later revision."""
    items = []
    for index in range(PAGE_KEYS):
        key = f"p/{number:02d}{index:03d}"
        items.append({"key": key, "value": "b25l", "revision": 3, "created": 2})
    body = {"items": items, "hasMore": more, "at": FIRST_REVISION + number}
    return reply(200, body)


def test_all_keys_of_more_than_two_pages_are_read_and_followed_from_the_first():
    pages = [page(number, more=number < PAGES - 1) for number in range(PAGES)]
    result, calls = use(lambda s: s.range("p/", prefix=True), *pages)
    found = result.ok_value
    assert found.revision == FIRST_REVISION
    assert len({item.key for item in found.items}) == PAGES * PAGE_KEYS
    assert calls[2][1] == "/kv-range?pathPrefix=p%2F&after=p%2F01499"


@pytest.mark.parametrize(
    "answer",
    [LOST, UNREACHABLE, reply(429), reply(503), reply(500, {}), reply(404, {})],
)
def test_a_read_whose_later_page_fails_returns_no_part(answer):
    result, calls = use(
        lambda s: s.range("p/", prefix=True), page(0, more=True), answer
    )
    assert result.is_err()
    assert len(calls) == 2
