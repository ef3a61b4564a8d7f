"""Speed of an endpoint, measured by the runs that it completes."""

# Minimum weight of a run in the average of run time divided by estimate. The
# first runs weigh more; the initial value counts as one run.
MIN_SAMPLE_WEIGHT = 0.1
# Runs after which the average is stored for the next process.
MIN_SAMPLES = 10
# Samples are clamped to within this factor of the average, as estimates are
# rough.
MAX_SAMPLE_RATIO = 4.0
# Runs with smaller estimates do not count in the average.
MIN_ESTIMATE_S = 0.005
# Entries divide by the average, which is sent with three decimals.
MIN_SLOWNESS = 0.001
MAX_SLOWNESS = 1_000.0


class SpeedEstimate:
    """Moving average of run time divided by estimate (``slowness``)."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.samples = 0

    def record(self, estimate_s: float, run_s: float) -> None:
        """Record a completed run."""
        if estimate_s < MIN_ESTIMATE_S:
            return
        low = self.slowness / MAX_SAMPLE_RATIO
        high = self.slowness * MAX_SAMPLE_RATIO
        sample = min(max(run_s / estimate_s, low), high)
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self.samples + 1))
        slowness = self.slowness + weight * (sample - self.slowness)
        self.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)

    def restore(self, slowness: float) -> None:
        """Restore the average that an earlier process measured."""
        self.slowness = slowness
        self.samples = MIN_SAMPLES

    def learned(self) -> float | None:
        """Return the average, or ``None`` if it is of too few runs."""
        if self.samples < MIN_SAMPLES:
            return None
        return round(self.slowness, 3)
