"""Capacity of one endpoint, and the runs that are using it or queued."""

import dataclasses
import enum
import math

from _jasminewind import members
from _jasminewind import resources
from _jasminewind.decisions.jobs import progress
from _jasminewind.messages import runs

# Limit of queued work, as a share of the capacity of the endpoint. One queued
# task of an eighth or less can start while the owner still learns of an end.
# More would be queued here while other endpoints have free capacity.
MAX_QUEUED_SHARE = 0.125


class RunState(enum.StrEnum):
    """State of a run at its agent.

    ``UNCONFIRMED`` means that the call to start the run got no reply.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"


@dataclasses.dataclass
class Run:
    """A run that was accepted here and has not ended.

    ``deadline_ms`` is the latest time on the clock of the endpoint at which
    it can still start. ``fencing_token`` is that of the start, and
    ``stop_token`` that of the last stop. Times are monotonic seconds, 0 for
    not yet. The lease is not renewed after ``renew_until_s`` while the stop is
    unanswered; ``has_held_lease`` is set once that was the case.
    ``is_moved``: stopped because the endpoint leaves before its end.
    """

    order: runs.RunOrder
    owner: members.NodeId
    due_s: float
    state: RunState = RunState.QUEUED
    deadline_ms: int = 0
    fencing_token: int = 0
    started_s: float = 0.0
    is_stopping: bool = False
    stop_outcome: runs.RunOutcome = runs.RunOutcome.STOPPED
    stop_token: int = 0
    stop_sent_s: float = 0.0
    stop_answered_s: float = 0.0
    renew_until_s: float = math.inf
    is_moved: bool = False
    has_held_lease: bool = False
    last_progress: progress.Progress = dataclasses.field(
        default_factory=progress.Progress
    )

    @property
    def key(self) -> runs.RunKey:
        """Return the key of the run."""
        return self.order.key


class Allocation:
    """Admits and starts runs within the capacity of one endpoint.

    A run that may be running counts as used until its end is known.
    """

    def __init__(self) -> None:
        self.capacity = resources.NOTHING
        self.runs: dict[runs.RunKey, Run] = {}
        self.queue: list[Run] = []
        self.used = resources.NOTHING
        self.queued = resources.NOTHING

    def refusal(self, order: runs.RunOrder) -> str:
        """Return why an order is refused, empty if it is accepted."""
        if order.key in self.runs:
            return "the run is already known"
        if not order.need.fits(self.capacity):
            return "the task needs more than the capacity of the endpoint"
        waiting = self.queued + order.need
        share = waiting.share_of(self.capacity)
        if share > MAX_QUEUED_SHARE and not waiting.fits(self.unused()):
            return f"{share:.2f} of the capacity would be queued"
        return ""

    def unused(self) -> resources.Resources:
        """Return the capacity that no run uses, ignoring queued runs."""
        return self.capacity - self.used

    def free(self) -> resources.Resources:
        """Return the capacity that no running or queued run needs."""
        return self.unused() - self.queued

    def enqueue(self, run: Run) -> None:
        """Queue a run; the one due first starts first."""
        self.runs[run.key] = run
        self.queue.append(run)
        self.queue.sort(key=lambda each: each.due_s)
        self.queued += run.order.need

    def start_next(self) -> Run | None:
        """Dequeue the next run if it fits, and mark it as starting."""
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
        """Remove a run that has ended or will never start."""
        del self.runs[run.key]
        if run.state is RunState.QUEUED:
            self.queue.remove(run)
            self.queued -= run.order.need
        else:
            self.used -= run.order.need
        if not self.runs:
            # Floating-point rounding errors must not add up.
            self.used = resources.NOTHING
            self.queued = resources.NOTHING
