"""Recognises runs that stand still although their endpoint answers."""

import dataclasses

# Without any progress for this share of the expected run time, and for at
# least the minimum, a run is stalled. Slow endpoints run at about half the
# usual speed, and progress is read in whole percent every 0.4 s.
STALL_SHARE = 0.75
MIN_STALL_S = 0.9
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

    def is_stalled(self, expected_s: float, now_s: float) -> bool:
        """Tell whether the run should have moved on long ago."""
        if self.percent >= ALMOST_DONE_PERCENT:
            return False
        limit_s = max(MIN_STALL_S, STALL_SHARE * expected_s)
        return now_s - self.changed_s > limit_s
