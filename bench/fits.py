"""Least-squares fits of measured costs, with confidence intervals."""

import collections.abc
import dataclasses

import numpy

# Two-sided 95% points of Student's t distribution, by degrees of freedom
# from 1. Above 20 the normal distribution is close enough.
T_95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
)
T_95_LARGE = 1.96
MIN_POINTS = 3


class FitError(Exception):
    """The points do not determine a line and its confidence interval."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """``cost = intercept + slope * size``.

    ``half_width`` is half of the 95% confidence interval of the slope, and
    ``residual`` is the root mean square distance of the points.
    """

    slope: float
    intercept: float
    half_width: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost at ``size``."""
        return self.intercept + self.slope * size


def linear(
    sizes: collections.abc.Sequence[float],
    costs: collections.abc.Sequence[float],
) -> Fit:
    """Return the least-squares line through the points."""
    if len(sizes) != len(costs):
        raise FitError(
            f"need one cost per size: {len(sizes)} sizes, {len(costs)} costs"
        )
    if len(sizes) < MIN_POINTS or len(set(sizes)) < 2:
        raise FitError(f"a fit needs {MIN_POINTS} points at two sizes or more")
    x = numpy.asarray(sizes, dtype=float)
    y = numpy.asarray(costs, dtype=float)
    squared_deviations = float(numpy.sum((x - x.mean()) ** 2))
    slope = (
        float(numpy.sum((x - x.mean()) * (y - y.mean()))) / squared_deviations
    )
    intercept = float(y.mean()) - slope * float(x.mean())
    squared_residuals = float(numpy.sum((y - intercept - slope * x) ** 2))
    degrees_of_freedom = len(sizes) - 2
    error = (
        squared_residuals / degrees_of_freedom / squared_deviations
    ) ** 0.5
    return Fit(
        slope=slope,
        intercept=intercept,
        half_width=error * t_95(degrees_of_freedom),
        residual=(squared_residuals / len(sizes)) ** 0.5,
    )


def t_95(degrees_of_freedom: int) -> float:
    """Return the two-sided 95% point of Student's t distribution."""
    return (
        T_95[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(T_95)
        else T_95_LARGE
    )
