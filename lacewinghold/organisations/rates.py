"""Counts the accepted jobs of each organisation against its rate.

The load that this answers: organisations that submit more jobs per second than their
weight while others stay within theirs.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from lacewinghold.ids import OrganisationId
    from lacewinghold.scheduler.ports import Organisation

BURST_S = 1.0  # Capacity of a bucket, in seconds of the organisation's rate.
MIN_BURST_JOBS = 1.0  # With less, an organisation below one job a second gets none.


class TokenBucket(Struct):
    """The jobs that an organisation may submit at once.

    :param tokens: Number of jobs.
    :param filled_at: Time up to which the bucket is filled, in seconds.
    """

    tokens: float
    filled_at: float

    def take(self, rate: float, at: float) -> bool:
        """Takes the token of one job.

        :param rate: Tokens that are added each second.
        :param at: When the job was accepted, in seconds.
        :returns: Whether there was one.
        """
        elapsed_s = max(0.0, at - self.filled_at)
        self.filled_at += elapsed_s
        self.tokens = min(burst_jobs(rate), self.tokens + elapsed_s * rate)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def burst_jobs(rate: float) -> float:
    """Returns how many jobs a full bucket holds, for a rate in jobs per second."""
    return max(MIN_BURST_JOBS, rate * BURST_S)


class RateAccount:
    """The accepted jobs of all organisations with a weight, during one ownership.

    :ivar accepted: Number of jobs since the last call of ``take_counts``, by service
        and organisation.
    """

    def __init__(self) -> None:
        self.buckets: dict[OrganisationId, TokenBucket] = {}
        self.accepted: Counter[tuple[str, OrganisationId]] = Counter()

    def record_job(
        self, organisation: Organisation | None, service: str, at: float
    ) -> bool:
        """Counts an accepted job.

        The bucket is filled by the times of acceptance, so that jobs which reach the
        owner late and together are not in excess.

        :param organisation: The organisation as the manifest describes it, ``None`` if
            the job has none.
        :param at: When the job was accepted, on the runtime's clock in seconds.
        :returns: Whether the job is beyond the rate.
        """
        if organisation is None or organisation.weight <= 0:
            return False
        name, rate = organisation.name, organisation.weight
        self.accepted[service, name] += 1
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(burst_jobs(rate), at)
        return not bucket.take(rate, at)

    def take_counts(self) -> Counter[tuple[str, OrganisationId]]:
        """Returns the number of jobs since the last call, and resets it."""
        counts, self.accepted = self.accepted, Counter()
        return counts
