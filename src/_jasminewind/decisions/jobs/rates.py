"""Rates over the recent past, in constant memory."""

import math

from _jasminewind.decisions.jobs import queued_work

# Time constant of the averages. Bursts of the requirements last 4 s, and an
# entry of the smallest share receives two of the longest jobs per second.
TIME_CONSTANT_S = 1.5
# Shortest time over which a rate is computed.
MIN_AGE_S = 0.25


class RecentSum:
    """Sum of amounts, each of which decays exponentially with its age.

    It starts at zero, so that a rate of few observations is too low rather
    than too high.
    """

    def __init__(self, time_constant_s: float = TIME_CONSTANT_S) -> None:
        self.time_constant_s = time_constant_s
        self.amount = 0.0
        self.at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount now."""
        self.amount = self.total(now_s) + amount
        self.at_s = now_s

    def total(self, now_s: float) -> float:
        """Return the decayed sum."""
        age_s = max(now_s - self.at_s, 0.0)
        return self.amount * math.exp(-age_s / self.time_constant_s)

    def per_s(self, now_s: float) -> float:
        """Return the recent rate."""
        return self.total(now_s) / self.time_constant_s

    def per_s_since(self, start_s: float, now_s: float) -> float:
        """Return the recent rate of what began at a time.

        Dividing by the time constant alone gives too low a rate at first.
        """
        age_s = max(now_s - start_s, MIN_AGE_S)
        observed_s = -math.expm1(-age_s / self.time_constant_s)
        return self.per_s(now_s) / observed_s


class StartRate:
    """The capacity that one entry gets, relative to its reported share.

    Entries with a longer backlog place more often at the agents that they
    share, so that an entry gets more or less than an equal share. Only times
    in which tasks were waiting show how much an entry can get.
    """

    # Weight of the reported share, as an observation of this duration.
    PRIOR_S = 0.5
    # Freed cores are counted once tasks have been waiting for this long.
    MIN_WAITING_S = 0.1
    # Smallest capacity, as a share of the reported share. An entry
    # that has few starts because large tasks wait for one endpoint to become
    # free still gets more than that.
    MIN_GAIN = 0.5

    def __init__(self) -> None:
        self.share_cores = 0.0
        # Core-seconds and cores, both divided by the share at that time, so
        # that a change of the share takes effect at once.
        self.started = RecentSum()
        self.started_while_waiting = RecentSum()
        self.cores_started = RecentSum()
        self.cores_started_while_waiting = RecentSum()
        self.time_waiting = RecentSum()
        self.last_s = 0.0
        self.waiting_since_s: float | None = None

    def observe_queue(
        self, *, is_waiting: bool, share_cores: float, now_s: float
    ) -> None:
        """Record whether tasks are waiting after a pass of placement."""
        if self.waiting_since_s is not None:
            self.time_waiting.add(max(now_s - self.last_s, 0.0), now_s)
            if not is_waiting:
                self.waiting_since_s = None
        elif is_waiting:
            self.waiting_since_s = now_s
        self.share_cores = share_cores
        self.last_s = now_s

    def observe_start(
        self, work: queued_work.Work, number: int, now_s: float
    ) -> None:
        """Record ordered runs; ``number`` is -1 for one that was refused."""
        if not self.share_cores:
            return
        core_s = work.core_s * number / self.share_cores
        cores = work.cores * number / self.share_cores
        self.started.add(core_s, now_s)
        self.cores_started.add(cores, now_s)
        if self.waiting_since_s is not None:
            self.started_while_waiting.add(core_s, now_s)
            self.cores_started_while_waiting.add(cores, now_s)

    def waiting_for_s(self, now_s: float) -> float:
        """Return for how long tasks have been waiting without a break."""
        if self.waiting_since_s is None:
            return 0.0
        return now_s - self.waiting_since_s

    def capacity_cores(self, share_cores: float, now_s: float) -> float:
        """Return the capacity that this entry can expect to get."""
        prior = max(self.started.per_s(now_s), 1.0) * self.PRIOR_S
        found = max(self.started_while_waiting.total(now_s), 0.0)
        passed_s = self.time_waiting.total(now_s)
        gain = (found + prior) / (passed_s + self.PRIOR_S)
        return share_cores * max(gain, self.MIN_GAIN)

    def freed_cores_per_s(self, share_cores: float, now_s: float) -> float:
        """Return how many cores become free for this entry per second.

        It is infinite while too little has been observed.
        """
        passed_s = self.time_waiting.total(now_s)
        if passed_s < self.MIN_WAITING_S:
            return math.inf
        prior = max(self.cores_started.per_s(now_s), 0.0) * self.PRIOR_S
        found = max(self.cores_started_while_waiting.total(now_s), 0.0)
        return share_cores * (found + prior) / (passed_s + self.PRIOR_S)
