"""Speed of an endpoint, measured by the runs on it."""

import abc
import collections
import collections.abc
import dataclasses
import math

from _jasminewind.decisions.jobs import medians

# Runs with smaller expected times do not count: the time of their start and
# end is known to some milliseconds.
MIN_EXPECTED_S = 0.005
# Entries divide by the slowness, which is sent with three decimals.
MIN_SLOWNESS = 0.001
MAX_SLOWNESS = 1_000.0
# The recent slowness is of the runs that ended within this time, and of this
# many of them at most. A busy endpoint ends about 23 runs per second, so that
# the median has a standard error of about 6%.
RECENT_S = 1.0
MAX_RECENT = 32
# With fewer runs than this in that time, earlier ones count up to this age. A
# tail of one run in thirty makes 3 of 5 runs slow once in 4,000 times.
MIN_RECENT = 5
MAX_AGE_S = 4.0
# The usual slowness is the median of this many epochs, so that a disturbance
# of 8 s, less than half of them, does not change it.
EPOCHS = 9
EPOCH_S = 2.0
MIN_EPOCH_RUNS = 20
MAX_EPOCH_RUNS = 64
# Epochs that a restored value counts as; as many measured ones and one more
# outvote it.
RESTORED_EPOCHS = 3
# Standard deviation of the logarithm of run time divided by expected time,
# until it is measured: that of estimates that are off by up to 40%.
INITIAL_SPREAD = 0.25
MIN_SPREAD = 0.05
MAX_SPREAD = 0.7


@dataclasses.dataclass(frozen=True)
class RunningTime:
    """A run in progress: its expected run time and its time so far."""

    expected_s: float
    ran_s: float


@dataclasses.dataclass(frozen=True)
class Epoch:
    """Median and spread of the logarithms of the ratios of some seconds."""

    median: float
    spread: float


class SpeedModel(abc.ABC):
    """Estimates run time divided by expected time (``slowness``).

    ``error`` is the standard error of its logarithm.
    """

    slowness = 1.0
    error = 0.0

    @abc.abstractmethod
    def record(self, expected_s: float, run_s: float, now_s: float) -> None:
        """Record a completed run."""

    @abc.abstractmethod
    def update(
        self, running: collections.abc.Iterable[RunningTime], now_s: float
    ) -> None:
        """Update the estimate, with the runs in progress."""

    @abc.abstractmethod
    def restore(self, slowness: float) -> None:
        """Restore what an earlier process has learned."""

    @abc.abstractmethod
    def learned(self) -> float | None:
        """Return what to store, ``None`` if it is of too few runs."""


class SpeedEstimate(SpeedModel):
    """Combines the usual slowness with the median of the recent runs.

    The recent runs decide if they differ from the usual slowness by more than
    chance. Medians ignore single slow runs and rough estimates. Runs in
    progress count with the time that they have run so far (Kaplan-Meier), as
    an endpoint that becomes slow ends few runs. Without recent runs the
    endpoint counts as usual, so that it is tried again after a disturbance.
    """

    def __init__(self) -> None:
        # Times and logarithms of the ratios of the last runs.
        self.recent: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_RECENT)
        )
        self.epochs: collections.deque[Epoch] = collections.deque(
            maxlen=EPOCHS
        )
        self.epoch: list[float] = []
        self.epoch_end_s = 0.0
        self.usual = 0.0
        self.spread = INITIAL_SPREAD

    def record(self, expected_s: float, run_s: float, now_s: float) -> None:
        """Record a completed run."""
        if expected_s < MIN_EXPECTED_S:
            return
        ratio = min(max(run_s / expected_s, MIN_SLOWNESS), MAX_SLOWNESS)
        logarithm = math.log(ratio)
        self.recent.append((now_s, logarithm))
        if not self.epoch:
            self.epoch_end_s = now_s + EPOCH_S
        if len(self.epoch) < MAX_EPOCH_RUNS:
            self.epoch.append(logarithm)
        if now_s >= self.epoch_end_s and len(self.epoch) >= MIN_EPOCH_RUNS:
            self.end_epoch()
        elif not self.epochs:
            # The expected time counts as one run.
            self.usual = medians.median([0.0, *self.epoch])

    def end_epoch(self) -> None:
        """Add the runs of an epoch to the usual slowness."""
        median = medians.median(self.epoch)
        self.epochs.append(Epoch(median, medians.spread(self.epoch, median)))
        self.epoch = []
        self.learn()

    def learn(self) -> None:
        """Derive the usual slowness and the spread from the epochs."""
        self.usual = medians.median([each.median for each in self.epochs])
        spread = medians.median([each.spread for each in self.epochs])
        self.spread = min(max(spread, MIN_SPREAD), MAX_SPREAD)

    def update(
        self, running: collections.abc.Iterable[RunningTime], now_s: float
    ) -> None:
        """Update the estimate, with the runs in progress."""
        ends = self.recent_ends(now_s)
        so_far = [
            math.log(run.ran_s / run.expected_s)
            for run in running
            if run.expected_s >= MIN_EXPECTED_S and run.ran_s > 0.0
        ]
        # The usual slowness stands for the runs that are missing.
        ends += [self.usual] * (MIN_RECENT - len(ends))
        recent = medians.censored_median(ends, so_far)
        error = medians.error(self.spread, len(ends))
        change = medians.shrink(recent - self.usual, error)
        self.error = error if change else self.usual_error()
        slowness = math.exp(self.usual + change)
        self.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)

    def usual_error(self) -> float:
        """Return the standard error of the usual slowness."""
        count = len(self.epochs) * MIN_EPOCH_RUNS
        return medians.error(self.spread, count or len(self.epoch) + 1)

    def recent_ends(self, now_s: float) -> list[float]:
        """Return the logarithms of the ratios of the recent runs."""
        recent = self.recent
        while recent and now_s - recent[0][0] > MAX_AGE_S:
            recent.popleft()
        while len(recent) > MIN_RECENT and now_s - recent[0][0] > RECENT_S:
            recent.popleft()
        return [logarithm for _, logarithm in recent]

    def restore(self, slowness: float) -> None:
        """Restore the usual slowness that an earlier process learned."""
        restored = Epoch(math.log(slowness), INITIAL_SPREAD)
        self.epochs.extend([restored] * RESTORED_EPOCHS)
        self.learn()
        self.slowness = slowness
        self.error = medians.error(self.spread, MIN_RECENT)

    def learned(self) -> float | None:
        """Return the usual slowness, ``None`` if it is of too few runs."""
        if not self.epochs:
            return None
        return round(math.exp(self.usual), 3)
