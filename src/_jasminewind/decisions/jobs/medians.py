"""Robust statistics of small samples of logarithms."""

import collections.abc
import math

# Standard deviation of normally distributed values divided by their median
# absolute deviation.
DEVIATION_FACTOR = 1.4826
# Standard error of a median of normally distributed values, divided by that
# of their mean.
MEDIAN_ERROR_FACTOR = 1.2533
# Differences of less than this many standard errors are chance.
SIGNIFICANT_ERRORS = 2.5


def median(values: collections.abc.Sequence[float]) -> float:
    """Return the median of at least one value."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2.0


def spread(values: collections.abc.Sequence[float], middle: float) -> float:
    """Return the standard deviation around a median, ignoring outliers."""
    return DEVIATION_FACTOR * median([abs(each - middle) for each in values])


def error(deviation: float, count: int) -> float:
    """Return the standard error of the median of ``count`` values."""
    return MEDIAN_ERROR_FACTOR * deviation / math.sqrt(max(count, 1))


def shrink(difference: float, standard_error: float) -> float:
    """Return a difference, 0 if it may be chance (non-negative garrote).

    It is continuous, and leaves large differences nearly as they are.
    """
    limit = SIGNIFICANT_ERRORS * standard_error
    if abs(difference) <= limit:
        return 0.0
    return difference * (1.0 - (limit / difference) ** 2)


def censored_median(
    values: collections.abc.Iterable[float],
    lower_bounds: collections.abc.Iterable[float],
) -> float:
    """Return the median of values of which some are only known from below.

    This is the median of the Kaplan-Meier estimator. If more than half of the
    distribution is above the highest value, it is the median of the bounds
    there. There is at least one value or bound.
    """
    merged = [(value, True) for value in values]
    merged += [(bound, False) for bound in lower_bounds]
    merged.sort()
    share = 1.0
    lower: float | None = None
    last = -1
    for passed, (each, is_exact) in enumerate(merged):
        if not is_exact:
            continue
        if lower is not None:
            return (lower + each) / 2.0
        last = passed
        at_risk = len(merged) - passed
        share *= 1.0 - 1.0 / at_risk
        if share < 0.5 - 1e-9:
            return each
        if share < 0.5 + 1e-9:
            # The median lies between this value and the next one.
            lower = each
    if lower is not None:
        return lower
    return median([each for each, _ in merged[last + 1 :]])
