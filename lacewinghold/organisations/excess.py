"""Estimates which share of each organisation's submissions exceeds its rate.

The load that this answers: an organisation that goes on submitting more than its weight
to a full service. The members refuse that share at once, so that the store, the owner
and the waiting work stay small.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import structlog
from msgspec import Struct

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping

    from lacewinghold.ids import OrganisationId
    from lacewinghold.scheduler.metrics import CellMetrics
    from lacewinghold.scheduler.ports import Manifest

logger = structlog.get_logger(__name__)
# Checks over which the offered rate is computed: a second holds only a few jobs of a
# small organisation.
WINDOW_CHECKS = 5
SMOOTHING = 0.5  # Weight of the newest estimate of a share.
# Submissions at random times exceed their mean by more than this many standard
# deviations in fewer than one of ten thousand windows.
MAX_DEVIATIONS = 4.0
MIN_SHARE = 0.02  # Smaller shares are dropped, so that the smoothing ends.
# The offered rate is the accepted rate divided by what is not refused: beyond this,
# single jobs would decide the estimate.
MAX_SHARE = 0.95
# Callers that are refused together return spread over as many seconds.
RETRY_SPREAD_S = 4.0
HIGH_SHARE = 0.5  # Limit between the two bands of the metric.


class OfferedJobs(Struct):
    """The estimated submissions between two checks.

    :param duration_s: Seconds between the checks.
    :param jobs: Number of jobs by service and organisation.
    """

    duration_s: float
    jobs: dict[tuple[str, OrganisationId], float]


class ExcessEstimator:
    """Computes the excess shares at the owner.

    Submissions to services that are not full count as little as those within the rate.

    :ivar shares: The shares, above 0 and below 1, of the organisations that have one.
    """

    def __init__(self, metrics: CellMetrics) -> None:
        self.metrics = metrics
        self.shares: dict[OrganisationId, float] = {}
        self.window: deque[OfferedJobs] = deque(maxlen=WINDOW_CHECKS)

    def update(
        self,
        duration_s: float,
        accepted: Mapping[tuple[str, OrganisationId], int],
        manifest: Manifest | None,
        full_services: Collection[str],
    ) -> None:
        """Computes the shares from the jobs that were accepted since the last check.

        :param duration_s: Seconds since the last check.
        :param accepted: Number of jobs by service and organisation.
        """
        offered = {}
        for (service, name), count in accepted.items():
            offered[service, name] = count / (1.0 - self.shares.get(name, 0.0))
        self.window.append(OfferedJobs(duration_s, offered))
        shares = {}
        for organisation in ((manifest and manifest.organisations) or {}).values():
            name = organisation.name
            excess = self.excess_of(name, organisation.weight, full_services)
            if excess is None:
                continue
            last = self.shares.get(name, 0.0)
            share = min(MAX_SHARE, last + SMOOTHING * (excess - last))
            if share >= MIN_SHARE:
                shares[name] = share
        self.replace(shares)

    def excess_of(
        self, name: OrganisationId, weight: float, full_services: Collection[str]
    ) -> float | None:
        """Returns the share, 0 to 1, of an organisation's submissions beyond its rate.

        :returns: ``None`` if it has no rate, or has submitted nothing to a full
            service.
        """
        offered = duration_s = 0.0
        for sample in self.window:
            duration_s += sample.duration_s
            for service in full_services:
                offered += sample.jobs.get((service, name), 0.0)
        if weight <= 0 or not offered:
            return None
        expected = weight * duration_s
        if offered <= chance_limit(expected):
            return 0.0
        return 1.0 - expected / offered

    def replace(self, shares: dict[OrganisationId, float]) -> None:
        """Sets the shares; logs which organisations have one from now on, or none."""
        for name in shares.keys() - self.shares.keys():
            share = round(shares[name], 3)
            logger.warning(Event.EXCESS_REFUSED, organisation=name, share=share)
        for name in self.shares.keys() - shares.keys():
            logger.info(Event.EXCESS_ENDED, organisation=name)
        self.shares = shares
        high = sum(share > HIGH_SHARE for share in shares.values())
        self.metrics.excess_organisations.labels("high").set(high)
        self.metrics.excess_organisations.labels("low").set(len(shares) - high)


def chance_limit(expected: float) -> float:
    """Returns how many submissions chance explains where some number is expected.

    The last term corrects for the skewness of the Poisson distribution, which matters
    for organisations that submit less than a job a second.
    """
    skewness = (MAX_DEVIATIONS**2 - 1) / 6
    return expected + MAX_DEVIATIONS * math.sqrt(expected) + skewness


def excess_failure(rng: random.Random) -> Failure:
    """Returns the failure of a job that is refused because it is in excess."""
    detail = "not accepted: its organisation exceeds its rate while the cell is full"
    retry_after_s = RETRY_SPREAD_S * (1.0 - rng.random())
    return Failure(ErrorKind.OVERLOADED, detail, retry_after_s=retry_after_s)
