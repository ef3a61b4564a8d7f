"""Specifications of jobs, and the configuration of their queues."""

import dataclasses
import enum
import functools

from _jasminewind import resources
from _jasminewind.decisions.jobs import step_graph

# A job is answered as a whole by one entry, which has to track all its tasks.
# The largest job of the requirements has 110 tasks.
MAX_TASKS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A configured queue, to which callers submit jobs.

    A job should complete within ``stretch`` times its critical path plus
    ``allowance_s``. A task that fails ``attempt_limit`` times fails its job.
    ``priority`` 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    service: str
    stretch: float = 1.0
    allowance_s: float = 0.0
    priority: int = 0
    attempt_limit: int = 1
    timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobLimits:
    """Limits on requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobConfiguration:
    """Queues and limits; ``version`` 0 means that none is loaded yet."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    limits: JobLimits = JobLimits()

    def queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``."""
        best = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


NO_CONFIGURATION = JobConfiguration()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A group of identical tasks, which starts after the steps ``after``.

    ``estimate_s`` is the caller's estimate of the run time of one task.
    ``data_rack`` is the rack that holds the data, and ``one_rack`` asks for
    all tasks on one rack. ``max_per_endpoint`` limits the tasks on one
    endpoint (0: no limit).
    """

    count: int
    need: resources.Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""
    one_rack: bool = False
    max_per_endpoint: int = 0
    can_checkpoint: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobSpec:
    """A job as it was submitted.

    ``caller_timeout_s`` is how long the caller waits for the answer, 0 if
    unknown.
    """

    job: str
    queue: Queue
    specification: str
    steps: tuple[Step, ...]
    caller_timeout_s: float = 0.0

    @functools.cached_property
    def graph(self) -> step_graph.StepGraph:
        """Return the dependencies between the steps."""
        return step_graph.StepGraph.from_dependencies(
            [step.after for step in self.steps],
            [step.estimate_s for step in self.steps],
        )

    @functools.cached_property
    def critical_path_s(self) -> float:
        """Return the estimated run time of the longest chain of steps."""
        return self.graph.critical_path_s

    @functools.cached_property
    def cores(self) -> float:
        """Return the cores of all tasks."""
        return sum(step.count * step.need.cores for step in self.steps)

    @functools.cached_property
    def core_s(self) -> float:
        """Return the estimated core-seconds of all tasks."""
        return sum(
            step.count * step.need.cores * step.estimate_s
            for step in self.steps
        )


class JobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobAnswer:
    """The final answer to a submission.

    ``REFUSED`` guarantees that no task has started or ever will;
    ``retry_after_s`` is the delay before submitting again. ``ABANDONED``
    guarantees nothing: the job may have run in part.
    """

    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
