"""Compares what each organisation uses of a service with its weighted share.

The load that this answers: organisations that compete for the workers of a full
service. It is weighted dominant resource fairness: an organisation is measured by the
resource of which it uses the largest part.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lacewinghold.scheduler.ports import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lacewinghold.organisations.caps import UsageAccount
    from lacewinghold.scheduler.model import Step
    from lacewinghold.scheduler.nodes import WorkerNode
    from lacewinghold.scheduler.ports import Manifest

# A service and the name of an organisation.
Competitor = tuple[str, str]


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Returns the largest share, over all resources, that is used of a capacity."""
    share = 0.0
    for taken, amount in (
        (used.cpu_millis, capacity.cpu_millis),
        (used.memory_mb, capacity.memory_mb),
        (used.accelerators, capacity.accelerators),
    ):
        if amount > 0:
            share = max(share, taken / amount)
    return share


class WeightedShares:
    """Which organisations use no more of a service than their weighted share.

    The share of an organisation is its weight relative to the weights of all
    organisations that compete for the service.

    :param weights: Weights of the organisations by name.
    :param used: What each competitor has running.
    :param capacities: Capacity of the usable workers, by service.
    :param waiting: The competitors that have waiting work.
    """

    def __init__(
        self,
        weights: Mapping[str, float],
        used: Mapping[Competitor, Resources],
        capacities: Mapping[str, Resources],
        waiting: Iterable[Competitor],
    ) -> None:
        self.total_weights: dict[str, float] = {}
        self.within: set[Competitor] = set()
        competitors = {
            (service, name)
            for service, name in {*used, *waiting}
            if weights.get(name, 0.0) > 0
        }
        for service, name in competitors:
            total = self.total_weights.get(service, 0.0)
            self.total_weights[service] = total + weights[name]
        for service, name in competitors:
            capacity = capacities.get(service, Resources())
            taken = used.get((service, name), Resources())
            entitled = weights[name] / self.total_weights[service]
            if dominant_share(taken, capacity) <= entitled:
                self.within.add((service, name))

    def is_above(self, service: str, organisation: str) -> bool:
        """Returns whether an organisation uses more of a service than its share.

        Work without a weight has no share, so that it is above wherever organisations
        with a weight compete.
        """
        if service not in self.total_weights:
            return False
        return (service, organisation) not in self.within


def weigh_shares(
    manifest: Manifest | None,
    usage: UsageAccount,
    usable: Iterable[WorkerNode],
    steps: Iterable[Step],
) -> WeightedShares | None:
    """Returns the shares for one plan, ``None`` if the manifest has no organisations.

    :param usable: The workers that may be used.
    :param steps: The steps that wait.
    """
    if manifest is None or not manifest.organisations:
        return None
    weights: dict[str, float] = {}
    for organisation in manifest.organisations.values():
        weights[organisation.name] = organisation.weight
    capacities: dict[str, Resources] = {}
    for node in usable:
        service = node.entry.service
        total = capacities.get(service, Resources())
        capacities[service] = total.plus(node.entry.capacity)
    waiting = {(step.job.queue.service, step.job.record.organisation) for step in steps}
    return WeightedShares(weights, usage.used_by_service, capacities, waiting)
