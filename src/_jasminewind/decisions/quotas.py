"""Team quotas at one entry: an even share of the whole quota."""

import dataclasses

from _jasminewind import configuration
from _jasminewind.decisions import core

BURST_S = 1.0


@dataclasses.dataclass(kw_only=True)
class TeamUsage:
    """What one team uses at this entry. ``tokens`` may go below 0."""

    in_flight: int = 0
    tokens: float = 0.0
    last_refill_s: float | None = None


class EntryQuotas:
    """Admits work by tasks in flight and by a token bucket of starts.

    Quotas are split evenly over the registered entries, because a balancer
    spreads the callers over them.
    """

    def __init__(self) -> None:
        self.entry_count = 1
        self.usage: dict[str, TeamUsage] = {}

    def admit(
        self, team: configuration.Team, tasks: int, now: core.Instant
    ) -> str:
        """Take ``tasks`` from the quota, or return why it is exceeded."""
        usage = self.usage.setdefault(team.name, TeamUsage())
        limit = max(1.0, team.max_in_flight / self.entry_count)
        # A job above the entry's share, but not above the quota, is
        # admitted when nothing else runs; no entry could take it otherwise.
        is_sole_work = usage.in_flight == 0 and tasks <= team.max_in_flight
        if usage.in_flight + tasks > limit and not is_sole_work:
            return (
                f"team {team.name!r} has {usage.in_flight} tasks in flight "
                f"at this entry, which may hold {limit:g}; retry later"
            )
        rate = team.starts_per_s / self.entry_count
        self._refill(usage, rate, now)
        # The bucket may go below 0 once, so that a job larger than one
        # second's burst can still start; the debt delays the next one.
        if usage.tokens < min(float(tasks), max(1.0, rate * BURST_S)):
            return (
                f"team {team.name!r} exceeds {rate:g} starts per second "
                "at this entry; retry later"
            )
        usage.tokens -= tasks
        usage.in_flight += tasks
        return ""

    def release(self, team: str, tasks: int) -> None:
        """Give back tasks that are no longer in flight."""
        usage = self.usage.get(team)
        if usage is not None:
            usage.in_flight = max(0, usage.in_flight - tasks)

    def _refill(
        self, usage: TeamUsage, rate: float, now: core.Instant
    ) -> None:
        burst = max(1.0, rate * BURST_S)
        if usage.last_refill_s is None:
            usage.tokens = burst
        else:
            gained = (now.mono_s - usage.last_refill_s) * rate
            usage.tokens = min(burst, usage.tokens + gained)
        usage.last_refill_s = now.mono_s
