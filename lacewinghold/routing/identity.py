"""Recognises repeats of a request and returns their results."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.ids import WorkerId
from lacewinghold.schema.generated.messages import ServiceAnswer
from lacewinghold.schema.generated.records import RequestState

if TYPE_CHECKING:
    from lacewinghold.ids import TeamId
    from lacewinghold.schema.generated.messages import ServiceRequest
    from lacewinghold.schema.generated.records import RequestRecord


def digest_of(team: TeamId, key: str) -> str:
    """Returns the digest that identifies a request's record.

    :param key: The idempotency key or the request's id.
    """
    return hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()


def fingerprint_of(message: ServiceRequest) -> str:
    """Returns a digest of a request's content, which is the same for a repeat."""
    head = f"{message.service}\0{message.method}\0{message.path}\0".encode()
    return hashlib.sha256(head + message.body).hexdigest()


def may_claim(found: RequestRecord, own: RequestRecord) -> bool:
    """Returns whether a request may be claimed again: the same one has not run.

    :param found: The stored record.
    :param own: The record of the new claim.
    """
    if found.fingerprint != own.fingerprint:
        return False
    return found.state is RequestState.NOT_RUN


def needs_claimant(record: RequestRecord) -> bool:
    """Returns whether the claiming instance may know more than the record shows."""
    if record.state is RequestState.ANSWERED:
        return record.body is None
    return record.state is not RequestState.NOT_RUN


def to_result(record: RequestRecord) -> Result[ServiceAnswer, Failure]:
    """Returns the result for a repeat of a recorded request."""
    if record.state is RequestState.NOT_RUN:
        return Err(Failure(ErrorKind.NOT_RUN, record.detail))
    if record.state is not RequestState.ANSWERED:
        detail = "a request with this key was sent before"
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
    if record.body is None:
        detail = f"answered with status {record.status}; its body is not kept"
        return Err(Failure(ErrorKind.CONFLICT, detail, "Idempotency-Key"))
    worker = WorkerId(record.worker)
    return Ok(
        ServiceAnswer(
            record.request, record.status, record.body, worker, record.content_type
        )
    )


def key_conflict() -> Failure:
    """Returns the failure for a key that was used for another request."""
    detail = "the key was used for another request"
    return Failure(ErrorKind.CONFLICT, detail, "Idempotency-Key")
