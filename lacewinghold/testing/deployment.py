"""A deployment as its example folder describes it."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

import lacewinghold
from lacewinghold.errors import ErrorKind, Failure, FailureError
from lacewinghold.ids import SectionName, WorkerId
from lacewinghold.schema.generated.document import Section
from lacewinghold.schema.generated.jobs import JobSpec, Resources
from lacewinghold.schema.generated.records import SectionRecord
from lacewinghold.schema.generated.settings import (
    RackSettings,
    Settings,
    StandInSettings,
)
from lacewinghold.schema.generated.worker import WorkerRecord
from lacewinghold.store.base import Put, Transaction
from lacewinghold.util.codec import parse_json, to_json

if TYPE_CHECKING:
    from lacewinghold.coordination.keys import Keys

T = TypeVar("T")
EXAMPLES = Path(lacewinghold.__file__).resolve().parent.parent / "examples"
JOB_NAMES = ("service", "batch", "all-at-once")


class Deployment(Struct):
    """Settings, document and jobs of one deployment."""

    name: str
    stand_in: StandInSettings
    instances: list[Settings]
    sections: list[Section]
    jobs: list[JobSpec]


def load_deployment(folder: Path) -> Result[Deployment, Failure]:
    """Reads the files of an example folder.

    :returns: The deployment, or a failure that names the file and the field.
    """
    try:
        stand_in = read(folder / "stand-in.json", StandInSettings)
        files = sorted(folder.glob("*-[0-9].json"))
        return Ok(
            Deployment(
                name=folder.name,
                stand_in=stand_in,
                instances=[read(file, Settings) for file in files],
                sections=read(folder / stand_in.document, list[Section]),
                jobs=[read(folder / f"job-{name}.json", JobSpec) for name in JOB_NAMES],
            )
        )
    except FailureError as error:
        return Err(error.failure)


def read(file: Path, kind: type[T]) -> T:
    """Reads and checks one file.

    :raises FailureError: If it is missing or wrong.
    """
    try:
        data = file.read_bytes()
    except OSError as error:
        detail = f"{file}: {error.strerror}"
        raise FailureError(Failure(ErrorKind.INVALID, detail))
    parsed = parse_json(data, kind)
    if isinstance(parsed, Err):
        failure = parsed.err_value
        detail = f"{file}: {failure.detail}"
        raise FailureError(Failure(failure.kind, detail, failure.field))
    return parsed.ok_value


def document_transaction(keys: Keys, sections: list[Section]) -> Transaction:
    """Returns the write that loads a document into an empty store."""
    puts = []
    for section in sections:
        record = SectionRecord(
            kind=section.kind, owner=section.owner, body=section.body
        )
        puts.append(Put(keys.section(SectionName(section.name)), to_json(record)))
    return Transaction([], [*puts])


def worker_records(rack: RackSettings, url: str) -> list[WorkerRecord]:
    """Returns the workers of a rack as the platform's list names them.

    :param url: Base address, to which the worker's id is added.
    """
    capacity = Resources(
        cores=rack.cores, memory_mb=rack.memory_mb, accelerators=rack.accelerators
    )
    records = []
    for index in range(rack.workers):
        worker = WorkerId(f"{rack.rack}-w{index}")
        records.append(
            WorkerRecord(
                worker=worker,
                region=rack.region,
                data_centre=rack.data_centre,
                rack=rack.rack,
                position=index,
                capacity=msgspec.structs.replace(capacity),
                slots=rack.slots,
                connections=rack.connections,
                url=f"{url}/{worker}",
            )
        )
    return records
