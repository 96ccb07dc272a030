"""Choice of the data centre that serves a request.

The own data centre is preferred, then the own region; another region is used only if
the service's rule allows it, as the link between regions is paid for.
"""

from __future__ import annotations

import anyio
import pytest
from result import Ok
from support import (
    ANTWERPEN,
    BOOKING,
    GENT,
    NAMUR,
    THREE_CENTRES,
    make_shape,
    send_request,
    serving_cell,
)

from lacewinghold.errors import ErrorKind
from lacewinghold.ids import SectionName
from lacewinghold.schema.generated.document import (
    CutOff,
    SectionKind,
    ServiceRule,
    TeamSection,
)
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.schema.generated.worker import WorkerState
from lacewinghold.store.base import Put, Transaction
from lacewinghold.testing.clock import run_paused
from lacewinghold.util.codec import to_json


def write_section(cell, section):
    record = SectionRecord(kind=SectionKind.TEAM, owner="operators", body=section)
    put = Put(cell.keys.section(SectionName("services")), to_json(record))
    cell.state.apply(Transaction([], [put]))


def entry_in(cell, centre):
    return next(
        running
        for running in cell.instances.values()
        if running.instance.settings.data_centre == centre
    )


def remove_servers(cell, centre):
    for worker in cell.workers.values():
        if worker.record.data_centre == centre:
            worker.record.state = WorkerState.GONE


async def send_with_servers_removed(centre, gone, rule, timeout_s):
    async with serving_cell(71, make_shape(THREE_CENTRES, 4, 7)) as cell:
        write_section(cell, TeamSection(services={str(BOOKING): rule}))
        for other in gone:
            remove_servers(cell, other)
        await anyio.sleep(7)
        entry = entry_in(cell, centre)
        return [
            await send_request(cell, at=entry, timeout_s=timeout_s) for _ in range(10)
        ]


def served_in(results):
    return {
        result.ok_value.worker.rpartition("-")[0]
        if isinstance(result, Ok)
        else result.err_value.kind
        for result in results
    }


ALLOWED, FORBIDDEN = ServiceRule(cross_region=True), ServiceRule()


@pytest.mark.parametrize(
    ("centre", "gone", "rule", "timeout_s", "expected"),
    [
        (GENT, [], ALLOWED, 5.0, GENT),
        (NAMUR, [], ALLOWED, 5.0, NAMUR),
        (GENT, [GENT], FORBIDDEN, 5.0, ANTWERPEN),
        (GENT, [GENT, ANTWERPEN], ALLOWED, 5.0, NAMUR),
        (GENT, [GENT, ANTWERPEN], ALLOWED, 0.1, ErrorKind.NOT_RUN),
        (GENT, [GENT, ANTWERPEN], FORBIDDEN, 5.0, ErrorKind.NOT_RUN),
    ],
)
def test_nearest_allowed_centre_serves(centre, gone, rule, timeout_s, expected):
    results = run_paused(
        send_with_servers_removed, centre, gone, rule, timeout_s, seed=71
    )
    assert served_in(results) == {expected}


async def cut_off_under_rule(when_cut_off):
    async with serving_cell(72, make_shape(THREE_CENTRES, 4, 7)) as cell:
        section = TeamSection(services={str(BOOKING): ALLOWED})
        section.when_cut_off = when_cut_off
        write_section(cell, section)
        await anyio.sleep(1)
        for running in cell.instances.values():
            running.store.reachable = False
        await anyio.sleep(6)
        while_cut_off = await send_request(cell)
        for running in cell.instances.values():
            running.store.reachable = True
        await anyio.sleep(10)
        return while_cut_off, await send_request(cell)


@pytest.mark.parametrize("when_cut_off", list(CutOff))
def test_rule_decides_whether_a_cut_off_centre_serves(when_cut_off):
    while_cut_off, after = run_paused(cut_off_under_rule, when_cut_off, seed=72)
    if when_cut_off is CutOff.GO_ON:
        assert isinstance(while_cut_off, Ok)
    else:
        assert while_cut_off.err_value.answer.may_repeat
    assert isinstance(after, Ok)
