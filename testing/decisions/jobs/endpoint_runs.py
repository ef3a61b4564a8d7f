"""Runs on one endpoint whose speed varies, and what a model makes of them."""

import dataclasses
import random

from _jasminewind.decisions.jobs import speed

TICK_S = 0.05
# Callers leave this long after the expected time of their work, and their runs
# are stopped.
PATIENCE_S = 1.55
SLOWEST = 0.55
# Work in seconds at speed 1, and share of the runs, of the tasks of a busy
# deployment.
KINDS = ((0.12, 0.55), (0.4, 0.4), (1.8, 0.05))


@dataclasses.dataclass
class SimulatedRun:
    """A run with ``left_s`` seconds of work at speed 1."""

    expected_s: float
    began_s: float
    left_s: float


class EndpointRuns:
    """Keeps ``slots`` runs busy and feeds their times to a model.

    Estimates are off by up to ``error`` either way. A share ``tail`` of the
    runs lasts ``tail_factor`` times as long.
    """

    def __init__(
        self,
        model,
        *,
        speed_at,
        slots=10,
        error=0.4,
        tail=0.0,
        tail_factor=7.0,
        per_s=0.0,
        seed=1,
    ):
        self.model = model
        self.speed_at = speed_at
        self.slots = slots
        self.error = error
        self.tail = tail
        self.tail_factor = tail_factor
        # Mean rate of starts; 0 keeps all slots busy.
        self.per_s = per_s
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.next_start_s = 0.0
        self.active = []
        # Slowness after each tick: (time, estimated).
        self.estimates = []

    def run(self, for_s):
        """Simulate in steps of 10 ms."""
        end_s = self.now_s + for_s
        next_tick_s = self.now_s
        while self.now_s < end_s:
            self.step(0.01)
            if self.now_s >= next_tick_s:
                next_tick_s += TICK_S
                running = [
                    speed.RunningTime(run.expected_s, self.now_s - run.began_s)
                    for run in self.active
                ]
                self.model.update(running, self.now_s)
                self.estimates.append((self.now_s, self.model.slowness))

    def step(self, step_s):
        """Progress the runs, end those that are complete, start others."""
        done_s = step_s * self.speed_at(self.now_s)
        self.now_s += step_s
        for run in list(self.active):
            run.left_s -= done_s
            ran_s = self.now_s - run.began_s
            if run.left_s <= 0:
                self.active.remove(run)
                self.model.record(run.expected_s, ran_s, self.now_s)
            elif ran_s > run.expected_s / SLOWEST + PATIENCE_S:
                self.active.remove(run)
        while len(self.active) < self.slots and (
            not self.per_s or self.now_s >= self.next_start_s
        ):
            self.start()
            if self.per_s:
                self.next_start_s += self.rng.expovariate(self.per_s)

    def start(self):
        """Start one run."""
        work = [work_s for work_s, _ in KINDS]
        weights = [share for _, share in KINDS]
        work_s = self.rng.choices(work, weights)[0]
        expected_s = work_s * self.rng.uniform(1 - self.error, 1 + self.error)
        if self.rng.random() < self.tail:
            work_s *= self.tail_factor
        self.active.append(SimulatedRun(expected_s, self.now_s, work_s))

    def mean_ratio(self, *, after_s):
        """Return the mean factor between estimated and true slowness."""
        ratios = self.ratios(after_s)
        return sum(ratios) / len(ratios)

    def share_off(self, factor, *, after_s):
        """Return the share of time in which it is off by a factor."""
        ratios = self.ratios(after_s)
        return sum(1 for ratio in ratios if ratio > factor) / len(ratios)

    def first_s(self, condition, after_s):
        """Return how long after a time the estimate meets a condition."""
        for at_s, slowness in self.estimates:
            if at_s >= after_s and condition(slowness):
                return at_s - after_s
        return float("inf")

    def ratios(self, after_s):
        """Return the factors between estimated and true slowness."""
        found = []
        for at_s, slowness in self.estimates:
            if at_s >= after_s:
                ratio = slowness * self.speed_at(at_s)
                found.append(max(ratio, 1 / ratio))
        return found
