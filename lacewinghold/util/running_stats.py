"""Moving means, variances and regressions, with exponentially decaying weights."""

from __future__ import annotations

from msgspec import Struct, field


class RunningMoments(Struct):
    """Moving mean and variance of a value.

    :param samples: Number of values, of which the older ones count less.
    """

    samples: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float, min_rate: float) -> None:
        """Adds one value.

        :param min_rate: Least share of the new value in the mean.
        """
        self.update(value, max(min_rate, 1 / (self.samples + 1)))

    def update(self, value: float, rate: float) -> None:
        """Adds one value with a given share in the mean."""
        self.samples += 1
        deviation = value - self.mean
        self.mean += rate * deviation
        self.variance = (1 - rate) * (self.variance + rate * deviation**2)


class WeightedMoments(Struct):
    """Moving mean and variance of values of different weight.

    :param weight: Sum of the weights, at most the limit that ``add`` is given.
    """

    moments: RunningMoments = field(default_factory=RunningMoments)
    weight: float = 0.0

    def add(self, value: float, weight: float, max_weight: float) -> float:
        """Adds one value.

        :param max_weight: Limit of the sum of the weights, which sets the decay.
        :returns: The share of the value in the mean.
        """
        self.weight = min(max_weight, self.weight + weight)
        rate = min(1.0, weight / self.weight)
        self.moments.update(value, rate)
        return rate

    def shrunk_mean(self, prior_weight: float) -> float:
        """Returns the mean, drawn to a prior of 0 that has a given weight."""
        return self.moments.mean * self.weight / (self.weight + prior_weight)


class RunningRegression(Struct):
    """Moving linear regression of a value ``y`` on a value ``x``, with a prior of 0.

    :param covariance: Of ``x`` and ``y``.
    """

    x: WeightedMoments = field(default_factory=WeightedMoments)
    y: WeightedMoments = field(default_factory=WeightedMoments)
    covariance: float = 0.0

    def add(self, x: float, y: float, weight: float, max_weight: float) -> None:
        """Adds one pair of values."""
        deviation = (x - self.x.moments.mean) * (y - self.y.moments.mean)
        rate = self.x.add(x, weight, max_weight)
        self.y.add(y, weight, max_weight)
        self.covariance = (1 - rate) * (self.covariance + rate * deviation)

    def predict(self, x: float, prior_weight: float, prior_variance: float) -> float:
        """Returns the expected ``y`` of an ``x``.

        :param prior_weight: Weight of samples with which ``y`` is expected to be 0.
        :param prior_variance: Variance of ``x`` in these samples.
        """
        weight = self.x.weight
        if not weight:
            return 0.0
        variance = weight * self.x.moments.variance + prior_weight * prior_variance
        slope = weight * self.covariance / variance
        mean = self.y.shrunk_mean(prior_weight)
        return mean + slope * (x - self.x.moments.mean)
