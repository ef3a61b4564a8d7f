"""Run times of kinds of work, compared with their estimates."""

import collections
import dataclasses
import math

from _jasminewind.decisions.jobs import medians
from _jasminewind.decisions.jobs import speed

# Runs of a kind from which its slowdown is learned, and after how many more
# it is learned again.
MAX_RUNS = 41
MIN_RUNS = 20
LEARN_RUNS = 10
# Limit of the slowdown of a kind in either direction.
MAX_SLOWDOWN = 3.0
# Weight that the number of runs of a kind keeps when it is learned again.
COUNT_DECAY = 0.9
# Kinds beyond this many are forgotten, the least recent first. There are as
# many as queues.
MAX_KINDS = 200


@dataclasses.dataclass
class Kind:
    """A kind of work: logarithms of run time divided by expected time.

    The expected time is without the slowdown of the kind.
    """

    ratios: collections.deque[float]
    unlearned: int = 0
    count: float = 0.0
    median: float = 0.0
    slowdown: float = 1.0


class WorkKinds:
    """Tells kinds of work with wrong estimates from slow endpoints.

    A kind whose estimates are too low has long run times everywhere. The
    slowdowns are relative to the mean of all kinds: what is common to them is
    attributed to the endpoints, as are all run times of the only kind.
    """

    def __init__(self) -> None:
        self.kinds: collections.OrderedDict[str, Kind] = (
            collections.OrderedDict()
        )

    def slowdown(self, name: str) -> float:
        """Return the expected run time of a kind divided by its estimate."""
        kind = self.kinds.get(name)
        return 1.0 if kind is None else kind.slowdown

    def record(self, name: str, expected_s: float, run_s: float) -> None:
        """Record a completed run.

        ``expected_s`` is its expected time on its endpoint, without the
        slowdown of the kind.
        """
        if expected_s < speed.MIN_EXPECTED_S or run_s <= 0.0:
            return
        kind = self.kinds.get(name)
        if kind is None:
            kind = Kind(collections.deque(maxlen=MAX_RUNS))
            self.kinds[name] = kind
            if len(self.kinds) > MAX_KINDS:
                self.kinds.popitem(last=False)
        self.kinds.move_to_end(name)
        kind.ratios.append(math.log(run_s / expected_s))
        kind.unlearned += 1
        kind.count += 1.0
        if kind.unlearned >= LEARN_RUNS and len(kind.ratios) >= MIN_RUNS:
            self.learn(kind)

    def learn(self, kind: Kind) -> None:
        """Learn the median of a kind, and the slowdowns of all kinds."""
        kind.unlearned = 0
        kind.median = medians.median(kind.ratios)
        known = [
            each
            for each in self.kinds.values()
            if len(each.ratios) >= MIN_RUNS
        ]
        total = sum(each.count for each in known)
        mean = sum(each.count * each.median for each in known) / total
        for each in known:
            each.count *= COUNT_DECAY
            error = medians.error(speed.INITIAL_SPREAD, len(each.ratios))
            slowdown = math.exp(medians.shrink(each.median - mean, error))
            each.slowdown = min(
                max(slowdown, 1.0 / MAX_SLOWDOWN), MAX_SLOWDOWN
            )
