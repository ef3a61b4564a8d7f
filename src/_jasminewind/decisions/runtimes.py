"""Estimates of the run time per method and of the speed per endpoint."""

import typing

from hdrh import histogram

MAX_RUN_MS = 4 * 3600 * 1000
SIGNIFICANT_FIGURES = 2
# A new window starts after this many samples or seconds, so that estimates
# follow a change within two windows.
WINDOW_SAMPLES = 500
WINDOW_S = 60.0
# Estimates are recomputed when this share of the samples is new.
REFRESH_SHARE = 0.125
# Weight of the declared run time, in samples.
PRIOR_SAMPLES = 3.0
# Run time assumed when none was learned or declared.
DEFAULT_RUN_S = 0.3
# Quantiles of fewer samples are not used.
MIN_SAMPLES = 20
MAX_METHODS = 1_000
# Weight of one sample in the moving average of an endpoint's slowness.
SLOWNESS_SAMPLE_WEIGHT = 0.1
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 20.0


class MethodTimes:
    """Run times of one method, in a current and a previous window."""

    def __init__(self) -> None:
        self.current = self.new_window()
        self.previous: histogram.HdrHistogram | None = None
        self.window_start_s: float | None = None
        self.window_samples = 0
        # Sums of the run times in the two windows, in milliseconds.
        self.current_sum_ms = 0
        self.previous_sum_ms = 0
        self.samples = 0
        self.since_refresh = 0
        self.median_s = 0.0
        self.mean_s = 0.0
        self.p99_s = 0.0

    @staticmethod
    def new_window() -> typing.Any:
        """Return an empty histogram of milliseconds."""
        return histogram.HdrHistogram(1, MAX_RUN_MS, SIGNIFICANT_FIGURES)

    def add(self, run_s: float, now_s: float) -> None:
        """Add one sample."""
        self.rotate(now_s)
        value_ms = min(max(int(run_s * 1000.0), 1), MAX_RUN_MS)
        self.current.record_value(value_ms)
        self.current_sum_ms += value_ms
        self.samples += 1
        self.window_samples += 1
        self.since_refresh += 1
        if self.since_refresh >= self.samples * REFRESH_SHARE:
            self.refresh()

    def rotate(self, now_s: float) -> None:
        """Start a new window when the current one is full or old."""
        if self.window_start_s is None:
            self.window_start_s = now_s
        age_s = now_s - self.window_start_s
        if self.window_samples < WINDOW_SAMPLES and age_s < WINDOW_S:
            return
        is_recent = age_s < 2 * WINDOW_S
        self.previous = self.current if is_recent else None
        self.previous_sum_ms = self.current_sum_ms if is_recent else 0
        self.current_sum_ms = 0
        self.current = self.new_window()
        self.window_start_s = now_s
        self.window_samples = 0
        self.refresh()

    def refresh(self) -> None:
        """Recompute the estimates from both windows."""
        self.since_refresh = 0
        merged = self.new_window()
        merged.add(self.current)
        if self.previous is not None:
            merged.add(self.previous)
        self.samples = merged.get_total_count()
        if self.samples == 0:
            self.median_s = 0.0
            self.mean_s = 0.0
            self.p99_s = 0.0
            return
        values = merged.get_percentile_to_value_dict([50.0, 99.0])
        self.median_s = values[50.0] / 1000.0
        total_ms = self.current_sum_ms + self.previous_sum_ms
        self.mean_s = total_ms / self.samples / 1000.0
        self.p99_s = values[99.0] / 1000.0


class RunTimes:
    """Run times per (service, method)."""

    def __init__(self) -> None:
        self.methods: dict[tuple[str, str], MethodTimes] = {}

    def method(self, service: str, method: str) -> MethodTimes:
        """Return the run times of a method, which are created on first use."""
        key = (service, method)
        times = self.methods.get(key)
        if times is None:
            if len(self.methods) >= MAX_METHODS:
                del self.methods[next(iter(self.methods))]
            times = MethodTimes()
            self.methods[key] = times
        return times

    def expected_s(self, times: MethodTimes, declared_s: float) -> float:
        """Return the expected run time, with the declared one as a prior."""
        prior_s = declared_s if declared_s > 0 else DEFAULT_RUN_S
        if times.samples == 0:
            return prior_s
        weight = PRIOR_SAMPLES if declared_s > 0 else 0.0
        total = times.median_s * times.samples + prior_s * weight
        return total / (times.samples + weight)


def cost_s(times: MethodTimes, expected_s: float) -> float:
    """Return the learned mean run time, ``expected_s`` until it is known.

    The mean, not the median: a few tasks that run many times longer than
    the rest make up much of the queued work.
    """
    if times.samples < MIN_SAMPLES:
        return expected_s
    return times.mean_s


def learned_median_s(times: MethodTimes) -> float:
    """Return the learned median, or 0 below ``MIN_SAMPLES``.

    Declared times are ignored: work that is refused because of a wrong
    declaration would never be measured.
    """
    return times.median_s if times.samples >= MIN_SAMPLES else 0.0


def update_slowness(slowness: float, run_s: float, expected_s: float) -> float:
    """Return an endpoint's slowness after one more successful task.

    Slowness is the run time divided by the typical run time of the same
    method on all endpoints: 1 is typical, 2 is half as fast.
    """
    if expected_s <= 0.0:
        return slowness
    sample = min(max(run_s / expected_s, MIN_SLOWNESS), MAX_SLOWNESS)
    return slowness + SLOWNESS_SAMPLE_WEIGHT * (sample - slowness)
