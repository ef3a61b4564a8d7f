"""Tests of least-squares fits and their confidence intervals."""

import random

import numpy
import pytest

from bench import fits


def test_exact_line_has_no_spread():
    """Points on a line give its slope and intercept, with no residual.

    Guards against a wrong slope or intercept.
    """
    fit = fits.linear((1, 10, 40, 110), (5.0, 23.0, 83.0, 223.0))
    assert fit.slope == pytest.approx(2.0)
    assert fit.intercept == pytest.approx(3.0)
    assert fit.half_width == pytest.approx(0.0, abs=1e-9)
    assert fit.at(50) == pytest.approx(103.0)


def test_interval_holds_the_true_slope():
    """The 95% interval holds the true slope in 92% to 98% of noisy samples.

    Guards against an interval that is far too narrow or too wide.
    """
    rng = random.Random(1)
    sizes = tuple(range(1, 13))
    hits = 0
    for _ in range(400):
        costs = [4.0 + 3.0 * size + rng.gauss(0, 2.0) for size in sizes]
        fit = fits.linear(sizes, costs)
        hits += abs(fit.slope - 3.0) <= fit.half_width
    assert 0.92 <= hits / 400 <= 0.98


def test_fit_agrees_with_numpy():
    """The fit agrees with ``numpy.polyfit``.

    Guards against an error in the sums of squares.
    """
    sizes = (10.0, 32.0, 64.0, 128.0)
    costs = (1.0, 5.0, 7.0, 20.0)
    slope, intercept = numpy.polyfit(sizes, costs, 1)
    fit = fits.linear(sizes, costs)
    assert fit.slope == pytest.approx(slope)
    assert fit.intercept == pytest.approx(intercept)


@pytest.mark.parametrize(
    ("sizes", "costs"),
    [((1, 2), (1, 2)), ((3, 3, 3), (1, 2, 3)), ((1, 2, 3), (1, 2))],
)
def test_too_few_points_are_refused(sizes, costs):
    """Inputs that determine no confidence interval raise ``FitError``.

    Two points leave no residual, so the interval would have width 0 and
    look certain.
    """
    with pytest.raises(fits.FitError):
        fits.linear(sizes, costs)
