"""The capacity of one endpoint, and what runs and waits on it."""

import dataclasses
import enum
import math

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import progress
from _jasminewind.messages import runs

# Work that may wait here, as a share of the endpoint's capacity: one task of
# an eighth or less while the owner learns of an end. More would wait here
# while other endpoints have room.
MAX_QUEUED_SHARE = 0.125


class RunState(enum.StrEnum):
    """Life of a run at its agent.

    ``UNCONFIRMED`` is a run whose start was not answered.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"


@dataclasses.dataclass
class Run:
    """A run that was ordered here and has not ended.

    ``deadline_ms`` is the latest time on the endpoint's clock at which it
    can still begin. Times are monotonic seconds, 0 for not yet. The lease
    is not renewed after ``renew_until_s`` while the stop is unanswered.
    """

    order: runs.RunOrder
    owner: members.NodeId
    due_s: float
    state: RunState = RunState.QUEUED
    deadline_ms: int = 0
    started_s: float = 0.0
    is_stopping: bool = False
    stop_outcome: runs.RunOutcome = runs.RunOutcome.STOPPED
    stop_sent_s: float = 0.0
    stop_answered_s: float = 0.0
    renew_until_s: float = math.inf
    last_progress: progress.Progress = dataclasses.field(
        default_factory=progress.Progress
    )

    @property
    def key(self) -> runs.RunKey:
        """Return the key of the run."""
        return self.order.key


class Allocation:
    """Runs of one endpoint, within its capacity.

    Everything that may run counts as used until its end is known.
    """

    def __init__(self) -> None:
        self.capacity = resources.NOTHING
        self.runs: dict[runs.RunKey, Run] = {}
        self.queue: list[Run] = []
        self.used = resources.NOTHING
        self.queued = resources.NOTHING

    def refusal(self, order: runs.RunOrder) -> str:
        """Return why an order has no place here, empty when it has."""
        if order.key in self.runs:
            return "the run is already here"
        if not order.need.fits(self.capacity):
            return "the task is larger than the endpoint"
        waiting = self.queued + order.need
        share = waiting.share_of(self.capacity)
        if share > MAX_QUEUED_SHARE and not waiting.fits(self.unused()):
            return f"{share:.2f} of the capacity would wait"
        return ""

    def unused(self) -> resources.Resources:
        """Return what does not run, whether work waits for it or not."""
        return self.capacity - self.used

    def free(self) -> resources.Resources:
        """Return what neither runs nor is waited for."""
        return self.unused() - self.queued

    def enqueue(self, run: Run) -> None:
        """Let a run wait; the least slack goes first."""
        self.runs[run.key] = run
        self.queue.append(run)
        self.queue.sort(key=lambda each: each.due_s)
        self.queued += run.order.need

    def next_to_start(self) -> Run | None:
        """Take the next run out of the queue when it fits."""
        if not self.queue:
            return None
        run = self.queue[0]
        after = self.used + run.order.need
        if not after.fits(self.capacity):
            return None
        del self.queue[0]
        self.queued -= run.order.need
        self.used = after
        run.state = RunState.STARTING
        return run

    def remove(self, run: Run) -> None:
        """Forget a run that has ended or will never start."""
        del self.runs[run.key]
        if run.state is RunState.QUEUED:
            self.queue.remove(run)
            self.queued -= run.order.need
        else:
            self.used -= run.order.need
        if not self.runs:
            # Sums of fractions leave a rest, which must not add up.
            self.used = resources.NOTHING
            self.queued = resources.NOTHING
