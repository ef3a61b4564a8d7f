"""Jobs, their steps and the queues that take them."""

import dataclasses
import enum

from _jasminewind import resources

# A job is one answer to one caller, so its size is bounded by what an entry
# can track; the brief's largest job has 110 tasks.
MAX_TASKS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A queue of the configuration, to which callers submit jobs.

    ``stretch`` times the longest chain of work, and ``allowance_s`` more,
    is the time within which a job should complete. A task that failed
    ``attempt_limit`` times fails its job. ``priority`` 0 comes first.
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
    """Limits on what callers send; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobConfiguration:
    """Queues and limits of one version; ``version`` 0 means none yet."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    limits: JobLimits = JobLimits()

    def queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix."""
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
    """Tasks of one shape; ``after`` names steps that must be done first.

    ``estimate_s`` is the caller's rough run time of one task.
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

    ``caller_timeout_s`` is how long the caller waits for the answer, 0 when it
    did not say.
    """

    job: str
    queue: Queue
    specification: str
    steps: tuple[Step, ...]
    caller_timeout_s: float = 0.0

    def critical_path_s(self) -> float:
        """Return the estimated time of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            begin_s = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin_s + step.estimate_s)
        return max(ends, default=0.0)


class JobState(enum.StrEnum):
    """What a caller can be told of a job."""

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

    ``REFUSED`` promises that no task has started or ever will; then
    ``retry_after_s`` tells when to submit again. ``ABANDONED`` makes no
    promise: the job may have run in part.
    """

    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
