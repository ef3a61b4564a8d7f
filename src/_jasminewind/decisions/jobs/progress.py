"""Recognises runs that stand still although their endpoint answers."""

import dataclasses

# A run that does not move on by one percent of its work within this share
# of its estimated run time, and within the minimum, stands still. Endpoints
# at an eighth of the usual speed still move on five times as fast. The
# minimum covers two readings of the progress, one of them lost.
STALL_SHARE = 0.4
MIN_STALL_S = 0.4
# A run whose last percent is not in sight may just be ending.
ALMOST_DONE_PERCENT = 99


@dataclasses.dataclass
class Progress:
    """The share of a run's work that was last seen done."""

    percent: int = 0
    changed_s: float = 0.0

    def begin(self, now_s: float) -> None:
        """Note the start of the run."""
        self.changed_s = now_s

    def note(self, percent: int, now_s: float) -> None:
        """Note what the endpoint reports."""
        if percent != self.percent:
            self.percent = percent
            self.changed_s = now_s

    def is_stalled(self, estimate_s: float, now_s: float) -> bool:
        """Tell whether the run should have moved on long ago."""
        if self.percent >= ALMOST_DONE_PERCENT:
            return False
        limit_s = max(MIN_STALL_S, STALL_SHARE * estimate_s)
        return now_s - self.changed_s > limit_s
