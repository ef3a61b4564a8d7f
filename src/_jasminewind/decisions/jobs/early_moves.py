"""Runs that are stopped because their endpoint leaves before they end."""

import dataclasses

# Real run times are down to 1 / 1.4 of an estimate that is 40% too high.
MIN_ESTIMATE_RATIO = 0.7
# Below this progress, its rounding and the delay of its report make the run
# time that it implies less exact than the estimate.
MIN_PERCENT = 10
# Time from the stop of a run to the start of the next one: the end is listed,
# reported and the task placed, with messages on two links.
RESTART_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainNotice:
    """The earliest time at which a draining endpoint leaves.

    ``clock_ms`` is the endpoint's time at its announcement, ``leaves_s`` is
    by the clock of the agent.
    """

    clock_ms: int
    leaves_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActiveRun:
    """A run on a draining endpoint.

    ``percent`` is its last reported progress, and ``percent_ran_s`` how long
    it had run when that was first reported. ``expected_s`` is its expected
    time on an endpoint of usual speed, and ``slowness`` that of this endpoint.
    """

    expected_s: float
    slowness: float
    ran_s: float
    percent: int = 0
    percent_ran_s: float = 0.0

    def min_total_s(self) -> float:
        """Return the run time that it has at least, from start to end."""
        if self.percent >= MIN_PERCENT:
            # Endpoints list whole percentages, rounded down.
            return self.percent_ran_s / (self.percent + 1) * 100
        return MIN_ESTIMATE_RATIO * self.expected_s * self.slowness

    def min_remaining_s(self) -> float:
        """Return the remaining run time that it has at least."""
        return max(self.min_total_s() - self.ran_s, 0.0)


def read_notice(
    remaining_s: float,
    *,
    clock_ms: int,
    estimated_clock_ms: int,
    now_s: float,
) -> DrainNotice:
    """Return the notice in an announcement that has just arrived.

    ``estimated_clock_ms`` is the present time of the endpoint, 0 if unknown.
    The time for which the announcement was under way is subtracted.
    """
    age_s = 0.0
    if estimated_clock_ms:
        age_s = max(estimated_clock_ms - clock_ms, 0) / 1000
    return DrainNotice(clock_ms=clock_ms, leaves_s=now_s + remaining_s - age_s)


def newest(known: DrainNotice | None, received: DrainNotice) -> DrainNotice:
    """Return the notice that the endpoint sent last."""
    if known is not None and known.clock_ms > received.clock_ms:
        return known
    return received


def reason_to_move(run: ActiveRun, notice: DrainNotice, now_s: float) -> str:
    """Return why a run is stopped now, empty if it goes on.

    The announced time is a minimum, and nothing tells how long the endpoint
    stays beyond it. If it leaves then, a run that goes on has lost that time.
    If it stays until the run ends, a run that was stopped has lost what it had
    done. A run is stopped only if the second loss is the smaller one.
    """
    left_s = notice.leaves_s - now_s
    remaining_s = run.min_remaining_s()
    if remaining_s <= left_s or run.ran_s + RESTART_S > left_s:
        return ""
    return (
        f"{remaining_s:.2f} s or more are left after {run.ran_s:.2f} s; the "
        f"endpoint may leave in {left_s:.2f} s"
    )
