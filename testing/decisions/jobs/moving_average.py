"""Moving average of run time divided by expected time; a baseline."""

from _jasminewind.decisions.jobs import speed

MIN_SAMPLE_WEIGHT = 0.1
MIN_SAMPLES = 10
MAX_SAMPLE_RATIO = 4.0


class MovingAverage(speed.SpeedModel):
    """Weighs each run the same, limited to a factor of the average."""

    def __init__(self):
        self.samples = 0

    def record(self, expected_s, run_s, now_s):
        """Record a completed run."""
        if expected_s < speed.MIN_EXPECTED_S:
            return
        low = self.slowness / MAX_SAMPLE_RATIO
        high = self.slowness * MAX_SAMPLE_RATIO
        sample = min(max(run_s / expected_s, low), high)
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self.samples + 1))
        slowness = self.slowness + weight * (sample - self.slowness)
        self.slowness = min(
            max(slowness, speed.MIN_SLOWNESS), speed.MAX_SLOWNESS
        )

    def update(self, running, now_s):
        """Do nothing: runs in progress do not count."""

    def restore(self, slowness):
        """Restore the average."""
        self.slowness = slowness
        self.samples = MIN_SAMPLES

    def learned(self):
        """Return the average, or ``None`` if it is of too few runs."""
        if self.samples < MIN_SAMPLES:
            return None
        return round(self.slowness, 3)
