"""Stall detection: runs without progress on an endpoint that replies."""

import dataclasses

# A run is stalled if it makes less than one percent of progress within this
# share of its estimated run time, or within the minimum if that is longer.
# Endpoints at an eighth of the usual speed are still five times as fast as
# that. The minimum covers two reports of the progress, one of which is lost.
STALL_SHARE = 0.4
MIN_STALL_S = 0.4
# From here on a run may just be ending, so it never counts as stalled.
ALMOST_DONE_PERCENT = 99


@dataclasses.dataclass
class Progress:
    """The last reported progress of a run."""

    percent: int = 0
    changed_s: float = 0.0

    def begin(self, now_s: float) -> None:
        """Record the start of the run."""
        self.changed_s = now_s

    def record(self, percent: int, now_s: float) -> None:
        """Record the progress that the endpoint reports."""
        if percent != self.percent:
            self.percent = percent
            self.changed_s = now_s

    def is_stalled(self, estimate_s: float, now_s: float) -> bool:
        """Tell whether the run has made no progress for too long."""
        if self.percent >= ALMOST_DONE_PERCENT:
            return False
        limit_s = max(MIN_STALL_S, STALL_SHARE * estimate_s)
        return now_s - self.changed_s > limit_s
